//! Announced backend servers.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Announcement, BackendServerId, BackendState, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};

use super::message::BackendCopy;
use crate::table::{Cursor, Delta, VersionedTable};

/// Time after which a backend server that does not renew its announcement is removed.
pub const LEASE_EXPIRY: Duration = Duration::from_secs(6);

/// Shortest time for which the version of a removed backend server is remembered, so that a delayed announcement of its
/// earlier state does not bring it back.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);

/// Longest time for which a draining or left backend server is kept for members that do not read the table.
const UNREAD_RETENTION: Duration = Duration::from_mins(10);

/// Backend servers kept, removed ones included; twice the size to design for.
const MAX_BACKEND_SERVERS: usize = 20_000;

/// Identifies a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BackendKey {
    /// Service that it runs.
    pub service: ServiceId,
    /// Its name within the service.
    pub backend_server: BackendServerId,
}

/// What became of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Announced {
    /// Stored, or a later announcement of the same life is stored already.
    Stored,
    /// A later life of the backend server is known.
    Stale,
    /// The table is full.
    Full,
}

/// Backend servers as one witness knows them.
#[derive(Debug, Clone)]
pub struct BackendTable {
    table: VersionedTable<BackendKey, Announcement>,
    heard: HashMap<BackendKey, Heard>,
}

#[derive(Debug, Clone)]
struct Heard {
    at: Duration,
    announcement: Announcement,
}

impl BackendTable {
    pub(super) fn new(origin: Incarnation) -> Self {
        Self {
            table: VersionedTable::new(origin),
            heard: HashMap::new(),
        }
    }

    /// Backend servers that are not removed, in no order. Renewals do not change the sequence shown here.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendKey, &Announcement)> {
        self.table.iter()
    }

    /// Backend server by key, unless it is removed.
    #[must_use]
    pub fn get(&self, key: &BackendKey) -> Option<&Announcement> {
        self.table.get(key)
    }

    /// Position after the last change.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.table.cursor()
    }

    /// Changes for a reader at `cursor`.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<BackendKey, Announcement> {
        self.table.delta_since(cursor)
    }

    pub(super) fn announce(&mut self, now: Duration, announcement: &Announcement) -> Announced {
        let key = key_of(announcement);
        match self.heard.get(&key) {
            Some(known) if announcement.incarnation < known.announcement.incarnation => {
                return Announced::Stale;
            }
            Some(known) if announcement.version() <= known.announcement.version() => {
                return Announced::Stored;
            }
            None if self.heard.len() >= MAX_BACKEND_SERVERS => return Announced::Full,
            _ => {}
        }
        let visible = self.table.get(&key);
        if visible.is_none_or(|visible| !is_renewal(visible, announcement)) {
            self.table.insert(key.clone(), announcement.clone());
        }
        let heard = Heard {
            at: now,
            announcement: announcement.clone(),
        };
        self.heard.insert(key, heard);
        Announced::Stored
    }

    pub(super) fn merge(&mut self, now: Duration, copy: &BackendCopy) {
        let heard_at = now.saturating_sub(copy.age);
        let key = key_of(&copy.announcement);
        self.announce(heard_at, &copy.announcement);
        if let Some(known) = self.heard.get_mut(&key)
            && known.announcement.version() == copy.announcement.version()
        {
            known.at = known.at.max(heard_at);
        }
    }

    pub(super) fn copies(&self, now: Duration) -> Vec<BackendCopy> {
        let copy = |heard: &Heard| BackendCopy {
            announcement: heard.announcement.clone(),
            age: now.saturating_sub(heard.at),
        };
        self.heard.values().map(copy).collect()
    }

    /// Removes backend servers whose lease has ended. `known_version` is what every member has read; draining and left
    /// ones stay until then.
    pub(super) fn expire(&mut self, now: Duration, known_version: u64) {
        let table = &mut self.table;
        self.heard.retain(|key, heard| {
            let age = now.saturating_sub(heard.at);
            if age < LEASE_EXPIRY {
                return true;
            }
            let version = table.version_of(key).unwrap_or(0);
            let read = version <= known_version || age >= UNREAD_RETENTION;
            if heard.announcement.state == BackendState::Serving || read {
                table.remove(key);
            }
            age < TOMBSTONE_RETENTION || !read
        });
    }
}

fn key_of(announcement: &Announcement) -> BackendKey {
    BackendKey {
        service: announcement.service.clone(),
        backend_server: announcement.backend_server.clone(),
    }
}

/// Whether two announcements differ in nothing but their number.
fn is_renewal(known: &Announcement, announcement: &Announcement) -> bool {
    let mut renewed = known.clone();
    renewed.sequence = announcement.sequence;
    renewed == *announcement
}
