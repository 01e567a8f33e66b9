//! Measures commit latency, snapshot creation and restart of a group of one replica at the
//! configuration size of the design (1.4), on a real disk. It also shows how replica, data
//! directory and application state work together.
//!
//! Usage: `cargo run --release -p radishpaddle-consensus --example design_size -- DIRECTORY`
//! with an empty directory.

use std::error::Error;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use radishpaddle_consensus::{
    Config, Entry, HardState, Payload, PersistedState, Ready, Replica, ReplicaId, Role, Snapshot,
    Submission, Submissions,
};
use radishpaddle_model::{Change, OrganisationKey, Revision};
use radishpaddle_storage::{Batch, LogEntry, Recovered, Storage, StoredSnapshot};
use rand::rngs::SmallRng;
use rand::{Rng as _, SeedableRng as _};

type BoxResult<T> = Result<T, Box<dyn Error>>;

const SERVICES: u64 = 600;
const ROUTES_PER_SERVICE: u64 = 14;
const ORGANISATIONS: u64 = 18_000;
const ORGANISATIONS_PER_SERVICE: u64 = 60;
const CHANGES: u64 = 750;

struct Control {
    storage: Storage,
    replica: Replica,
    state: Submissions,
    applied: u64,
}

fn main() -> BoxResult<()> {
    let directory = std::env::args().nth(1).unwrap_or("design-size-data".into());
    let directory = PathBuf::from(directory);
    let mut control = open(&directory)?;
    for number in 0..ORGANISATIONS {
        control.submit(&key(number)?)?;
    }
    for number in 0..SERVICES {
        control.submit(&document(number, 0)?)?;
    }
    let mut times = Vec::new();
    for number in 0..CHANGES {
        let service = number % SERVICES;
        let replaces = control
            .state
            .config()
            .service_revision(&service_id(service).parse()?);
        let submission = document(service, replaces.0)?;
        let started = Instant::now();
        control.submit(&submission)?;
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let percentile = |percent: usize| milliseconds(times[times.len() * percent / 100]);
    println!(
        "{CHANGES} changes: p50 {}, p99 {}",
        percentile(50),
        percentile(99)
    );
    restart(&directory, control, "before a snapshot")?;
    let mut control = open(&directory)?;
    let started = Instant::now();
    let bytes = control.take_snapshot()?;
    println!(
        "snapshot of {bytes} bytes: {}",
        milliseconds(started.elapsed())
    );
    restart(&directory, control, "after a snapshot")
}

fn restart(directory: &Path, control: Control, when: &str) -> BoxResult<()> {
    let revision = control.state.config().revision;
    drop(control);
    let started = Instant::now();
    let control = open(directory)?;
    assert_eq!(control.state.config().revision, revision);
    println!("restart {when}: {}", milliseconds(started.elapsed()));
    Ok(())
}

/// Opens the directory, creates a new group if the directory is new, and drives the replica until
/// it leads and has applied its log.
fn open(directory: &Path) -> BoxResult<Control> {
    let (mut storage, mut recovered) = Storage::open(directory, SmallRng::from_os_rng().random())?;
    if recovered.is_new {
        let id = ReplicaId(recovered.hard_state.replica_id);
        let first_state = PersistedState::bootstrap(id, "127.0.0.1:7400".into());
        let snapshot = first_state
            .snapshot
            .as_ref()
            .map(to_stored_snapshot)
            .ok_or("no snapshot")?;
        storage.bootstrap(to_storage(&first_state.hard_state), snapshot)?;
        drop(storage);
        (storage, recovered) = Storage::open(directory, 0)?;
    }
    let persisted = to_consensus(&recovered)?;
    let snapshot = persisted.snapshot.as_ref();
    let data = snapshot.map_or(&[][..], |snapshot| &snapshot.data);
    let state = Submissions::decode(data)?;
    let applied = snapshot.map_or(0, |snapshot| snapshot.meta.index);
    let replica = Replica::new(Config::default(), persisted, SmallRng::from_os_rng())?;
    let mut control = Control {
        storage,
        replica,
        state,
        applied,
    };
    while control.replica.role() != Role::Leader {
        control.replica.tick();
        control.process_ready()?;
    }
    Ok(control)
}

impl Control {
    /// Carries out all outstanding work, in the order that [`Ready`] requires.
    fn process_ready(&mut self) -> BoxResult<()> {
        while let Some(ready) = self.replica.take_ready() {
            self.write(&ready)?;
            for entry in ready.committed {
                self.applied = entry.index;
                if let Payload::Data(data) = entry.payload {
                    self.state.apply(&data)?;
                }
            }
        }
        Ok(())
    }

    fn write(&mut self, ready: &Ready) -> BoxResult<()> {
        if ready.writes.is_empty() {
            return Ok(());
        }
        self.storage.write(&Batch {
            hard_state: ready.writes.hard_state.as_ref().map(to_storage),
            install_snapshot: ready.writes.snapshot.as_ref().map(to_stored_snapshot),
            entries: ready.writes.entries.iter().map(to_log_entry).collect(),
        })?;
        self.replica.confirm_synced(ready.number);
        Ok(())
    }

    fn submit(&mut self, submission: &Submission) -> BoxResult<()> {
        self.replica.propose(submission.encode()?.into())?;
        self.process_ready()?;
        let result = self.state.result(&submission.id).ok_or("no result")?;
        assert_eq!(result.code(), radishpaddle_model::ResultCode::Committed);
        Ok(())
    }

    fn take_snapshot(&mut self) -> BoxResult<usize> {
        let data: Arc<[u8]> = self.state.encode()?.into();
        let bytes = data.len();
        let snapshot = self.replica.make_snapshot(self.applied, data)?;
        self.storage.save_snapshot(&to_stored_snapshot(&snapshot))?;
        self.replica.compact(snapshot);
        Ok(bytes)
    }
}

fn to_stored_snapshot(snapshot: &Snapshot) -> StoredSnapshot {
    StoredSnapshot {
        index: snapshot.meta.index,
        term: snapshot.meta.term,
        data: snapshot.encode(),
    }
}

fn to_log_entry(entry: &Entry) -> LogEntry {
    LogEntry {
        index: entry.index,
        term: entry.term,
        payload: entry.payload.encode(),
    }
}

fn to_storage(state: &HardState) -> radishpaddle_storage::HardState {
    radishpaddle_storage::HardState {
        replica_id: state.replica_id.0,
        term: state.term,
        voted_for: state.voted_for.map(|id| id.0),
    }
}

fn to_consensus(recovered: &Recovered) -> BoxResult<PersistedState> {
    let hard_state = HardState {
        replica_id: ReplicaId(recovered.hard_state.replica_id),
        term: recovered.hard_state.term,
        voted_for: recovered.hard_state.voted_for.map(ReplicaId),
    };
    let decode = |stored: &StoredSnapshot| Snapshot::decode(&stored.data);
    let snapshot = recovered.snapshot.as_ref().map(decode).transpose()?;
    let mut entries = Vec::new();
    for stored in &recovered.entries {
        let payload = Payload::decode(&stored.payload)?;
        let (index, term) = (stored.index, stored.term);
        entries.push(Entry {
            index,
            term,
            payload,
        });
    }
    Ok(PersistedState {
        hard_state,
        snapshot,
        entries,
    })
}

fn service_id(number: u64) -> String {
    format!("service-{number}")
}

fn key(number: u64) -> BoxResult<Submission> {
    let secret: OrganisationKey = format!("secret-of-organisation-{number}").parse()?;
    Ok(Submission {
        id: format!("key-{number}").parse()?,
        replaces: Revision(0),
        change: Change::AddKey {
            key_id: format!("key-{number}").parse()?,
            organisation: format!("organisation-{number}").parse()?,
            hash: secret.hash(),
        },
    })
}

fn document(number: u64, replaces: u64) -> BoxResult<Submission> {
    let route = |route: u64| {
        serde_json::json!({
            "name": format!("route-{route}"), "path_prefix": format!("/v1/route-{route}"),
            "methods": ["GET", "POST"], "access": "keyed", "idempotent": true, "timeout_ms": 2_000,
        })
    };
    let limit = |limit: u64| {
        let organisation = (number * ORGANISATIONS_PER_SERVICE + limit) % ORGANISATIONS;
        let organisation = format!("organisation-{organisation}");
        serde_json::json!({ "organisation": organisation, "rate_per_s": 100.0, "burst": 50 })
    };
    let document = serde_json::json!({
        "service": service_id(number),
        "hosts": [format!("service-{number}.example")],
        "routes": (0..ROUTES_PER_SERVICE).map(route).collect::<Vec<_>>(),
        "organisations": (0..ORGANISATIONS_PER_SERVICE).map(limit).collect::<Vec<_>>(),
        "floor_percent": 50.0,
        "objective": { "success_percent": 99.9, "latency_ms": 500 },
    });
    let document = Arc::new(serde_json::from_value(document)?);
    Ok(Submission {
        id: format!("put-{number}-{replaces}").parse()?,
        replaces: Revision(replaces),
        change: Change::PutService { document },
    })
}

fn milliseconds(time: Duration) -> String {
    format!("{:.2} ms", time.as_secs_f64() * 1_000.0)
}
