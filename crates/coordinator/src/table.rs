//! Table of backend servers, from announcements that may be late, repeated or of an earlier life.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::ServerPresence;

/// A backend server that was silent for this many heartbeat periods is marked as silent.
const SILENT_AFTER_PERIODS: u32 = 4;

/// A backend server that was silent for this long is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// One backend server.
#[derive(Debug, Clone)]
pub struct TableEntry {
    /// Newest announcement.
    pub presence: ServerPresence,
    /// Local time at which the newest announcement was made, as far as known.
    pub heard_at: Duration,
    /// Whether announcements have stopped.
    pub silent: bool,
    /// Position of the last change that gateways have to know.
    pub changed: u64,
}

/// Backend servers by name, with a position that grows with each change.
#[derive(Debug)]
pub struct ServerTable {
    entries: HashMap<Arc<str>, TableEntry>,
    by_address: HashMap<SocketAddr, Arc<str>>,
    removed: Vec<(u64, Arc<str>)>,
    position: u64,
    silent_after: Duration,
}

impl ServerTable {
    /// Empty table for the heartbeat period of the backend servers.
    #[must_use]
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            by_address: HashMap::new(),
            removed: Vec::new(),
            position: 0,
            silent_after: heartbeat * SILENT_AFTER_PERIODS,
        }
    }

    /// Position of the newest change.
    #[must_use]
    pub const fn position(&self) -> u64 {
        self.position
    }

    /// Newest announcement of a backend server.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&TableEntry> {
        self.entries.get(id)
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &TableEntry> {
        self.entries.values()
    }

    /// Entries that changed after a position, and names that were removed after it.
    #[must_use]
    pub fn since(&self, position: u64) -> (Vec<&TableEntry>, Vec<Arc<str>>) {
        let changed = self.entries.values();
        let changed = changed.filter(|entry| entry.changed > position).collect();
        let removed = self.removed.iter();
        let removed = removed
            .filter(|(at, _)| *at > position)
            .map(|(_, id)| Arc::clone(id))
            .collect();
        (changed, removed)
    }

    /// Takes an announcement that was made at `heard_at`. Returns whether it is news to others.
    pub fn announce(&mut self, presence: &ServerPresence, heard_at: Duration) -> bool {
        if let Some(known) = self.entries.get(&presence.id)
            && known.presence.rank() >= presence.rank()
        {
            return false;
        }
        if !self.take_address(presence) {
            return false;
        }
        let known = self.entries.get(&presence.id);
        let same = known.is_some_and(|known| !known.silent && is_same(&known.presence, presence));
        if !same {
            self.position += 1;
        }
        let changed = match known {
            Some(known) if same => known.changed,
            _ => self.position,
        };
        let entry = TableEntry {
            presence: presence.clone(),
            heard_at,
            silent: false,
            changed,
        };
        self.entries.insert(Arc::clone(&presence.id), entry);
        true
    }

    /// Gives the address to the backend server that started last; an earlier one is gone.
    fn take_address(&mut self, presence: &ServerPresence) -> bool {
        if let Some(holder) = self.by_address.get(&presence.address).cloned()
            && holder != presence.id
            && let Some(known) = self.entries.get(&holder)
            && known.presence.address == presence.address
        {
            if known.presence.started_at_ms > presence.started_at_ms {
                return false;
            }
            self.remove(&holder);
        }
        self.by_address
            .insert(presence.address, Arc::clone(&presence.id));
        true
    }

    /// Marks silent backend servers and forgets those that were silent for long.
    pub fn expire(&mut self, now: Duration) {
        let mut forgotten = Vec::new();
        for (id, entry) in &mut self.entries {
            let age = now.saturating_sub(entry.heard_at);
            if age > FORGET_AFTER {
                forgotten.push(Arc::clone(id));
            } else if age > self.silent_after && !entry.silent {
                self.position += 1;
                entry.silent = true;
                entry.changed = self.position;
            }
        }
        for id in forgotten {
            self.remove(&id);
        }
    }

    /// Forgets a backend server.
    pub fn remove(&mut self, id: &Arc<str>) {
        const MAX_REMOVED: usize = 4_096;
        let Some(entry) = self.entries.remove(id) else {
            return;
        };
        if self.by_address.get(&entry.presence.address) == Some(id) {
            self.by_address.remove(&entry.presence.address);
        }
        self.position += 1;
        self.removed.push((self.position, Arc::clone(id)));
        if self.removed.len() > MAX_REMOVED {
            self.removed.drain(..MAX_REMOVED / 2);
        }
    }
}

/// Whether two announcements differ only in what gateways need not know.
fn is_same(known: &ServerPresence, new: &ServerPresence) -> bool {
    known.started_at_ms == new.started_at_ms
        && known.state == new.state
        && known.address == new.address
        && known.service == new.service
        && known.zone == new.zone
        && known.slots == new.slots
}
