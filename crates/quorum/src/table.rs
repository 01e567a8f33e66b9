//! Versioned table whose readers fetch only the changes since their last read.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use radishpaddle_model::Incarnation;
use serde::{Deserialize, Serialize};

/// Maximum number of tombstones, which record removed keys. A reader that is further behind gets the whole table.
const MAX_TOMBSTONES: usize = 4096;

/// Position of a reader in the sequence of changes of one table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Cursor {
    /// Incarnation of the process that owns the table. Versions of different incarnations cannot be compared.
    pub origin: Incarnation,
    /// Version of the last change that the reader has applied; 0 for none.
    pub version: u64,
}

/// Changes of a table between two cursors.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// Position after which the changes begin; `None` if the delta contains the whole table.
    pub since: Option<Cursor>,
    /// Position of the reader after it has applied the changes.
    pub cursor: Cursor,
    /// Entries that are new or changed.
    pub changed: Vec<(K, V)>,
    /// Keys that were removed.
    pub removed: Vec<K>,
}

/// Table of the owner, which records the version of each change.
#[derive(Debug, Clone)]
pub struct VersionedTable<K, V> {
    cursor: Cursor,
    slots: HashMap<K, Slot<V>>,
    changes: BTreeMap<u64, K>,
    tombstones: BTreeMap<u64, K>,
    /// Lowest reader version for which all later removals are still recorded.
    oldest_delta_version: u64,
}

#[derive(Debug, Clone)]
struct Slot<V> {
    version: u64,
    value: Option<V>,
}

/// Copy of a table at a reader.
#[derive(Debug, Clone)]
pub struct TableView<K, V> {
    cursor: Cursor,
    entries: BTreeMap<K, V>,
}

impl<K: Clone + Eq + Hash + Ord, V: Clone> VersionedTable<K, V> {
    /// Creates an empty table that is owned by the process incarnation `origin`.
    #[must_use]
    pub fn new(origin: Incarnation) -> Self {
        Self {
            cursor: Cursor { origin, version: 0 },
            slots: HashMap::new(),
            changes: BTreeMap::new(),
            tombstones: BTreeMap::new(),
            oldest_delta_version: 0,
        }
    }

    /// Returns the position after the last change.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the entry of a key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.slots.get(key)?.value.as_ref()
    }

    /// Returns the version of the last change of a key, including its removal; `None` if there is no record of the key.
    #[must_use]
    pub fn version_of(&self, key: &K) -> Option<u64> {
        self.slots.get(key).map(|slot| slot.version)
    }

    /// Returns the entries in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        let slots = self.slots.iter();
        slots.filter_map(|(key, slot)| Some((key, slot.value.as_ref()?)))
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, key: K, value: V) {
        self.change(key, Some(value));
    }

    /// Removes an entry, if there is one, and keeps a tombstone.
    pub fn remove(&mut self, key: &K) {
        if self.get(key).is_some() {
            self.change(key.clone(), None);
            self.drop_old_tombstones();
        }
    }

    /// Returns the changes after `cursor`, or the whole table if they are no longer all recorded.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<K, V> {
        let incremental =
            cursor.origin == self.cursor.origin && cursor.version >= self.oldest_delta_version;
        let mut delta = Delta {
            since: incremental.then_some(cursor),
            cursor: self.cursor,
            changed: Vec::new(),
            removed: Vec::new(),
        };
        let from = if incremental { cursor.version + 1 } else { 0 };
        for key in self.changes.range(from..).map(|(_, key)| key) {
            match self.get(key) {
                Some(value) => delta.changed.push((key.clone(), value.clone())),
                None if incremental => delta.removed.push(key.clone()),
                None => {}
            }
        }
        delta
    }

    fn change(&mut self, key: K, value: Option<V>) {
        self.cursor.version += 1;
        let version = self.cursor.version;
        let removed = value.is_none();
        if let Some(replaced) = self.slots.insert(key.clone(), Slot { version, value }) {
            self.changes.remove(&replaced.version);
            self.tombstones.remove(&replaced.version);
        }
        if removed {
            self.tombstones.insert(version, key.clone());
        }
        self.changes.insert(version, key);
    }

    fn drop_old_tombstones(&mut self) {
        while self.tombstones.len() > MAX_TOMBSTONES {
            let Some((version, key)) = self.tombstones.pop_first() else {
                return;
            };
            self.changes.remove(&version);
            self.slots.remove(&key);
            self.oldest_delta_version = version;
        }
    }
}

impl<K: Ord, V> Default for TableView<K, V> {
    fn default() -> Self {
        Self {
            cursor: Cursor::default(),
            entries: BTreeMap::new(),
        }
    }
}

impl<K: Clone + Ord, V: Clone> TableView<K, V> {
    /// Returns the position from which to request the next delta.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Returns the entries in the order of their keys.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<K, V> {
        &self.entries
    }

    /// Applies a delta. Ignores one that starts after the position of this view or is older than it. Returns whether
    /// the entries may have changed.
    pub fn apply(&mut self, delta: &Delta<K, V>) -> bool {
        let same_origin = delta.cursor.origin == self.cursor.origin;
        match delta.since {
            Some(since) if !same_origin || since.version > self.cursor.version => return false,
            _ if same_origin && delta.cursor.version < self.cursor.version => return false,
            Some(_) => {}
            None if delta.cursor.origin < self.cursor.origin => return false,
            None => self.entries.clear(),
        }
        let changed =
            delta.since.is_none() || !delta.changed.is_empty() || !delta.removed.is_empty();
        for key in &delta.removed {
            self.entries.remove(key);
        }
        self.entries.extend(delta.changed.iter().cloned());
        self.cursor = delta.cursor;
        changed
    }
}
