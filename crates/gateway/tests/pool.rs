//! Selection among many backend servers by many gateways.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_gateway::pool::Pools;
use radishpaddle_gateway::settings::RetryBudgetSettings;
use radishpaddle_model::{
    BackendState, Retirement, ServerEvidence, ServerPresence, short_name_key,
};
use radishpaddle_wire::ServerUpdate;

const SERVERS: usize = 300;
const GATEWAYS: u32 = 47;
const NOW: Duration = Duration::from_secs(100);

fn server_name(number: usize) -> Arc<str> {
    format!("server-{number}").into()
}

fn server_update(number: usize) -> ServerUpdate {
    ServerUpdate {
        presence: ServerPresence {
            id: server_name(number),
            service: "lookups".into(),
            address: "127.0.0.1:9".parse().unwrap(),
            zone: "yard".into(),
            slots: 3,
            state: BackendState::Serving,
            started_at_ms: 1,
            sequence: 1,
            warmup_left_ms: 0,
        },
        silent: false,
    }
}

/// Pools in which all servers except the first have requests in flight from another gateway.
fn pools() -> Pools {
    let budget = RetryBudgetSettings {
        ratio: 0.2,
        slack: 10.0,
        window_ms: 10_000,
    };
    let mut pools = Pools::new("yard".into(), budget);
    pools.set_gateways(GATEWAYS);
    for number in 0..SERVERS {
        pools.update(server_update(number), NOW);
        let evidence = ServerEvidence {
            server: short_name_key(&server_name(number)),
            succeeded: 1,
            failed: 0,
            in_flight: if number == 0 { 0 } else { 2 },
        };
        pools.record_evidence(1, evidence, NOW);
    }
    pools
}

/// Guards against gateways that all send their next requests to the one server that was last reported idle, which then
/// sheds them.
#[test]
fn gateways_with_the_same_view_spread_their_requests() {
    let mut chosen: HashMap<Arc<str>, u32> = HashMap::new();
    for _ in 0..GATEWAYS {
        let mut pools = pools();
        let mut choose = || pools.choose("lookups", false, true, &[], NOW).unwrap();
        let choices: Vec<_> = (0..6).map(|_| choose()).collect();
        *chosen
            .entry(Arc::clone(&choices[5].server.name))
            .or_default() += 1;
    }

    let most = chosen.values().max().unwrap();
    assert!(*most <= 10, "{most} of {GATEWAYS} requests at one server");
}

/// Guards against a request that is refused although a server is left: the sample must be drawn from the eligible
/// servers.
#[test]
fn the_last_server_that_fits_is_found() {
    let mut pools = pools();
    let excluded: Vec<_> = (1..SERVERS).map(server_name).collect();

    let choice = pools.choose("lookups", false, true, &excluded, NOW);

    assert_eq!(choice.unwrap().server.name, server_name(0));
}

/// Guards against sampling while a service is idle: the sample may miss the server that is known to be best and has
/// capacity.
#[test]
fn an_idle_service_uses_the_best_of_all_servers() {
    let choose = || pools().choose("lookups", false, true, &[], NOW).unwrap();

    let best = (0..GATEWAYS).filter(|_| choose().server.name == server_name(0));

    assert!(best.count() > 20);
}

fn retirement(number: usize) -> Retirement {
    Retirement {
        id: server_name(number),
        started_at_ms: 1,
        state: BackendState::Left,
    }
}

fn is_chosen(pools: &mut Pools, number: usize) -> bool {
    let others = (0..SERVERS).filter(|other| *other != number);
    let others: Vec<_> = others.map(server_name).collect();
    let choice = pools.choose("lookups", false, true, &others, NOW);
    choice.is_ok()
}

/// Guards against a retirement that is lost when a coordinator with an older log index answers, and against a list of
/// retirements that grows without bound.
#[test]
fn a_newer_list_of_retirements_replaces_the_one_before() {
    let mut pools = pools();

    pools.retire(vec![retirement(1), retirement(2)], 10);
    pools.retire(vec![retirement(3)], 9);
    let after_older = [1, 2, 3, 4].map(|number| is_chosen(&mut pools, number));
    pools.retire(vec![retirement(2)], 11);
    let after_newer = [1, 2, 3, 4].map(|number| is_chosen(&mut pools, number));

    assert_eq!(after_older, [false, false, false, true]);
    assert_eq!(after_newer, [true, false, true, true]);
}

/// Guards against evidence that grows with the number of polls: an unchanged number of requests in flight is reported
/// again only before the other gateways would forget it.
#[test]
fn unchanged_requests_in_flight_are_reported_seldom() {
    let mut pools = pools();
    pools.choose("lookups", false, true, &[], NOW).unwrap();
    let times = (0..40).map(|step| NOW + Duration::from_millis(25) * step);

    let reports: Vec<usize> = times.map(|now| pools.take_evidence(now).len()).collect();

    assert_eq!(reports[0], 1, "a new request is reported at once");
    let total: usize = reports.iter().sum();
    assert!((2..=3).contains(&total), "{total} reports in one second");
}
