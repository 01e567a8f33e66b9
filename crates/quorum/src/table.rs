//! Table whose readers fetch only what changed since their last answer.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;

use radishpaddle_model::Incarnation;
use serde::{Deserialize, Serialize};

/// Removed keys that are remembered. A reader that is further behind gets the whole table.
const MAX_REMOVED: usize = 4096;

/// Position of a reader in the changes of one table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Cursor {
    /// Life of the process that owns the table.
    pub origin: Incarnation,
    /// Last change that the reader has; 0 for none.
    pub version: u64,
}

/// Changes of a table between two cursors.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Delta<K, V> {
    /// Where the changes start; `None` when the whole table follows.
    pub since: Option<Cursor>,
    /// Where the reader is after it has applied the changes.
    pub cursor: Cursor,
    /// Entries that are new or changed.
    pub changed: Vec<(K, V)>,
    /// Keys that were removed.
    pub removed: Vec<K>,
}

/// Owner's side of a table.
#[derive(Debug, Clone)]
pub struct VersionedTable<K, V> {
    cursor: Cursor,
    slots: HashMap<K, Slot<V>>,
    changes: BTreeMap<u64, K>,
    removed: BTreeMap<u64, K>,
    complete_since: u64,
}

#[derive(Debug, Clone)]
struct Slot<V> {
    version: u64,
    value: Option<V>,
}

/// Reader's copy of a table.
#[derive(Debug, Clone)]
pub struct TableView<K, V> {
    cursor: Cursor,
    entries: BTreeMap<K, V>,
}

impl<K: Clone + Eq + Hash + Ord, V: Clone> VersionedTable<K, V> {
    /// Empty table of the process life `origin`.
    #[must_use]
    pub fn new(origin: Incarnation) -> Self {
        Self {
            cursor: Cursor { origin, version: 0 },
            slots: HashMap::new(),
            changes: BTreeMap::new(),
            removed: BTreeMap::new(),
            complete_since: 0,
        }
    }

    /// Position after the last change.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Entry of a key.
    #[must_use]
    pub fn get(&self, key: &K) -> Option<&V> {
        self.slots.get(key)?.value.as_ref()
    }

    /// Version of the last change of a key, also when it was removed.
    #[must_use]
    pub fn version_of(&self, key: &K) -> Option<u64> {
        self.slots.get(key).map(|slot| slot.version)
    }

    /// Entries, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&K, &V)> {
        let slots = self.slots.iter();
        slots.filter_map(|(key, slot)| Some((key, slot.value.as_ref()?)))
    }

    /// Adds or replaces an entry.
    pub fn insert(&mut self, key: K, value: V) {
        self.change(key, Some(value));
    }

    /// Removes an entry.
    pub fn remove(&mut self, key: &K) {
        if self.get(key).is_some() {
            self.change(key.clone(), None);
            self.forget_removed();
        }
    }

    /// What a reader at `cursor` lacks.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<K, V> {
        let known = cursor.origin == self.cursor.origin && cursor.version >= self.complete_since;
        let mut delta = Delta {
            since: known.then_some(cursor),
            cursor: self.cursor,
            changed: Vec::new(),
            removed: Vec::new(),
        };
        let from = if known { cursor.version + 1 } else { 0 };
        for key in self.changes.range(from..).map(|(_, key)| key) {
            match self.get(key) {
                Some(value) => delta.changed.push((key.clone(), value.clone())),
                None if known => delta.removed.push(key.clone()),
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
            self.removed.remove(&replaced.version);
        }
        if removed {
            self.removed.insert(version, key.clone());
        }
        self.changes.insert(version, key);
    }

    fn forget_removed(&mut self) {
        while self.removed.len() > MAX_REMOVED {
            let Some((version, key)) = self.removed.pop_first() else {
                return;
            };
            self.changes.remove(&version);
            self.slots.remove(&key);
            self.complete_since = version;
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
    /// Position to ask from.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        self.cursor
    }

    /// Entries in the order of their keys.
    #[must_use]
    pub fn entries(&self) -> &BTreeMap<K, V> {
        &self.entries
    }

    /// Applies changes; ignores those that do not continue from this position. Returns whether an entry changed.
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
