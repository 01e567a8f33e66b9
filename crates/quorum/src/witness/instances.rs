//! Members of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::message::{InstanceCopy, PollRequest};
use crate::freshness::FRESHNESS_LIMIT;
use crate::group::{Life, WitnessGroup};
use crate::table::{Cursor, Delta, TableView, VersionedTable};

/// Time after which a member that sends no polls counts as lost; six polls.
pub const INSTANCE_EXPIRY: Duration = Duration::from_secs(3);

/// Time for which a member is remembered after its last poll. Exceeds the lifetime of an allocation (10 s) and the
/// freshness limit (4 s) together, so that a new leader knows of every member that may hold an allocation.
pub const INSTANCE_RETENTION: Duration = Duration::from_secs(15);

/// What a member says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Where it accepts requests.
    pub address: SocketAddr,
    /// Where it runs.
    pub availability_zone: AvailabilityZone,
    /// Whether callers should be sent there.
    pub state: InstanceState,
}

/// Whether callers should be sent to a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// It is not fresh and refuses requests.
    NotReady,
    /// It serves.
    Serving,
    /// It stops soon.
    Leaving,
    /// It sends no polls, or a later life of it does. Set by the witness.
    Lost,
}

/// Members as one witness knows them, by life.
#[derive(Debug, Clone)]
pub struct InstanceTable {
    table: VersionedTable<Life, InstanceRecord>,
    heard: BTreeMap<Life, Heard>,
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
            heard: BTreeMap::new(),
        }
    }

    /// Members and what they said, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (&Life, &InstanceRecord)> {
        self.table.iter()
    }

    /// Revision that a member had applied when it polled last.
    #[must_use]
    pub fn applied(&self, life: &Life) -> Option<Revision> {
        self.heard.get(life).map(|heard| heard.applied)
    }

    /// Whether a member runs in the given life.
    #[must_use]
    pub fn is_alive(&self, life: &Life) -> bool {
        let record = self.table.get(life);
        record.is_some_and(|record| record.state != InstanceState::Lost)
    }

    /// Changes for a reader at `cursor`.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<Life, InstanceRecord> {
        self.table.delta_since(cursor)
    }

    pub(super) fn hear(&mut self, now: Duration, request: &PollRequest) {
        let record = InstanceRecord {
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
        self.update(request.life.clone(), record, heard);
    }

    pub(super) fn merge(&mut self, now: Duration, copy: InstanceCopy) {
        let heard = Heard {
            at: now.saturating_sub(copy.age),
            number: copy.number,
            applied: Revision(0),
            backends: Cursor::default(),
        };
        self.update(copy.life, copy.record, heard);
    }

    pub(super) fn copies(&self, now: Duration) -> Vec<InstanceCopy> {
        let copy = |(life, record): (&Life, &InstanceRecord)| {
            let heard = self.heard.get(life)?;
            Some(InstanceCopy {
                life: life.clone(),
                record: record.clone(),
                number: heard.number,
                age: now.saturating_sub(heard.at),
            })
        };
        self.table.iter().filter_map(copy).collect()
    }

    pub(super) fn acknowledge_backends(&mut self, reader: &Life, cursor: Cursor) {
        if let Some(heard) = self.heard.get_mut(reader) {
            heard.backends = cursor;
        }
    }

    /// Version of the backend servers that every live member has read.
    pub(super) fn known_backend_version(&self, current: Cursor) -> u64 {
        let alive = self.heard.iter().filter(|(life, _)| self.is_alive(life));
        let versions = alive.map(|(_, heard)| {
            if heard.backends.origin == current.origin {
                heard.backends.version
            } else {
                0
            }
        });
        versions.min().unwrap_or(current.version)
    }

    pub(super) fn expire(&mut self, now: Duration) {
        let silent = |heard: &Heard| now >= heard.at + INSTANCE_EXPIRY;
        let lives = self.heard.iter().filter(|(_, heard)| silent(heard));
        let lost: Vec<Life> = lives.map(|(life, _)| life.clone()).collect();
        for life in lost {
            self.mark_lost(&life);
            if self
                .heard
                .get(&life)
                .is_some_and(|heard| now >= heard.at + INSTANCE_RETENTION)
            {
                self.heard.remove(&life);
                self.table.remove(&life);
            }
        }
    }

    /// Takes the later of two reports of one life. An earlier life is lost once a later one is known.
    fn update(&mut self, life: Life, mut record: InstanceRecord, mut heard: Heard) {
        if let Some(last) = self.heard.get(&life) {
            if heard.number <= last.number {
                return;
            }
            heard.backends = last.backends;
            heard.applied = heard.applied.max(last.applied);
        }
        let lives = self.heard.range(first_life(&life)..);
        let mut others = lives
            .map(|(other, _)| other)
            .take_while(|other| other.instance == life.instance);
        if others.any(|other| other.incarnation > life.incarnation) {
            record.state = InstanceState::Lost;
        }
        let lives = self.heard.range(first_life(&life)..life.clone());
        let earlier: Vec<Life> = lives.map(|(earlier, _)| earlier.clone()).collect();
        for earlier in &earlier {
            self.mark_lost(earlier);
        }
        if self.table.get(&life) != Some(&record) {
            self.table.insert(life.clone(), record);
        }
        self.heard.insert(life, heard);
    }

    fn mark_lost(&mut self, life: &Life) {
        let record = self.table.get(life);
        if let Some(record) = record.filter(|record| record.state != InstanceState::Lost) {
            let lost = InstanceRecord {
                state: InstanceState::Lost,
                ..record.clone()
            };
            self.table.insert(life.clone(), lost);
        }
    }
}

