//! Members of the fleet, as witnesses and entry instances know them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_model::{AvailabilityZone, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

use super::message::{InstanceCopy, PollRequest};
use crate::freshness::FRESHNESS_LIMIT;
use crate::group::{InstanceIncarnation, WitnessGroup};
use crate::table::{Cursor, Delta, TableView, VersionedTable};

/// Time after its last poll at which a member is marked lost; six poll periods.
pub const INSTANCE_EXPIRY: Duration = Duration::from_secs(3);

/// Time after its last poll for which a member is kept. Exceeds the sum of the lifetime of an allocation (10 s) and the
/// freshness limit (4 s), so that a new leader learns of every member that may hold an allocation.
pub const INSTANCE_RETENTION: Duration = Duration::from_secs(15);

/// Record of one member, from its polls.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct InstanceRecord {
    /// Address on which the member accepts requests.
    pub address: SocketAddr,
    /// Availability zone of the member.
    pub availability_zone: AvailabilityZone,
    /// Serving state of the member.
    pub state: InstanceState,
}

/// Serving state of a member. Callers are directed to serving members only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Its configuration is not fresh, and it refuses requests.
    NotReady,
    /// It accepts requests.
    Serving,
    /// It is about to stop.
    Leaving,
    /// It has stopped polling, or a later incarnation of the instance polls. Set by the witness.
    Lost,
}

/// Members that one witness knows, by incarnation.
#[derive(Debug, Clone)]
pub struct InstanceTable {
    table: VersionedTable<InstanceIncarnation, InstanceRecord>,
    last_polls: BTreeMap<InstanceIncarnation, LastPoll>,
}

#[derive(Debug, Clone)]
struct LastPoll {
    received_at: Duration,
    number: u64,
    applied: Revision,
    /// Position of the member in the backend server table.
    backend_cursor: Cursor,
}

impl InstanceTable {
    pub(super) fn new(origin: Incarnation) -> Self {
        Self {
            table: VersionedTable::new(origin),
            last_polls: BTreeMap::new(),
        }
    }

    /// Returns the members and their records in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceIncarnation, &InstanceRecord)> {
        self.table.iter()
    }

    /// Returns the revision that a member had applied at its last poll.
    #[must_use]
    pub fn applied(&self, life: &InstanceIncarnation) -> Option<Revision> {
        self.last_polls.get(life).map(|poll| poll.applied)
    }

    /// Returns whether a member is known and not marked lost in the given incarnation.
    #[must_use]
    pub fn is_alive(&self, life: &InstanceIncarnation) -> bool {
        let record = self.table.get(life);
        record.is_some_and(|record| record.state != InstanceState::Lost)
    }

    /// Returns the changes for a reader at `cursor`.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> Delta<InstanceIncarnation, InstanceRecord> {
        self.table.delta_since(cursor)
    }

    pub(super) fn record_poll(&mut self, now: Duration, request: &PollRequest) {
        let record = InstanceRecord {
            address: request.address,
            availability_zone: request.availability_zone.clone(),
            state: request.state,
        };
        let poll = LastPoll {
            received_at: now,
            number: request.number,
            applied: request.applied,
            backend_cursor: Cursor::default(),
        };
        self.update(request.life.clone(), record, poll);
    }

    pub(super) fn merge(&mut self, now: Duration, copy: InstanceCopy) {
        let poll = LastPoll {
            received_at: now.saturating_sub(copy.age),
            number: copy.number,
            applied: Revision(0),
            backend_cursor: Cursor::default(),
        };
        self.update(copy.life, copy.record, poll);
    }

    pub(super) fn copies(&self, now: Duration) -> Vec<InstanceCopy> {
        let copy = |(life, record): (&InstanceIncarnation, &InstanceRecord)| {
            let poll = self.last_polls.get(life)?;
            Some(InstanceCopy {
                life: life.clone(),
                record: record.clone(),
                number: poll.number,
                age: now.saturating_sub(poll.received_at),
            })
        };
        self.table.iter().filter_map(copy).collect()
    }

    /// Records the position of a member in the backend server table.
    pub(super) fn record_backend_cursor(&mut self, reader: &InstanceIncarnation, cursor: Cursor) {
        if let Some(poll) = self.last_polls.get_mut(reader) {
            poll.backend_cursor = cursor;
        }
    }

    /// Returns the version of the backend server table that every live member has read. `current` is the position after
    /// the last change.
    pub(super) fn backend_version_read_by_all(&self, current: Cursor) -> u64 {
        let alive = self
            .last_polls
            .iter()
            .filter(|(life, _)| self.is_alive(life));
        let versions = alive.map(|(_, poll)| {
            if poll.backend_cursor.origin == current.origin {
                poll.backend_cursor.version
            } else {
                0
            }
        });
        versions.min().unwrap_or(current.version)
    }

    /// Marks members lost that have stopped polling, and removes them after [`INSTANCE_RETENTION`].
    pub(super) fn expire(&mut self, now: Duration) {
        let is_lost = |poll: &LastPoll| now >= poll.received_at + INSTANCE_EXPIRY;
        let lives = self.last_polls.iter().filter(|(_, poll)| is_lost(poll));
        let lost: Vec<InstanceIncarnation> = lives.map(|(life, _)| life.clone()).collect();
        for life in lost {
            self.mark_lost(&life);
            if self
                .last_polls
                .get(&life)
                .is_some_and(|poll| now >= poll.received_at + INSTANCE_RETENTION)
            {
                self.last_polls.remove(&life);
                self.table.remove(&life);
            }
        }
    }

    /// Stores the record from a poll, unless a later poll of the same incarnation is known. Marks an incarnation lost
    /// if a later one of the same instance is known.
    fn update(
        &mut self,
        life: InstanceIncarnation,
        mut record: InstanceRecord,
        mut poll: LastPoll,
    ) {
        if let Some(last) = self.last_polls.get(&life) {
            if poll.number <= last.number {
                return;
            }
            poll.backend_cursor = last.backend_cursor;
            poll.applied = poll.applied.max(last.applied);
        }
        let lives = self.last_polls.range(lowest_life(&life)..);
        let mut others = lives
            .map(|(other, _)| other)
            .take_while(|other| other.instance == life.instance);
        if others.any(|other| other.incarnation > life.incarnation) {
            record.state = InstanceState::Lost;
        }
        let lives = self.last_polls.range(lowest_life(&life)..life.clone());
        let earlier: Vec<InstanceIncarnation> = lives.map(|(earlier, _)| earlier.clone()).collect();
        for earlier in &earlier {
            self.mark_lost(earlier);
        }
        if self.table.get(&life) != Some(&record) {
            self.table.insert(life.clone(), record);
        }
        self.last_polls.insert(life, poll);
    }

    fn mark_lost(&mut self, life: &InstanceIncarnation) {
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

/// Returns the lower bound of all incarnations of the same instance, for range queries.
fn lowest_life(life: &InstanceIncarnation) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: life.instance.clone(),
        incarnation: Incarnation(0),
    }
}

