//! Selection of backend servers by health, load and availability zone.

use std::collections::HashMap;
use std::time::Duration;

use radishpaddle_gateway::health::Health;
use radishpaddle_gateway::selection::{Candidate, FailureImpact, Standing, choose};
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

fn server(index: usize) -> Candidate {
    Candidate {
        index,
        standing: Standing::Healthy,
        failure_probability: 0.016,
        in_flight: 1,
        slots: 3,
        same_zone: true,
        warming_up: false,
        silent: false,
        unused_for: Duration::ZERO,
    }
}

fn suspect(index: usize, unused_for: Duration) -> Candidate {
    Candidate {
        standing: Standing::Suspect,
        failure_probability: 0.5,
        in_flight: 0,
        unused_for,
        ..server(index)
    }
}

/// Guards against a recovered server that is not probed because probes are assigned at random: with ten
/// suspects one of them got no request for two seconds.
#[test]
fn every_suspect_gets_its_trial_in_turn() {
    const SUSPECTS: usize = 10;
    const REQUEST_PERIOD: Duration = Duration::from_millis(40);
    let longest_wait = Duration::from_secs(2);
    for seed in 0..50 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut last_used_at = [Duration::ZERO; SUSPECTS];
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(20) {
            now += REQUEST_PERIOD;
            let mut candidates = vec![server(SUSPECTS)];
            for (index, used_at) in last_used_at.iter().enumerate() {
                candidates.push(suspect(index, now.saturating_sub(*used_at)));
            }

            let chosen = choose(&candidates, FailureImpact::Retryable, &mut rng).unwrap();

            if chosen < SUSPECTS {
                last_used_at[chosen] = now;
            }
            for (index, used_at) in last_used_at.iter().enumerate() {
                let waited = now.saturating_sub(*used_at);
                assert!(
                    waited <= longest_wait,
                    "seed {seed}, suspect {index}: {waited:?}"
                );
            }
        }
    }
}

/// Guards against a server with a moderately raised failure probability that gets no requests for seconds: it
/// costs more than the others, but is not suspect.
#[test]
fn a_half_believed_server_gets_requests() {
    let mut rng = SmallRng::seed_from_u64(7);
    let degraded = Candidate {
        failure_probability: 0.12,
        unused_for: Duration::from_millis(1_500),
        ..server(1)
    };
    let candidates = [server(0), degraded, server(2)];
    let chosen =
        (0..100).filter(|_| choose(&candidates, FailureImpact::Retryable, &mut rng) == Some(1));
    assert!(chosen.count() > 50);
}

/// Guards against a lost request that cannot be retried and was used as a probe although idempotent requests
/// could be.
#[test]
fn actions_avoid_suspects() {
    let mut rng = SmallRng::seed_from_u64(7);
    let candidates = [server(0), suspect(1, Duration::from_mins(1))];
    for _ in 0..1_000 {
        assert_eq!(choose(&candidates, FailureImpact::Final, &mut rng), Some(0));
    }
}

/// Guards against recovered servers that are never used again by a service without idempotent requests.
#[test]
fn actions_try_suspects_where_nothing_else_can() {
    let mut rng = SmallRng::seed_from_u64(7);
    let candidates = [server(0), suspect(1, Duration::from_secs(3))];
    let impact = FailureImpact::FinalWithoutProbes { degraded: true };
    let probes = (0..1_000).filter(|_| choose(&candidates, impact, &mut rng) == Some(1));
    assert!(probes.count() > 300);
}

/// Guards against a server that gets no requests after its pause because the others have newer answers, and against one that
/// all gateways use at the same moment.
#[test]
fn a_resumed_server_waits_for_a_probe() {
    let mut rng = SmallRng::seed_from_u64(7);
    let resumed = Candidate {
        standing: Standing::Resumed,
        failure_probability: 0.034,
        unused_for: Duration::from_millis(300),
        ..server(1)
    };
    let candidates = [server(0), resumed, server(2)];
    for impact in [
        FailureImpact::Retryable,
        FailureImpact::Final,
        FailureImpact::FinalWithoutProbes { degraded: false },
    ] {
        let chosen = (0..1_000).filter(|_| choose(&candidates, impact, &mut rng) == Some(1));
        let chosen = chosen.count();
        assert!((300..=700).contains(&chosen), "{impact:?}: {chosen}");
    }
}

/// Guards against the selection of no server when all servers are in connect back-off.
#[test]
fn avoided_servers_are_the_last_resort() {
    let mut rng = SmallRng::seed_from_u64(7);
    let in_backoff = Candidate {
        standing: Standing::ConnectBackoff,
        ..server(0)
    };
    assert_eq!(
        choose(&[in_backoff], FailureImpact::Final, &mut rng),
        Some(0)
    );
    assert_eq!(
        choose(&[in_backoff, server(1)], FailureImpact::Final, &mut rng),
        Some(1)
    );
    assert_eq!(choose(&[], FailureImpact::Final, &mut rng), None);
}

/// Guards against uneven load from one gateway: equal servers get about the same number of requests.
#[test]
fn equal_servers_share_the_load() {
    let mut rng = SmallRng::seed_from_u64(7);
    let candidates: Vec<_> = (0..6).map(server).collect();
    let mut counts: HashMap<usize, u32> = HashMap::new();
    for _ in 0..6_000 {
        let chosen = choose(&candidates, FailureImpact::Final, &mut rng).unwrap();
        *counts.entry(chosen).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (800..1_200).contains(count)),
        "{counts:?}"
    );
}

/// Guards against slow detection of failures and recoveries: background errors are rare, so a few failures make
/// a server suspect, and a few successes clear it.
#[test]
fn a_few_results_decide() {
    let mut health = Health::default();
    let now = Duration::from_secs(100);
    assert!(!health.is_suspect(now));
    health.record(0, 1, now);
    assert!(health.is_suspect(now));
    health.record(4, 0, now);
    assert!(!health.is_suspect(now));
    health.record(0, 3, now);
    assert!(health.is_suspect(now + Duration::from_secs(2)));
    assert!(!health.is_suspect(now + Duration::from_secs(30)));
}
