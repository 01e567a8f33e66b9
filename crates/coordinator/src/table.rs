//! Table of backend servers, built from announcements that may be delayed, duplicated or sent by an earlier
//! process of the same backend server.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerPresence;

/// Number of heartbeat periods without an announcement after which a backend server is marked as silent.
const SILENT_AFTER_HEARTBEATS: u32 = 4;

/// Time without an announcement after which a backend server is removed from the table.
const SERVER_EXPIRY: Duration = Duration::from_mins(1);

/// Entry of one backend server.
#[derive(Debug, Clone)]
pub struct TableEntry {
    /// Newest announcement.
    pub presence: ServerPresence,
    /// Local time at which the newest announcement was made. For an announcement received through another
    /// coordinator, the time is computed from the reported age.
    pub announced_at: Duration,
    /// Whether announcements have stopped for longer than the silence limit.
    pub silent: bool,
    /// Table position of the last change to this entry that is relevant to gateways.
    pub changed_position: u64,
}

/// Backend servers by id, with a position that increases with each change relevant to gateways.
#[derive(Debug)]
pub struct ServerTable {
    entries: HashMap<Arc<str>, TableEntry>,
    by_address: HashMap<SocketAddr, Arc<str>>,
    /// Positions and ids of removed backend servers, oldest first.
    removals: Vec<(u64, Arc<str>)>,
    position: u64,
    silent_after: Duration,
}

impl ServerTable {
    /// Creates an empty table. `heartbeat` is the announcement period of the backend servers.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            by_address: HashMap::new(),
            removals: Vec::new(),
            position: 0,
            silent_after: heartbeat * SILENT_AFTER_HEARTBEATS,
        }
    }

    /// Returns the position of the newest change.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Returns the entry of a backend server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&TableEntry> {
        self.entries.get(id)
    }

    /// Returns all entries, in no particular order.
    pub fn entries(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values()
    }

    /// Returns the entries that changed after a position, and the ids that were removed after it.
    #[must_use]
    pub fn changes_since(&self, position: u64) -> (Vec<&TableEntry>, Vec<Arc<str>>) {
        let changed = self.entries.values();
        let changed = changed
            .filter(|entry| entry.changed_position > position)
            .collect();
        let removed = self.removals.iter();
        let removed = removed
            .filter(|(removed_position, _)| *removed_position > position)
            .map(|(_, id)| Arc::clone(id))
            .collect();
        (changed, removed)
    }

    /// Stores an announcement that was made at `announced_at`. Returns whether it was stored and should be
    /// forwarded to the other coordinators. An announcement is ignored if it is not newer than the stored
    /// one, or if a backend server that started later announces the same address.
    pub fn announce(&mut self, presence: &ServerPresence, announced_at: Duration) -> bool {
        if let Some(current) = self.entries.get(&presence.id)
            && current.presence.rank() >= presence.rank()
        {
            return false;
        }
        if !self.assign_address(presence) {
            return false;
        }
        let current = self.entries.get(&presence.id);
        let is_unchanged = current.is_some_and(|current| {
            !current.silent
                && is_equivalent(&current.presence, presence)
                && has_same_warmup(current, presence, announced_at)
        });
        if !is_unchanged {
            self.position += 1;
        }
        let changed_position = match current {
            Some(current) if is_unchanged => current.changed_position,
            _ => self.position,
        };
        let entry = TableEntry {
            presence: presence.clone(),
            announced_at,
            silent: false,
            changed_position,
        };
        self.entries.insert(Arc::clone(&presence.id), entry);
        true
    }

    /// Assigns the announced address to the backend server that started last and removes an earlier holder,
    /// whose process must have ended. Returns `false` if the current holder started later.
    fn assign_address(&mut self, presence: &ServerPresence) -> bool {
        if let Some(holder) = self.by_address.get(&presence.address).cloned()
            && holder != presence.id
            && let Some(current) = self.entries.get(&holder)
            && current.presence.address == presence.address
        {
            if current.presence.started_at_ms > presence.started_at_ms {
                return false;
            }
            self.remove(&holder);
        }
        self.by_address
            .insert(presence.address, Arc::clone(&presence.id));
        true
    }

    /// Marks backend servers whose announcements have stopped as silent, and removes those that have not
    /// announced themselves for `SERVER_EXPIRY`.
    pub fn expire(&mut self, now: Duration) {
        let mut expired = Vec::new();
        for (id, entry) in &mut self.entries {
            let age = now.saturating_sub(entry.announced_at);
            if age > SERVER_EXPIRY {
                expired.push(Arc::clone(id));
            } else if age > self.silent_after && !entry.silent {
                self.position += 1;
                entry.silent = true;
                entry.changed_position = self.position;
            }
        }
        for id in expired {
            self.remove(&id);
        }
    }

    /// Removes a backend server and records the removal for gateways. At most `MAX_REMOVALS` removals are
    /// kept.
    pub fn remove(&mut self, id: &Arc<str>) {
        const MAX_REMOVALS: usize = 4_096;
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        if self.by_address.get(&entry.presence.address) == Some(id) {
            self.by_address.remove(&entry.presence.address);
        }
        self.position += 1;
        self.removals.push((self.position, Arc::clone(id)));
        if self.removals.len() > MAX_REMOVALS {
            self.removals.drain(..MAX_REMOVALS / 2);
        }
    }
}

/// Difference between two announcements of the end of a warm-up that is not a change. Announcements take different times to
/// arrive.
const WARMUP_TOLERANCE: Duration = Duration::from_millis(300);

/// Returns whether two announcements are equal in every field that gateways depend on.
fn is_equivalent(old: &ServerPresence, new: &ServerPresence) -> bool {
    old.started_at_ms == new.started_at_ms
        && old.state == new.state
        && old.address == new.address
        && old.service == new.service
        && old.zone == new.zone
        && old.slots == new.slots
}

/// Whether a server stays cold for as long as its previous announcement said.
fn has_same_warmup(old: &TableEntry, new: &ServerPresence, announced_at: Duration) -> bool {
    let left = |presence: &ServerPresence| Duration::from_millis(presence.warmup_left_ms.into());
    let old_end = old.announced_at + left(&old.presence);
    let expected = old_end.saturating_sub(announced_at);
    expected.abs_diff(left(new)) <= WARMUP_TOLERANCE
}
