//! Backend servers that have announced themselves to a witness.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_model::{Announcement, BackendServerId, BackendState, Incarnation, ServiceId};
use serde::{Deserialize, Serialize};

use super::message::BackendCopy;
use crate::table::{Cursor, Delta, VersionedTable};

/// Time after its last announcement at which a backend server is removed.
pub const BACKEND_LEASE_DURATION: Duration = Duration::from_secs(6);

/// Minimum time since the last announcement for which the version of a backend server is kept, so that a delayed
/// earlier announcement does not add a removed backend server again.
pub const TOMBSTONE_RETENTION: Duration = Duration::from_mins(1);

/// Maximum time for which a draining or left backend server is kept because a member has not read that state.
const MAX_UNREAD_RETENTION: Duration = Duration::from_mins(10);

/// Maximum number of backend servers, including removed ones whose version is kept; twice the design size.
const MAX_BACKEND_SERVERS: usize = 20_000;

/// Identifies a backend server.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct BackendKey {
    /// Service that the backend server runs.
    pub service: ServiceId,
    /// Identifier of the backend server within the service.
    pub backend_server: BackendServerId,
}

/// Result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum AnnounceOutcome {
    /// Stored, or a later announcement of the same incarnation was stored before.
    Stored,
    /// Ignored, because a later incarnation of the backend server is known.
    Stale,
    /// Refused, because the table is full.
    Full,
}

/// Backend servers that one witness knows.
#[derive(Debug, Clone)]
pub struct BackendTable {
    table: VersionedTable<BackendKey, Announcement>,
    /// Last announcement of each backend server, including removed ones.
    received: HashMap<BackendKey, ReceivedAnnouncement>,
}

#[derive(Debug, Clone)]
struct ReceivedAnnouncement {
    received_at: Duration,
    announcement: Announcement,
}

impl BackendTable {
    pub(super) fn new(origin: Incarnation) -> Self {
        Self {
            table: VersionedTable::new(origin),
            received: HashMap::new(),
        }
    }

    /// Returns the backend servers that are not removed, in no particular order. Renewals do not update the sequence
    /// number in these announcements.
    pub fn iter(&self) -> impl Iterator<Item = (&BackendKey, &Announcement)> {
        self.table.iter()
    }

    /// Returns the announcement of a backend server, unless it is removed.
    #[must_use]
    pub fn get(&self, key: &BackendKey) -> Option<&Announcement> {
        self.table.get(key)
    }

    /// Returns the position after the last change.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.table.cursor()
    }

    /// Returns the changes for a reader at `cursor`.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<BackendKey, Announcement> {
        self.table.delta_since(cursor)
    }

    pub(super) fn announce(
        &mut self,
        now: Duration,
        announcement: &Announcement,
    ) -> AnnounceOutcome {
        let key = backend_key(announcement);
        match self.received.get(&key) {
            Some(known) if announcement.incarnation < known.announcement.incarnation => {
                return AnnounceOutcome::Stale;
            }
            Some(known) if announcement.version() <= known.announcement.version() => {
                return AnnounceOutcome::Stored;
            }
            None if self.received.len() >= MAX_BACKEND_SERVERS => return AnnounceOutcome::Full,
            _ => {}
        }
        let visible = self.table.get(&key);
        if visible.is_none_or(|visible| !is_renewal(visible, announcement)) {
            self.table.insert(key.clone(), announcement.clone());
        }
        let received = ReceivedAnnouncement {
            received_at: now,
            announcement: announcement.clone(),
        };
        self.received.insert(key, received);
        AnnounceOutcome::Stored
    }

    pub(super) fn merge(&mut self, now: Duration, copy: &BackendCopy) {
        let received_at = now.saturating_sub(copy.age);
        let key = backend_key(&copy.announcement);
        self.announce(received_at, &copy.announcement);
        if let Some(known) = self.received.get_mut(&key)
            && known.announcement.version() == copy.announcement.version()
        {
            known.received_at = known.received_at.max(received_at);
        }
    }

    pub(super) fn copies(&self, now: Duration) -> Vec<BackendCopy> {
        let copy = |received: &ReceivedAnnouncement| BackendCopy {
            announcement: received.announcement.clone(),
            age: now.saturating_sub(received.received_at),
        };
        self.received.values().map(copy).collect()
    }

    /// Removes backend servers whose lease has expired. Draining and left ones stay until every live member has read
    /// them; `read_version` is the table version that all of these have read.
    pub(super) fn expire(&mut self, now: Duration, read_version: u64) {
        let table = &mut self.table;
        self.received.retain(|key, received| {
            let age = now.saturating_sub(received.received_at);
            if age < BACKEND_LEASE_DURATION {
                return true;
            }
            let version = table.version_of(key).unwrap_or(0);
            let may_remove = version <= read_version || age >= MAX_UNREAD_RETENTION;
            if received.announcement.state == BackendState::Serving || may_remove {
                table.remove(key);
            }
            age < TOMBSTONE_RETENTION || !may_remove
        });
    }
}

fn backend_key(announcement: &Announcement) -> BackendKey {
    BackendKey {
        service: announcement.service.clone(),
        backend_server: announcement.backend_server.clone(),
    }
}

/// Returns whether two announcements differ only in their sequence number.
fn is_renewal(known: &Announcement, announcement: &Announcement) -> bool {
    let mut renewed = known.clone();
    renewed.sequence = announcement.sequence;
    renewed == *announcement
}