fn first_life(life: &Life) -> Life {
    Life {
        instance: life.instance.clone(),
        incarnation: Incarnation(0),
    }
}

/// Members as an entry instance knows them from the answers of several witnesses.
#[derive(Debug, Clone, Default)]
pub struct MembershipView {
    views: BTreeMap<InstanceId, WitnessView>,
}

#[derive(Debug, Clone, Default)]
struct WitnessView {
    table: TableView<Life, InstanceRecord>,
    polled_at: Duration,
}

impl MembershipView {
    /// Position to send in the next poll of a witness.
    #[must_use]
    pub fn cursor(&self, witness: &InstanceId) -> Cursor {
        self.views
            .get(witness)
            .map_or_else(Cursor::default, |view| view.table.cursor())
    }

    /// Applies the changes in the answer of a witness to a poll that was sent at the local time `sent_at`. Returns
    /// whether anything changed.
    pub fn apply(
        &mut self,
        sent_at: Duration,
        witness: &InstanceId,
        delta: &Delta<Life, InstanceRecord>,
    ) -> bool {
        let view = self.views.entry(witness.clone()).or_default();
        let changed = view.table.apply(delta);
        if view.table.cursor() == delta.cursor {
            view.polled_at = view.polled_at.max(sent_at);
        }
        changed
    }

    /// Members that at least half of the witnesses know as running that answered within [`FRESHNESS_LIMIT`], each with
    /// its latest life; a member that leaves for one witness leaves for all.
    #[must_use]
    pub fn instances(&self, now: Duration) -> BTreeMap<Life, InstanceRecord> {
        let current = |view: &&WitnessView| now <= view.polled_at + FRESHNESS_LIMIT;
        let views: Vec<&WitnessView> = self.views.values().filter(current).collect();
        let mut members: BTreeMap<&Life, (usize, &InstanceRecord)> = BTreeMap::new();
        let entries = views.iter().flat_map(|view| view.table.entries());
        for (life, record) in entries.filter(|(_, record)| record.state != InstanceState::Lost) {
            let (count, latest) = members.entry(life).or_insert((0, record));
            *count += 1;
            if record.state > latest.state {
                *latest = record;
            }
        }
        let mut latest: BTreeMap<&InstanceId, (&Life, &InstanceRecord)> = BTreeMap::new();
        for (life, (count, record)) in members {
            if count * 2 >= views.len() {
                latest.insert(&life.instance, (life, record));
            }
        }
        let latest = latest.into_values();
        latest
            .map(|(life, record)| (life.clone(), record.clone()))
            .collect()
    }

    /// Every life that polled a majority of the group within [`INSTANCE_RETENTION`], and possibly others. `None` until a
    /// majority of the witnesses has answered a poll that was sent at `since` or later.
    #[must_use]
    pub fn lives_since(&self, since: Duration, group: &WitnessGroup) -> Option<BTreeSet<Life>> {
        let views = self.views.iter().filter(|(witness, view)| {
            group.witnesses.contains(*witness) && view.polled_at >= since
        });
        let views: Vec<&WitnessView> = views.map(|(_, view)| view).collect();
        let lives = views.iter().flat_map(|view| view.table.entries().keys());
        (views.len() >= group.majority()).then(|| lives.cloned().collect())
    }
}
