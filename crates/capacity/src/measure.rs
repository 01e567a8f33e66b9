//! Measures the slopes on the local machine, with the production code of the entry instances.

use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context as _, Result};
use radishpaddle_entry::backend_info::BackendInfo;
use radishpaddle_entry::fleet_view::FleetView;
use radishpaddle_entry::leader_state::LeaderState;
use radishpaddle_entry::sync_message::{SyncReply, SyncRequest};
use radishpaddle_kernel::Journal;
use radishpaddle_model::{Announcement, FleetConfig, Revision};
use radishpaddle_policy::{
    Completion, EvidenceCell, HealthReport, Member, Recorder, RequestClass, ServerKey,
    VerdictVersion,
};
use radishpaddle_quorum::allocation::{AllocationRequest, LimitKey, LimitReport};
use radishpaddle_quorum::claim::{
    AttemptId, ClaimKey, ClaimRequest, CompleteRequest, Fingerprint, RecordedResponse,
};
use radishpaddle_quorum::lease::Leadership;
use radishpaddle_quorum::table::Cursor;
use radishpaddle_quorum::{Epoch, Generation};
use radishpaddle_wire::encode;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::fixture;
use crate::size::TARGET;
use crate::slopes::Slopes;

/// Number of timed calls per measured step, after a tenth as many warm-up calls.
const TIMED_ROUNDS: u32 = 2_000;

/// Size of the length prefix, frame id and tags around a payload, in bytes.
const FRAME_BYTES: f64 = 14.0;

/// Size of the recorded answer of an action, in bytes.
const ANSWER_BYTES: usize = 256;

/// Measures every slope.
///
/// # Errors
///
/// Returns an error when a message cannot be encoded or the resident memory cannot be read.
pub fn measure_slopes() -> Result<Slopes> {
    // Memory is measured first, because allocations that reuse memory freed by earlier steps would not
    // increase the resident memory.
    let memory = measure_memory()?;
    let poll = measure_poll()?;
    let delta = measure_delta()?;
    let sync = measure_sync()?;
    let limit = measure_limit_report()?;
    let claim = measure_claim()?;
    let config = measure_config()?;
    Ok(Slopes {
        poll_bytes: poll.bytes,
        poll_member_bytes: poll.member_bytes,
        poll_us: poll.us,
        poll_us_per_1000_members: poll.us_per_1000_members,
        delta_bytes: delta.bytes,
        delta_server_bytes: delta.server_bytes,
        delta_us: delta.us,
        announce_bytes: delta.announce_bytes,
        announce_us: delta.announce_us,
        sync_bytes: sync.bytes,
        sync_cell_bytes: sync.cell_bytes,
        sync_in_flight_bytes: sync.in_flight_bytes,
        sync_us: sync.us,
        sync_us_per_cell: sync.us_per_cell,
        detect_us_per_server: sync.detect_us_per_server,
        limit_bytes: limit.bytes,
        limit_us: limit.us,
        claim_bytes: claim.bytes,
        claim_us: claim.us,
        claim_memory_bytes: memory.per_claim,
        change_bytes: config.change_bytes,
        change_us: config.change_us,
        config_service_bytes: config.service_bytes,
        config_key_bytes: config.key_bytes,
        config_memory_bytes: memory.config,
        server_memory_bytes: memory.per_server,
    })
}

struct PollCosts {
    bytes: f64,
    member_bytes: f64,
    us: f64,
    us_per_1000_members: f64,
}

fn measure_poll() -> Result<PollCosts> {
    let now = Duration::from_secs(10);
    let us_small = poll_us(17);
    let us_large = poll_us(1_017);
    let mut witness = fixture::serving_witness(17, now);
    let instances = witness.instances().context("the witness is not serving")?;
    let cursor = instances.delta_since(Cursor::default()).cursor;
    let request = fixture::poll_request(3, 9, cursor);
    let reply = witness
        .poll(now, &request)
        .context("the witness is not serving")?;
    let bytes = encoded_bytes(&request)? + encoded_bytes(&reply)? + 2.0 * FRAME_BYTES;
    let full_request = fixture::poll_request(3, 10, Cursor::default());
    let full_reply = witness
        .poll(now, &full_request)
        .context("the witness is not serving")?;
    Ok(PollCosts {
        bytes,
        member_bytes: (encoded_bytes(&full_reply)? - encoded_bytes(&reply)?) / 17.0,
        us: us_small,
        us_per_1000_members: (us_large - us_small).max(0.0),
    })
}

