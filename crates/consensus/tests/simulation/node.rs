//! Simulated process: a replica, its disk and its application.

use radishpaddle_consensus::{
    Config, Entry, Membership, Message, Payload, PersistedState, Ready, Replica, Snapshot, Writes,
};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

use crate::machine::Machine;

/// Writes that were passed to the disk and are not synced yet.
pub struct Pending {
    pub number: u64,
    pub writes: Writes,
    pub messages: Vec<Message>,
    /// Tick at which the sync completes.
    pub due: u64,
}

pub struct Node {
    /// `None` while the process is down.
    pub replica: Option<Replica>,
    pub disk: PersistedState,
    pub machine: Machine,
    pub pending: Option<Pending>,
    pub restart_at: u64,
    /// Tick until which the process is suspended.
    pub frozen_until: u64,
    /// Whether the replica receives only every fourth tick.
    pub slow_clock: bool,
    config: Config,
}

impl Node {
    pub fn start(disk: PersistedState, config: Config, rng: &mut SmallRng) -> Self {
        let mut node = Self {
            replica: None,
            disk,
            machine: Machine::default(),
            pending: None,
            restart_at: 0,
            frozen_until: 0,
            slow_clock: false,
            config,
        };
        node.restart(rng);
        node
    }

    pub fn restart(&mut self, rng: &mut SmallRng) {
        let rng = SmallRng::seed_from_u64(rng.random());
        let replica = Replica::new(self.config.clone(), self.disk.clone(), rng);
        let snapshot = self.disk.snapshot.as_ref();
        self.machine = snapshot.map_or_else(Machine::default, machine_from_snapshot);
        self.replica = Some(replica.expect("the disk holds a log without a gap"));
    }

    /// Stops the process. A random prefix of the unsynced writes is kept on the disk.
    pub fn crash(&mut self, rng: &mut SmallRng) {
        self.replica = None;
        if let Some(pending) = self.pending.take() {
            let writes = keep_random_prefix(pending.writes, rng);
            apply(&mut self.disk, &writes);
        }
    }

    /// Completes the pending writes and returns the messages that depended on them.
    pub fn finish_sync(&mut self) -> Vec<Message> {
        let Some(pending) = self.pending.take() else {
            return Vec::new();
        };
        apply(&mut self.disk, &pending.writes);
        if let Some(replica) = &mut self.replica {
            replica.confirm_synced(pending.number);
        }
        pending.messages
    }

    pub fn begin_sync(&mut self, ready: &mut Ready, due: u64) {
        assert!(
            self.pending.is_none(),
            "writes were returned before the previous ones were synced"
        );
        self.pending = Some(Pending {
            number: ready.number,
            writes: std::mem::take(&mut ready.writes),
            messages: std::mem::take(&mut ready.messages_after_sync),
            due,
        });
    }

    /// Returns the memberships that the replica uses or would use after a restart.
    pub fn memberships(&self) -> Vec<&Membership> {
        let of_replica = self.replica.as_ref().map(Replica::membership);
        let snapshot = self.disk.snapshot.as_ref();
        let of_snapshot = snapshot.map(|snapshot| &snapshot.meta.membership);
        let on_disk = memberships(&self.disk.entries).last().or(of_snapshot);
        of_replica.into_iter().chain(on_disk).collect()
    }

    /// Stores a snapshot of the application and compacts the log.
    pub fn take_snapshot(&mut self) {
        let Some(replica) = &mut self.replica else {
            return;
        };
        let data = self.machine.encode();
        if self.pending.is_some() {
            return;
        }
        if let Ok(snapshot) = replica.make_snapshot(self.machine.applied, data) {
            let index = snapshot.meta.index;
            self.disk.snapshot = Some(snapshot.clone());
            self.disk.entries.retain(|entry| entry.index > index);
            replica.compact(snapshot);
        }
    }
}

/// Returns the memberships contained in the entries.
pub fn memberships(entries: &[Entry]) -> impl Iterator<Item = &Membership> {
    entries.iter().filter_map(|entry| match &entry.payload {
        Payload::Membership(membership) => Some(membership),
        _ => None,
    })
}

pub fn machine_from_snapshot(snapshot: &Snapshot) -> Machine {
    let mut machine = Machine::decode(&snapshot.data);
    machine.applied = snapshot.meta.index;
    machine
}

/// Truncates unsynced writes to a random prefix, as a crash does.
fn keep_random_prefix(mut writes: Writes, rng: &mut SmallRng) -> Writes {
    let mut keep = rng.random_range(0..=2 + writes.entries.len());
    if keep == 0 {
        return Writes::default();
    }
    keep -= 1;
    if keep == 0 {
        writes.snapshot = None;
        writes.entries.clear();
    }
    writes.entries.truncate(keep.saturating_sub(1));
    writes
}

fn apply(disk: &mut PersistedState, writes: &Writes) {
    disk.hard_state = writes.hard_state.unwrap_or(disk.hard_state);
    if let Some(snapshot) = &writes.snapshot {
        disk.snapshot = Some(snapshot.clone());
        disk.entries.clear();
    }
    if let Some(first) = writes.entries.first() {
        disk.entries.retain(|entry| entry.index < first.index);
    }
    disk.entries.extend_from_slice(&writes.entries);
}
