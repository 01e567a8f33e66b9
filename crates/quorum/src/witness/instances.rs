//! Members of the fleet.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::message::{InstanceCopy, PollRequest};
use crate::freshness::FRESHNESS_LIMIT;
use crate::table::{Cursor, Delta, TableView, VersionedTable};

/// Time after which a member that sends no polls is removed; six polls.
pub const INSTANCE_EXPIRY: Duration = Duration::from_secs(3);

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Life of the member.
    pub incarnation: Incarnation,
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZone,
    /// Whether callers should be sent there.
    pub state: InstanceState,
}

/// Whether callers should be sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is not fresh and refuses requests.
    NotReady,
    /// It serves.
    Serving,
    /// It stops soon.
    Leaving,
}

/// Members as one witness knows them.
#[derive(Debug, Clone)]
pub struct InstanceTable {
    table: VersionedTable<InstanceId, InstanceRecord>,
    heard: HashMap<InstanceId, Heard>,
}

#[derive(Debug, Clone)]
struct Heard {
    at: Duration,
    number: u64,
    applied: Revision,
    backends: Cursor,
}

impl InstanceTable {
    pub(super) fn new(origin: Incarnation) -> Self {
        Self {
            table: VersionedTable::new(origin),
            heard: HashMap::new(),
        }
    }

    /// Members and what they said, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &InstanceRecord)> {
        self.table.iter()
    }

    /// Revision that a member had applied when it polled last.
    #[must_use]
    pub fn applied(&self, instance: &InstanceId) -> Option<Revision> {
        self.heard.get(instance).map(|heard| heard.applied)
    }

    /// Whether a member runs in the given life.
    #[must_use]
    pub fn is_alive(&self, instance: &InstanceId, incarnation: Incarnation) -> bool {
        self.table
            .get(instance)
            .is_some_and(|record| record.incarnation == incarnation)
    }

    /// Changes for a reader at `cursor`.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<InstanceId, InstanceRecord> {
        self.table.delta_since(cursor)
    }

    pub(super) fn hear(&mut self, now: Duration, request: &PollRequest) {
        let record = InstanceRecord {
            incarnation: request.incarnation,
            address: request.address,
            availability_zone: request.availability_zone.clone(),
            state: request.state,
        };
        let heard = Heard {
            at: now,
            number: request.number,
            applied: request.applied,
            backends: Cursor::default(),
        };
        self.update(&request.instance, record, heard);
    }

    pub(super) fn merge(&mut self, now: Duration, copy: InstanceCopy) {
        let heard = Heard {
            at: now.saturating_sub(copy.age),
            number: copy.number,
            applied: Revision(0),
            backends: Cursor::default(),
        };
        self.update(&copy.instance, copy.record, heard);
    }

    pub(super) fn copies(&self, now: Duration) -> Vec<InstanceCopy> {
        let copy = |(instance, record): (&InstanceId, &InstanceRecord)| {
            let heard = self.heard.get(instance)?;
            Some(InstanceCopy {
                instance: instance.clone(),
                record: record.clone(),
                number: heard.number,
                age: now.saturating_sub(heard.at),
            })
        };
        self.table.iter().filter_map(copy).collect()
    }

    pub(super) fn acknowledge_backends(
        &mut self,
        reader: &InstanceId,
        incarnation: Incarnation,
        cursor: Cursor,
    ) {
        if self.is_alive(reader, incarnation)
            && let Some(heard) = self.heard.get_mut(reader)
        {
            heard.backends = cursor;
        }
    }

    /// Version of the backend servers that every member has read.
    pub(super) fn known_backend_version(&self, current: Cursor) -> u64 {
        let versions = self.heard.values().map(|heard| {
            if heard.backends.origin == current.origin {
                heard.backends.version
            } else {
                0
            }
        });
        versions.min().unwrap_or(current.version)
    }

    pub(super) fn expire(&mut self, now: Duration) {
        let table = &mut self.table;
        self.heard.retain(|instance, heard| {
            let alive = now < heard.at + INSTANCE_EXPIRY;
            if !alive {
                table.remove(instance);
            }
            alive
        });
    }

    /// Takes the later of two reports: a later life, or a later poll of the same life.
    fn update(&mut self, instance: &InstanceId, record: InstanceRecord, mut heard: Heard) {
        if let (Some(known), Some(last)) = (self.table.get(instance), self.heard.get(instance)) {
            let (order, last_order) = (
                (record.incarnation, heard.number),
                (known.incarnation, last.number),
            );
            if order <= last_order {
                return;
            }
            if record.incarnation == known.incarnation {
                heard.backends = last.backends;
                heard.applied = heard.applied.max(last.applied);
            }
        }
        if self.table.get(instance) != Some(&record) {
            self.table.insert(instance.clone(), record);
        }
        self.heard.insert(instance.clone(), heard);
    }
}

/// Members as an entry instance knows them from the answers of several witnesses.
#[derive(Debug, Clone, Default)]
pub struct MembershipView {
    views: BTreeMap<InstanceId, WitnessView>,
}

#[derive(Debug, Clone, Default)]
struct WitnessView {
    table: TableView<InstanceId, InstanceRecord>,
    heard_at: Duration,
}

impl MembershipView {
    /// Position to send in the next poll of a witness.
    #[must_use]
    pub fn cursor(&self, witness: &InstanceId) -> Cursor {
        self.views
            .get(witness)
            .map_or_else(Cursor::default, |view| view.table.cursor())
    }

    /// Applies the changes in the answer of a witness. Returns whether anything changed.
    pub fn apply(
        &mut self,
        now: Duration,
        witness: &InstanceId,
        delta: Delta<InstanceId, InstanceRecord>,
    ) -> bool {
        let view = self.views.entry(witness.clone()).or_default();
        view.heard_at = now;
        view.table.apply(delta)
    }

    /// Members that at least half of the witnesses know that answered within [`FRESHNESS_LIMIT`], each with its latest
    /// life; a member that leaves for one witness leaves for all.
    #[must_use]
    pub fn instances(&self, now: Duration) -> BTreeMap<InstanceId, InstanceRecord> {
        let current = |view: &&WitnessView| now <= view.heard_at + FRESHNESS_LIMIT;
        let views: Vec<&WitnessView> = self.views.values().filter(current).collect();
        let mut members: BTreeMap<&InstanceId, (usize, &InstanceRecord)> = BTreeMap::new();
        for (instance, record) in views.iter().flat_map(|view| view.table.entries()) {
            let (count, latest) = members.entry(instance).or_insert((0, record));
            *count += 1;
            if (record.incarnation, record.state) > (latest.incarnation, latest.state) {
                *latest = record;
            }
        }
        let known = members
            .into_iter()
            .filter(|(_, (count, _))| count * 2 >= views.len());
        known
            .map(|(instance, (_, record))| (instance.clone(), record.clone()))
            .collect()
    }
}