/// Mean time of a poll without changes at a witness with `members` members, in microseconds.
fn poll_us(members: usize) -> f64 {
    let now = Duration::from_secs(10);
    let mut witness = fixture::serving_witness(members, now);
    let instances = witness.instances();
    let cursor = instances.map_or_else(Cursor::default, |instances| {
        instances.delta_since(Cursor::default()).cursor
    });
    mean_us(|round| {
        let request = fixture::poll_request(3, u64::from(round) + 10, cursor);
        witness.poll(now, &request)
    })
}

struct BackendDeltaCosts {
    bytes: f64,
    server_bytes: f64,
    us: f64,
    announce_bytes: f64,
    announce_us: f64,
}

fn measure_delta() -> Result<BackendDeltaCosts> {
    let now = Duration::from_secs(10);
    let mut witness = fixture::serving_witness(17, now);
    let servers: u32 = 1_000;
    for number in 0..servers {
        witness.announce(now, &fixture::announcement(number as usize, 1));
    }
    let reader = fixture::instance_life(3);
    let full = witness
        .backend_delta(&reader, Cursor::default())
        .context("the witness is not serving")?;
    let cursor = full.cursor;
    let empty = witness
        .backend_delta(&reader, cursor)
        .context("the witness is not serving")?;
    let bytes = encoded_bytes(&(&reader, cursor))? + encoded_bytes(&empty)? + 2.0 * FRAME_BYTES;
    let us = mean_us(|_| witness.backend_delta(&reader, cursor));
    let announce_us = mean_us(|round| {
        let sequence = u64::from(round) + 2;
        witness.announce(now, &fixture::announcement(5, sequence))
    });
    Ok(BackendDeltaCosts {
        bytes,
        server_bytes: (encoded_bytes(&full)? - encoded_bytes(&empty)?) / f64::from(servers),
        us,
        announce_bytes: encoded_bytes(&fixture::announcement(5, 9))? + 2.0 * FRAME_BYTES + 1.0,
        announce_us,
    })
}

struct SyncCosts {
    bytes: f64,
    cell_bytes: f64,
    in_flight_bytes: f64,
    us: f64,
    us_per_cell: f64,
    detect_us_per_server: f64,
}

fn measure_sync() -> Result<SyncCosts> {
    let cells = 100;
    let empty = sync_request(1, &[]);
    let full = sync_request(1, &evidence_cells(cells));
    let mut leader = LeaderFixture::new(1_000);
    let empty_reply = leader.sync(empty.clone());
    let per_cell = (encoded_bytes(&full)? - encoded_bytes(&empty)?) / f64::from(cells);
    let us = mean_us(|_| leader.sync(empty.clone()));
    let us_full = mean_us(|_| leader.sync(full.clone()));
    let in_flight = encoded_bytes(&(ServerKey(u64::MAX / 3), 3_u32))?;
    Ok(SyncCosts {
        bytes: encoded_bytes(&empty)? + encoded_bytes(&empty_reply)? + 2.0 * FRAME_BYTES,
        cell_bytes: per_cell,
        in_flight_bytes: in_flight,
        us,
        us_per_cell: (us_full - us).max(0.0) / f64::from(cells),
        detect_us_per_server: leader.detect_us() / 1_000.0,
    })
}

/// State of a leader whose fleet has announced backend servers.
struct LeaderFixture {
    state: LeaderState,
    leadership: Leadership,
    fleet: FleetView,
    config: FleetConfig,
    now: Duration,
    rng: SmallRng,
}

impl LeaderFixture {
    fn new(servers: usize) -> Self {
        let now = Duration::from_secs(100);
        let leadership = Leadership {
            epoch: Epoch(4_294_967_297),
            since_epoch: Epoch(4_294_967_297),
            until: Duration::from_hours(1),
        };
        let journal = Journal::new(fixture::instance_life(0).instance, 100);
        let backend_servers = (0..servers)
            .map(|number| {
                let announcement = fixture::announcement(number, 1);
                Arc::new(BackendInfo::new(&announcement, Duration::ZERO))
            })
            .collect();
        let mut fixture = Self {
            state: LeaderState::new(fixture::instance_life(0), &leadership, None, journal, now),
            leadership,
            fleet: FleetView {
                backend_servers: Arc::new(backend_servers),
                ..FleetView::default()
            },
            config: fixture::fleet_config(servers.div_ceil(17), servers.div_ceil(17) * 30),
            now,
            rng: SmallRng::seed_from_u64(1),
        };
        fixture.tick();
        fixture
    }

    /// Advances the clock by one detection period and runs the detection.
    fn tick(&mut self) {
        self.now += Duration::from_millis(250);
        self.state
            .tick(self.now, &self.config, &self.fleet, &mut self.rng);
    }

