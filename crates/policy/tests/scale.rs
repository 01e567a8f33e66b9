//! Runs the leader at the planned size: 10,000 backend servers in 600 services, 710 entry instances
//! and 190,000 requests per second.

use std::time::{Duration, Instant};

use radishpaddle_model::{Incarnation, InstanceId, Percent};
use radishpaddle_policy::latency::Histogram;
use radishpaddle_policy::{
    Action, EvidenceCell, HealthLeader, HealthReport, RequestClass, ServerInfo, ServerKey,
    ServiceKey, VerdictVersion,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SERVERS: u64 = 10_000;
const SERVICES: u64 = 600;
const INSTANCES: usize = 710;
/// Requests of one instance in a period of 250 ms: 190,000 / 710 / 4.
const REQUESTS_PER_REPORT: usize = 67;
const REPORT_PERIOD: Duration = Duration::from_millis(250);
const SLOW_SERVER: u64 = 4321;

fn leader() -> HealthLeader {
    let mut leader = HealthLeader::new(1, Duration::ZERO);
    for service in 0..SERVICES {
        leader.put_service(ServiceKey(service), Percent::try_from(60.0).unwrap());
    }
    for server in 0..SERVERS {
        let info = ServerInfo {
            server: ServerKey(server),
            service: ServiceKey(server % SERVICES),
            slots: 3,
            draining: false,
            incarnation: Incarnation(1),
            announced_at: Duration::ZERO,
        };
        leader.put_server(info, Duration::ZERO);
    }
    leader
}

fn cell(server: u64, slow: bool) -> EvidenceCell {
    let mut latency = Histogram::default();
    latency.add(Duration::from_millis(50));
    EvidenceCell {
        server: ServerKey(server),
        class: RequestClass(1),
        dispatched: 1,
        succeeded: 1,
        errors: 0,
        truncated: 0,
        timed_out: 0,
        connect_failed: 0,
        connection_lost: 0,
        shed: 0,
        cancelled: 0,
        in_flight: 0,
        busy_ms: if slow { 500 } else { 50 },
        latency,
    }
}

/// Guards against a slow server that is not detected among 10,000. Prints the cost of a tick
/// including its reports.
#[test]
fn one_slow_server_among_ten_thousand_is_found() {
    let mut leader = leader();
    let mut rng = SmallRng::seed_from_u64(1);
    let instances: Vec<InstanceId> = (0..INSTANCES)
        .map(|index| format!("entry-{index}").parse().unwrap())
        .collect();
    let mut applied = vec![VerdictVersion::default(); INSTANCES];
    let mut ejected = Vec::new();
    let mut costs = Vec::new();
    let mut now = Duration::ZERO;
    for tick in 0..80 {
        now += REPORT_PERIOD;
        let reports: Vec<HealthReport> = applied
            .iter()
            .map(|applied| HealthReport {
                zone: None,
                cells: (0..REQUESTS_PER_REPORT)
                    .map(|_| {
                        let server = rng.random_range(0..SERVERS);
                        cell(server, tick >= 40 && server == SLOW_SERVER)
                    })
                    .collect(),
                applied: *applied,
                held: Vec::new(),
            })
            .collect();
        let started = Instant::now();
        for ((instance, report), applied) in instances.iter().zip(reports).zip(&mut applied) {
            *applied = leader.sync(instance, report, now).update.version;
        }
        ejected.extend(leader.tick(now, &mut rng));
        costs.push(started.elapsed());
    }
    costs.sort_unstable();
    println!(
        "reports and tick: median {:?}, longest {:?}",
        costs[40], costs[79]
    );

    let ejected: Vec<u64> = ejected
        .iter()
        .filter(|decision| matches!(decision.action, Action::Ejected { .. }))
        .map(|decision| decision.server.0)
        .collect();
    assert_eq!(ejected.first(), Some(&SLOW_SERVER), "{ejected:?}");
    assert!(ejected.iter().all(|server| *server == SLOW_SERVER));
}
