//! Small stand-ins of the size of the target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::document::{Objective, RetryPolicy};
use radishpaddle_model::{
    Access, Announcement, BackendState, Change, ChangeRecord, FleetConfig, Incarnation, KeyRecord,
    OrganisationKey, OrganisationLimit, Percent, RatePerSecond, Revision, Route, ServiceDocument,
    ServiceEntry,
};
use radishpaddle_model::{ByteSize, ServiceId};
use radishpaddle_quorum::claim::ClaimSettings;
use radishpaddle_quorum::table::Cursor;
use radishpaddle_quorum::witness::{GenerationStart, InstanceState, PollRequest, Witness};
use radishpaddle_quorum::{Generation, InstanceIncarnation, WitnessGroup};

/// Witnesses of a group.
pub const WITNESSES: usize = 5;

/// Routes of a service at the target size: 8,300 over 600 services.
const ROUTES_PER_SERVICE: usize = 14;

/// Life of an entry instance.
///
/// # Panics
///
/// Never panics: the name is an identifier.
#[must_use]
pub fn life(number: usize) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: format!("entry-{number}").parse().expect("an identifier"),
        incarnation: Incarnation(1_796_368_000_000 + number as u64),
    }
}

/// Poll of an entry instance.
///
/// # Panics
///
/// Never panics: the names are identifiers.
#[must_use]
pub fn poll(number: usize, count: u64, instances: Cursor) -> PollRequest {
    PollRequest {
        generation: Generation(1),
        life: life(number),
        number: count,
        address: address(number),
        availability_zone: "zone-a".parse().expect("an identifier"),
        state: InstanceState::Serving,
        applied: Revision(4_000),
        instances,
    }
}

/// Witness that serves, with a number of members.
#[must_use]
pub fn witness(members: usize, now: Duration) -> Witness {
    let own = life(0);
    let group = WitnessGroup {
        generation: Generation(1),
        witnesses: (0..WITNESSES).map(|number| life(number).instance).collect(),
    };
    let peers = group.witnesses.iter().cloned();
    let mut witness = Witness::new(own.clone(), peers, ClaimSettings::default(), now);
    let start = GenerationStart {
        group,
        witness: own,
        revision: Revision(4_000),
        claims_lost: false,
    };
    let started = witness.start_generation(now, &start);
    debug_assert!(started.is_ok(), "the generation is new");
    for number in 0..members {
        witness.poll(now, &poll(number, 1, Cursor::default()));
    }
    witness
}

/// Announcement of a backend server.
///
/// # Panics
///
/// Never panics: the names are identifiers.
#[must_use]
pub fn announcement(number: usize, sequence: u64) -> Announcement {
    Announcement {
        service: service_id(number / 17),
        backend_server: format!("backend-{number}").parse().expect("an identifier"),
        incarnation: Incarnation(1_796_368_000_000),
        sequence,
        address: address(number),
        availability_zone: "zone-a".parse().expect("an identifier"),
        slots: 6,
        state: BackendState::Serving,
    }
}

/// Name of a service.
///
/// # Panics
///
/// Never panics: the name is an identifier.
#[must_use]
pub fn service_id(number: usize) -> ServiceId {
    format!("service-{number}").parse().expect("an identifier")
}

/// Document of a service with a share of the routes and organisations of the target size.
///
/// # Panics
///
/// Never panics: the names and numbers are valid.
#[must_use]
pub fn document(number: usize, organisations: std::ops::Range<usize>) -> ServiceDocument {
    let rate = RatePerSecond::try_from(20.0).expect("a rate");
    ServiceDocument {
        service: service_id(number),
        hosts: vec![format!("service-{number}.example").into()],
        routes: (0..ROUTES_PER_SERVICE).map(route).collect(),
        organisations: organisations
            .map(|organisation| OrganisationLimit {
                organisation: format!("organisation-{organisation}")
                    .parse()
                    .expect("an identifier"),
                rate_per_s: rate,
                burst: 40,
            })
            .collect(),
        floor_percent: Percent::try_from(60.0).expect("a percentage"),
        max_request_bytes: ByteSize(1 << 20),
        max_answer_bytes: ByteSize(1 << 20),
        retry: RetryPolicy::default(),
        objective: Objective {
            success_percent: Percent::try_from(99.5).expect("a percentage"),
            latency_ms: 500,
        },
    }
}

/// Configuration of the target size: each organisation calls one service and has one key.
///
/// # Panics
///
/// Never panics: the names are identifiers.
#[must_use]
pub fn config(services: usize, organisations: usize) -> FleetConfig {
    let mut config = FleetConfig::default();
    let per_service = organisations / services.max(1);
    for number in 0..services {
        let range = number * per_service..(number + 1) * per_service;
        let entry = ServiceEntry {
            revision: Revision(number as u64 + 1),
            document: Arc::new(document(number, range)),
        };
        config.services.insert(service_id(number), entry);
    }
    for number in 0..organisations {
        let key: OrganisationKey = format!("rk_{number:032x}").parse().expect("a key");
        let record = KeyRecord {
            key_id: format!("key-{number}").parse().expect("an identifier"),
            organisation: format!("organisation-{number}")
                .parse()
                .expect("an identifier"),
        };
        config.keys.insert(key.hash(), record);
    }
    config.revision = Revision((services + organisations) as u64);
    config
}

/// A change of one document.
#[must_use]
pub fn change(config: &FleetConfig) -> ChangeRecord {
    ChangeRecord {
        revision: config.revision.next(),
        change: Change::PutService {
            document: Arc::new(document(0, 0..30)),
        },
    }
}

fn route(number: usize) -> Route {
    Route {
        name: format!("route-{number}").into(),
        path_prefix: format!("/resource-{number}").into(),
        methods: vec!["GET".into(), "POST".into()],
        access: Access::Keyed,
        idempotent: number.is_multiple_of(2),
        idempotency_key_optional: false,
        timeout_ms: 2_000,
        weight: 1,
    }
}

fn address(number: usize) -> SocketAddr {
    let third = u8::try_from(number / 250 % 250).unwrap_or(0);
    let fourth = u8::try_from(number % 250).unwrap_or(0);
    SocketAddr::from(([10, 0, third, fourth], 7000))
}