    fn sync(&mut self, request: SyncRequest) -> SyncReply {
        self.state
            .handle_sync_request(self.now, &self.leadership, request)
    }

    /// Mean time of the detection in one period with evidence about each backend server, in microseconds.
    fn detect_us(&mut self) -> f64 {
        let cells = evidence_cells(1_000);
        let periods = 40;
        let mut total = Duration::ZERO;
        for _ in 0..periods {
            self.sync(sync_request(2, &cells));
            let started_at = Instant::now();
            self.tick();
            total += started_at.elapsed();
        }
        total.as_secs_f64() * 1e6 / f64::from(periods)
    }
}

fn sync_request(instance: usize, cells: &[EvidenceCell]) -> SyncRequest {
    SyncRequest {
        life: fixture::instance_life(instance),
        epoch: Epoch(4_294_967_297),
        health: HealthReport {
            zone: "zone-a".parse().ok(),
            cells: cells.to_vec(),
            applied: VerdictVersion::default(),
            held: Vec::new(),
        },
        in_flight: Vec::new(),
        quarantine_generation: 0,
        quarantine: Vec::new(),
    }
}

/// Builds one evidence cell for each of `count` backend servers, from ten requests each.
fn evidence_cells(count: u32) -> Vec<EvidenceCell> {
    let mut recorder = Recorder::new();
    let mut now = Duration::from_secs(1);
    for number in 0..count {
        let announcement = fixture::announcement(number as usize, 1);
        let server = ServerKey::new(&announcement.service, &announcement.backend_server);
        for request in 0..10 {
            let class = RequestClass::of_route("lookup");
            let id = recorder.dispatched(server, class, false, now);
            now += Duration::from_millis(5);
            let ended_at = now + Duration::from_millis(40 + request);
            recorder.completed(id, Completion::Answered { status: 200 }, ended_at);
        }
    }
    recorder.drain(now)
}

struct LimitReportCosts {
    bytes: f64,
    us: f64,
}

fn measure_limit_report() -> Result<LimitReportCosts> {
    let mut leader = LeaderFixture::new(100);
    let report = |number: u64| AllocationRequest {
        holder: fixture::instance_life(1),
        epoch: Epoch(4_294_967_297),
        complete: number == 1,
        reports: vec![LimitReport {
            key: LimitKey {
                service: fixture::service_id(1),
                organisation: "organisation-31".parse().expect("an identifier"),
            },
            number,
            accepted: number - 1,
            rate: 0,
            burst: 0,
            tokens: 0,
            returned_total: 0,
            wanted: 1_000_000,
            demand: 2_000_000,
        }],
    };
    let request = report(1);
    let leadership = leader.leadership;
    let reply = leader
        .state
        .handle_allocation_request(leader.now, &leadership, &request)
        .context("the leader did not answer the rate limit report")?;
    let bytes = encoded_bytes(&request)? + encoded_bytes(&reply)?;
    let us = mean_us(|round| {
        let request = report(u64::from(round) + 2);
        leader
            .state
            .handle_allocation_request(leader.now, &leadership, &request)
    });
    Ok(LimitReportCosts { bytes, us })
}

struct ClaimCosts {
    bytes: f64,
    us: f64,
}

fn measure_claim() -> Result<ClaimCosts> {
    let now = Duration::from_secs(10);
    let mut witness = fixture::serving_witness(17, now);
    let request = claim_request(0);
    let vote = witness
        .claim(now, &request)
        .context("the witness is not serving")?;
    let completion = complete_request(&request);
    let stored = witness
        .complete(now, &completion)
        .context("the witness is not serving")?;
    let bytes = encoded_bytes(&request)?
        + encoded_bytes(&vote)?
        + encoded_bytes(&completion)?
        + encoded_bytes(&stored)?;
    let us = mean_us(|round| {
        let request = claim_request(u64::from(round) + 1);
        witness.claim(now, &request);
        witness.complete(now, &complete_request(&request))
    });
    Ok(ClaimCosts {
        bytes: bytes + 4.0 * FRAME_BYTES,
        us,
    })
}

fn claim_request(number: u64) -> ClaimRequest {
    ClaimRequest {
        generation: Generation(1),
        key: ClaimKey {
            organisation: "organisation-31".parse().expect("an identifier"),
            service: fixture::service_id(1),
            idempotency_key: format!("0f8fad5b-d9cb-469f-a165-{number:012}").into(),
        },
        attempt: AttemptId {
            life: fixture::instance_life(3),
            number,
        },
        fingerprint: Fingerprint([7; 32]),
    }
}