/// Members that an entry instance knows, from the poll replies of several witnesses.
#[derive(Debug, Clone, Default)]
pub struct MembershipView {
    views: BTreeMap<InstanceId, WitnessView>,
}

#[derive(Debug, Clone, Default)]
struct WitnessView {
    table: TableView<InstanceIncarnation, InstanceRecord>,
    /// Sending time of the latest poll whose changes are applied.
    polled_at: Duration,
}

impl MembershipView {
    /// Returns the position to send in the next poll of a witness.
    #[must_use]
    pub fn cursor(&self, witness: &InstanceId) -> Cursor {
        self.views
            .get(witness)
            .map_or_else(Cursor::default, |view| view.table.cursor())
    }

    /// Applies the changes in the reply of a witness to a poll that was sent at the local time `sent_at`. Returns
    /// whether the members known to that witness may have changed.
    pub fn apply(
        &mut self,
        sent_at: Duration,
        witness: &InstanceId,
        delta: &Delta<InstanceIncarnation, InstanceRecord>,
    ) -> bool {
        let view = self.views.entry(witness.clone()).or_default();
        let changed = view.table.apply(delta);
        if view.table.cursor() == delta.cursor {
            view.polled_at = view.polled_at.max(sent_at);
        }
        changed
    }

    /// Returns the running members, each in its latest incarnation. A member is included if at least half of the
    /// witnesses whose last poll reply is within [`FRESHNESS_LIMIT`] know it as not lost. If one witness knows it as
    /// leaving, it is leaving.
    #[must_use]
    pub fn instances(&self, now: Duration) -> BTreeMap<InstanceIncarnation, InstanceRecord> {
        let current = |view: &&WitnessView| now <= view.polled_at + FRESHNESS_LIMIT;
        let views: Vec<&WitnessView> = self.views.values().filter(current).collect();
        let mut members: BTreeMap<&InstanceIncarnation, (usize, &InstanceRecord)> = BTreeMap::new();
        let entries = views.iter().flat_map(|view| view.table.entries());
        for (life, record) in entries.filter(|(_, record)| record.state != InstanceState::Lost) {
            let (count, latest) = members.entry(life).or_insert((0, record));
            *count += 1;
            if record.state > latest.state {
                *latest = record;
            }
        }
        let mut latest: BTreeMap<&InstanceId, (&InstanceIncarnation, &InstanceRecord)> =
            BTreeMap::new();
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

    /// Returns every incarnation that polled a majority of the group within [`INSTANCE_RETENTION`], and possibly
    /// others. `None` until a majority of the witnesses has answered a poll that was sent at the local time `since` or
    /// later.
    #[must_use]
    pub fn lives_since(
        &self,
        since: Duration,
        group: &WitnessGroup,
    ) -> Option<BTreeSet<InstanceIncarnation>> {
        let views = self.views.iter().filter(|(witness, view)| {
            group.witnesses.contains(*witness) && view.polled_at >= since
        });
        let views: Vec<&WitnessView> = views.map(|(_, view)| view).collect();
        let lives = views.iter().flat_map(|view| view.table.entries().keys());
        (views.len() >= group.majority()).then(|| lives.cloned().collect())
    }
}
