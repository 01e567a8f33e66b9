//! Test data for the measurements: messages, a witness, and a configuration of the target size.

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

/// Number of witnesses of a group.
pub const WITNESS_COUNT: usize = 5;

/// Number of routes of a service at the target size: 8,300 routes divided among 600 services.
const ROUTES_PER_SERVICE: usize = 14;

/// Builds the identity and incarnation of an entry instance.
///
/// # Panics
///
/// Never panics: the name is an identifier.
#[must_use]
pub fn instance_life(number: usize) -> InstanceIncarnation {
    InstanceIncarnation {
        instance: format!("entry-{number}").parse().expect("valid identifier"),
        incarnation: Incarnation(1_796_368_000_000 + number as u64),
    }
}

/// Builds the poll `count` of an entry instance, with the position `instances` in the instance table.
///
/// # Panics
///
/// Never panics: the names are identifiers.
#[must_use]
pub fn poll_request(number: usize, count: u64, instances: Cursor) -> PollRequest {
    PollRequest {
        generation: Generation(1),
        life: instance_life(number),
        number: count,
        address: address(number),
        availability_zone: "zone-a".parse().expect("valid identifier"),
        state: InstanceState::Serving,
        applied: Revision(4_000),
        instances,
    }
}

/// Builds a witness whose generation has started, with a number of members that have polled it.
#[must_use]
pub fn serving_witness(members: usize, now: Duration) -> Witness {
    let own_life = instance_life(0);
    let group = WitnessGroup {
        generation: Generation(1),
        witnesses: (0..WITNESS_COUNT)
            .map(|number| instance_life(number).instance)
            .collect(),
    };
    let peers = group.witnesses.iter().cloned();
    let mut witness = Witness::new(own_life.clone(), peers, ClaimSettings::default(), now);
    let start = GenerationStart {
        group,
        witness: own_life,
        revision: Revision(4_000),
        claims_lost: false,
    };
    let started = witness.start_generation(now, &start);
    debug_assert!(started.is_ok(), "the witness starts a new generation");
    for number in 0..members {
        witness.poll(now, &poll_request(number, 1, Cursor::default()));
    }
    witness
}

/// Builds an announcement of a backend server; 17 backend servers belong to each service.
///
/// # Panics
///
/// Never panics: the names are identifiers.
#[must_use]
pub fn announcement(number: usize, sequence: u64) -> Announcement {
    Announcement {
        service: service_id(number / 17),
        backend_server: format!("backend-{number}")
            .parse()
            .expect("valid identifier"),
        incarnation: Incarnation(1_796_368_000_000),
        sequence,
        address: address(number),
        availability_zone: "zone-a".parse().expect("valid identifier"),
        slots: 6,
        state: BackendState::Serving,
    }
}

/// Builds the identifier of a service.
///
/// # Panics
///
/// Never panics: the name is an identifier.
#[must_use]
pub fn service_id(number: usize) -> ServiceId {
    format!("service-{number}")
        .parse()
        .expect("valid identifier")
}

/// Builds the document of a service with limits for a range of organisations.
///
/// # Panics
///
/// Never panics: the names and numbers are valid.
#[must_use]
pub fn service_document(number: usize, organisations: std::ops::Range<usize>) -> ServiceDocument {
    let rate = RatePerSecond::try_from(20.0).expect("valid rate");
    ServiceDocument {
        service: service_id(number),
        hosts: vec![format!("service-{number}.example").into()],
        routes: (0..ROUTES_PER_SERVICE).map(route).collect(),
        organisations: organisations
            .map(|organisation| OrganisationLimit {
                organisation: format!("organisation-{organisation}")
                    .parse()
                    .expect("valid identifier"),
                rate_per_s: rate,
                burst: 40,
            })
            .collect(),
        floor_percent: Percent::try_from(60.0).expect("valid percentage"),
        max_request_bytes: ByteSize(1 << 20),
        max_answer_bytes: ByteSize(1 << 20),
        retry: RetryPolicy::default(),
        objective: Objective {
            success_percent: Percent::try_from(99.5).expect("valid percentage"),
            latency_ms: 500,
        },
    }
}

/// Builds a configuration in which each organisation calls one service and has one key.
///
/// # Panics
///
/// Never panics: the names are identifiers.
#[must_use]
pub fn fleet_config(services: usize, organisations: usize) -> FleetConfig {
    let mut config = FleetConfig::default();
    let per_service = organisations / services.max(1);
    for number in 0..services {
        let range = number * per_service..(number + 1) * per_service;
        let entry = ServiceEntry {
            revision: Revision(number as u64 + 1),
            document: Arc::new(service_document(number, range)),
        };
        config.services.insert(service_id(number), entry);
    }
    for number in 0..organisations {
        let key: OrganisationKey = format!("rk_{number:032x}").parse().expect("valid key");
        let record = KeyRecord {
            key_id: format!("key-{number}").parse().expect("valid identifier"),
            organisation: format!("organisation-{number}")
                .parse()
                .expect("valid identifier"),
        };
        config.keys.insert(key.hash(), record);
    }
    config.revision = Revision((services + organisations) as u64);
    config
}

/// Builds the next change of the configuration, which replaces the document of one service.
#[must_use]
pub fn change_record(config: &FleetConfig) -> ChangeRecord {
    ChangeRecord {
        revision: config.revision.next(),
        change: Change::PutService {
            document: Arc::new(service_document(0, 0..30)),
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
    let third_octet = u8::try_from(number / 250 % 250).unwrap_or(0);
    let fourth_octet = u8::try_from(number % 250).unwrap_or(0);
    SocketAddr::from(([10, 0, third_octet, fourth_octet], 7000))
}