fn complete_request(claim: &ClaimRequest) -> CompleteRequest {
    CompleteRequest {
        generation: claim.generation,
        key: claim.key.clone(),
        attempt: claim.attempt.clone(),
        fingerprint: claim.fingerprint,
        answer: RecordedResponse::Whole {
            status: 200,
            encoded: vec![1; ANSWER_BYTES].into(),
        },
    }
}

struct ConfigCosts {
    change_bytes: f64,
    change_us: f64,
    service_bytes: f64,
    key_bytes: f64,
}

fn measure_config() -> Result<ConfigCosts> {
    let mut config = target_config();
    let service_bytes = json_bytes(&config.services)? / TARGET.services;
    let key_bytes = json_bytes(&config.keys)? / TARGET.organisations;
    let change = fixture::change_record(&config);
    let change_bytes = json_bytes(&change)?;
    let change_us = mean_us(|_| {
        let record = fixture::change_record(&config);
        config.apply(&record)
    });
    anyhow::ensure!(
        config.revision > Revision(0),
        "no configuration change was applied"
    );
    Ok(ConfigCosts {
        change_bytes,
        change_us,
        service_bytes,
        key_bytes,
    })
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the sizes are small whole numbers"
)]
fn target_config() -> FleetConfig {
    fixture::fleet_config(TARGET.services as usize, TARGET.organisations as usize)
}

/// Resident memory, in bytes.
struct MemoryCosts {
    config: f64,
    per_server: f64,
    per_claim: f64,
}

/// Measures the growth of the resident memory by each kind of state. All state is kept until the last
/// measurement, so that no freed memory is reused.
fn measure_memory() -> Result<MemoryCosts> {
    let start = resident_bytes()?;
    let config = target_config();
    let after_config = resident_bytes()?;
    let servers = server_views(10_000);
    let after_servers = resident_bytes()?;
    let claims = 20_000;
    let mut witness = fixture::serving_witness(17, Duration::ZERO);
    for number in 0..claims {
        let request = claim_request(number);
        witness.claim(Duration::ZERO, &request);
        witness.complete(Duration::ZERO, &complete_request(&request));
    }
    let after_claims = resident_bytes()?;
    // This use keeps the state alive until here.
    anyhow::ensure!(
        config.services.len() + servers.len() > 0,
        "the configuration and the backend servers are empty"
    );
    Ok(MemoryCosts {
        config: after_config - start,
        per_server: (after_servers - after_config) / 10_000.0,
        per_claim: (after_claims - after_servers) / f64::from(u32::try_from(claims)?),
    })
}

/// Builds the state about backend servers that an entry instance holds if it is also a witness.
fn server_views(count: usize) -> Vec<(Arc<BackendInfo>, Member, Vec<Announcement>)> {
    (0..count)
        .map(|number| {
            let announcement = fixture::announcement(number, 1);
            let info = BackendInfo::new(&announcement, Duration::ZERO);
            let member = info.member();
            // One view per witness, and one entry in the instance's own witness table.
            let views = (0..=fixture::WITNESS_COUNT)
                .map(|_| fixture::announcement(number, 1))
                .collect();
            (Arc::new(info), member, views)
        })
        .collect()
}

/// Mean time of a call of `step`, in microseconds.
fn mean_us<T>(mut step: impl FnMut(u32) -> T) -> f64 {
    for round in 0..TIMED_ROUNDS / 10 {
        std::hint::black_box(step(round));
    }
    let started_at = Instant::now();
    for round in 0..TIMED_ROUNDS {
        std::hint::black_box(step(round + TIMED_ROUNDS));
    }
    started_at.elapsed().as_secs_f64() * 1e6 / f64::from(TIMED_ROUNDS)
}

/// Size of a value in the encoding of the peer protocol.
fn encoded_bytes<T: Serialize>(value: &T) -> Result<f64> {
    Ok(f64::from(u32::try_from(encode(value)?.len())?))
}

/// Size of a value as JSON.
fn json_bytes<T: Serialize>(value: &T) -> Result<f64> {
    Ok(f64::from(u32::try_from(serde_json::to_vec(value)?.len())?))
}

/// Resident memory of this process in bytes, from `/proc/self/statm`, which counts pages of 4 KiB.
fn resident_bytes() -> Result<f64> {
    let text = std::fs::read_to_string("/proc/self/statm")?;
    let pages = text
        .split(' ')
        .nth(1)
        .context("/proc/self/statm has no second field")?;
    Ok(pages.parse::<f64>()? * 4096.0)
}
