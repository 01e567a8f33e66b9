//! Checks the capacity floor under any interleaving of reports, lost and late responses, and leader
//! changes.

use std::collections::BTreeSet;
use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::{Incarnation, InstanceId, Percent};
use radishpaddle_policy::floor::floor_slots;
use radishpaddle_policy::latency::Histogram;
use radishpaddle_policy::{
    Action, EvidenceCell, HealthLeader, HealthReport, HealthResponse, LocalStanding, RequestClass,
    ServerInfo, ServerKey, ServiceKey, VerdictView,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SERVICE: ServiceKey = ServiceKey(1);
const SERVERS: usize = 8;
const SLOTS: u32 = 3;
const ENTRIES: usize = 4;
const REQUESTS: u32 = 20;

#[derive(Debug, Clone, Copy)]
enum Step {
    /// An instance sends a report; the response is in transit.
    Report(usize),
    /// The oldest response in transit arrives.
    Deliver(usize),
    /// The newest response in transit arrives before older ones.
    DeliverNewest(usize),
    /// All responses in transit are lost.
    Lose(usize),
    /// Sets how many of 20 requests fail at a server.
    Fail(usize, u32),
    Tick,
    Wait(u64),
    ChangeLeader,
    Drain(usize),
    Remove(usize),
}

fn common_step() -> BoxedStrategy<Step> {
    let entry = 0..ENTRIES;
    let failures = prop_oneof![Just(0_u32), 4..=REQUESTS];
    prop_oneof![
        8 => entry.clone().prop_map(Step::Report),
        8 => entry.clone().prop_map(Step::Deliver),
        2 => entry.clone().prop_map(Step::DeliverNewest),
        1 => entry.prop_map(Step::Lose),
        4 => (0..SERVERS, failures).prop_map(|(server, failed)| Step::Fail(server, failed)),
        6 => Just(Step::Tick),
        1 => (250_u64..6000).prop_map(Step::Wait),
        1 => Just(Step::ChangeLeader),
    ]
    .boxed()
}

fn step_with_departures() -> BoxedStrategy<Step> {
    prop_oneof![
        20 => common_step(),
        1 => (0..SERVERS).prop_map(Step::Drain),
        1 => (0..SERVERS).prop_map(Step::Remove),
    ]
    .boxed()
}

struct Fleet {
    now: Duration,
    epoch: u64,
    floor: Percent,
    sets_instances: bool,
    leader: HealthLeader,
    views: Vec<VerdictView>,
    responses_in_transit: Vec<Vec<(Duration, HealthResponse)>>,
    failures: Vec<u32>,
    present: BTreeSet<usize>,
    draining: BTreeSet<usize>,
    rng: SmallRng,
}

fn key(server: usize) -> ServerKey {
    ServerKey(server as u64)
}

fn instance(index: usize) -> InstanceId {
    format!("entry-{index}").parse().unwrap()
}

impl Fleet {
    fn new(floor_percent: f64, sets_instances: bool) -> Self {
        let now = Duration::from_secs(100);
        let mut fleet = Self {
            now,
            epoch: 1,
            floor: Percent::try_from(floor_percent).unwrap(),
            sets_instances,
            leader: HealthLeader::new(1, now),
            views: (0..ENTRIES)
                .map(|index| VerdictView::new(instance(index)))
                .collect(),
            responses_in_transit: vec![Vec::new(); ENTRIES],
            failures: vec![0; SERVERS],
            present: (0..SERVERS).collect(),
            draining: BTreeSet::new(),
            rng: SmallRng::seed_from_u64(1),
        };
        fleet.register_servers();
        fleet
    }

    fn register_servers(&mut self) {
        self.leader.put_service(SERVICE, self.floor);
        if self.sets_instances {
            let instances: Vec<InstanceId> = (0..ENTRIES).map(instance).collect();
            self.leader.set_instances(&instances);
        }
        for server in self.present.clone() {
            self.put_server(server);
        }
    }

    fn put_server(&mut self, server: usize) {
        let info = ServerInfo {
            server: key(server),
            service: SERVICE,
            slots: SLOTS,
            draining: self.draining.contains(&server),
            incarnation: Incarnation(1),
            announced_at: Duration::ZERO,
        };
        self.leader.put_server(info, self.now);
    }

    /// Applies a step. Returns the servers that the leader ejected in this step.
    fn apply(&mut self, step: Step) -> Vec<usize> {
        match step {
            Step::Report(index) => self.report(index),
            Step::Deliver(index) if !self.responses_in_transit[index].is_empty() => {
                let (requested_at, response) = self.responses_in_transit[index].remove(0);
                self.views[index].apply(response.update, requested_at);
            }
            Step::DeliverNewest(index) => {
                if let Some((requested_at, response)) = self.responses_in_transit[index].pop() {
                    self.views[index].apply(response.update, requested_at);
                }
            }
            Step::Deliver(_) => {}
            Step::Lose(index) => self.responses_in_transit[index].clear(),
            Step::Fail(server, failed) => self.failures[server] = failed,
            Step::Tick => return self.tick(),
            Step::Wait(count) => self.now += Duration::from_millis(count),
            Step::ChangeLeader => {
                self.epoch += 1;
                self.leader = HealthLeader::new(self.epoch, self.now);
                self.register_servers();
            }
            Step::Drain(server) => {
                if self.present.contains(&server) {
                    self.draining.insert(server);
                    self.put_server(server);
                }
            }
            Step::Remove(server) => {
                self.present.remove(&server);
                self.leader.remove_server(key(server), self.now);
            }
        }
        Vec::new()
    }

    fn tick(&mut self) -> Vec<usize> {
        self.now += Duration::from_millis(250);
        let decisions = self.leader.tick(self.now, &mut self.rng);
        let ejected = decisions
            .iter()
            .filter(|decision| matches!(decision.action, Action::Ejected { .. }));
        ejected
            .map(|decision| usize::try_from(decision.server.0).unwrap())
            .collect()
    }

    fn report(&mut self, index: usize) {
        let view = &self.views[index];
        let cells = self.present.iter().map(|server| self.cell(*server));
        let report = HealthReport {
            zone: None,
            cells: cells.collect(),
            applied: view.applied(self.now),
            held: view.held(self.now),
        };
        let response = self.leader.sync(&instance(index), report, self.now);
        self.responses_in_transit[index].push((self.now, response));
    }

    fn cell(&self, server: usize) -> EvidenceCell {
        let errors = self.failures[server];
        EvidenceCell {
            server: key(server),
            class: RequestClass(1),
            dispatched: REQUESTS,
            succeeded: REQUESTS - errors,
            errors,
            truncated: 0,
            timed_out: 0,
            connect_failed: 0,
            connection_lost: 0,
            shed: 0,
            cancelled: 0,
            in_flight: 0,
            busy_ms: 10 * REQUESTS,
            latency: Histogram::default(),
        }
    }

    /// Returns the slots in rotation. A server counts as out if any instance has it out, or if it
    /// is in `also_out`.
    fn in_rotation(&self, also_out: &[usize]) -> u32 {
        let is_in = |server: &&usize| {
            let key = key(**server);
            let mut views = self.views.iter();
            let in_rotation = views.all(|view| {
                let standing = view.standing(key, self.now);
                matches!(standing, LocalStanding::InRotation { .. })
            });
            in_rotation && !self.draining.contains(*server) && !also_out.contains(*server)
        };
        SLOTS * u32::try_from(self.present.iter().filter(is_in).count()).unwrap()
    }

    fn floor_slots(&self) -> u32 {
        floor_slots(
            SLOTS * u32::try_from(self.present.len()).unwrap(),
            self.floor,
        )
    }
}

proptest! {
    /// Guards against slots below the floor because ejections of several leaders, delayed lists and
    /// returns that are not applied yet add up.
    #[test]
    fn floor_holds_at_any_time(
        floor_percent in 0.0..100.0_f64,
        sets_instances: bool,
        steps in prop::collection::vec(common_step(), 1..400),
    ) {
        let mut fleet = Fleet::new(floor_percent, sets_instances);
        for step in steps {
            fleet.apply(step);
            prop_assert!(fleet.in_rotation(&[]) >= fleet.floor_slots(), "after {step:?}");
        }
    }

    /// Guards against an ejection below the floor after servers started to drain or left.
    #[test]
    fn no_ejection_below_the_floor_while_servers_leave(
        floor_percent in 0.0..100.0_f64,
        steps in prop::collection::vec(step_with_departures(), 1..400),
    ) {
        let mut fleet = Fleet::new(floor_percent, true);
        for step in steps {
            let ejected = fleet.apply(step);
            if !ejected.is_empty() {
                let in_rotation = fleet.in_rotation(&ejected);
                // The ejection of a server that failed its trial takes no further slots out of
                // rotation.
                let known: Vec<usize> = ejected
                    .iter()
                    .copied()
                    .filter(|server| fleet.in_rotation(&[*server]) == fleet.in_rotation(&[]))
                    .collect();
                let newly_out = known.len() < ejected.len();
                prop_assert!(!newly_out || in_rotation >= fleet.floor_slots(), "after {step:?}");
            }
        }
    }
}

/// Guards against floor properties that hold only because no server is ever ejected.
#[test]
fn failing_servers_are_ejected_down_to_the_floor() {
    let mut fleet = Fleet::new(50.0, true);
    for round in 0..60 {
        // The servers fail one by one, since faults of most servers at once count as a common
        // cause.
        let failing = usize::min(round / 10, 6);
        (0..failing).for_each(|server| fleet.failures[server] = 10);
        for index in 0..ENTRIES {
            fleet.apply(Step::Report(index));
            fleet.apply(Step::Deliver(index));
        }
        fleet.apply(Step::Tick);
    }
    assert_eq!(fleet.in_rotation(&[]), fleet.floor_slots());
}

/// Guards against a server with a severe fault that stays in rotation because the ejection of a
/// server with a milder fault has used up the capacity above the floor.
#[test]
fn worse_server_replaces_an_ejected_one_at_the_floor() {
    let mut fleet = Fleet::new(80.0, true);
    let run = |fleet: &mut Fleet, rounds: usize| {
        for _ in 0..rounds {
            for index in 0..ENTRIES {
                fleet.apply(Step::Report(index));
                fleet.apply(Step::Deliver(index));
            }
            fleet.apply(Step::Tick);
        }
    };
    run(&mut fleet, 10);
    fleet.failures[0] = 5;
    run(&mut fleet, 8);
    let is_out =
        |fleet: &Fleet, server: usize| fleet.in_rotation(&[server]) == fleet.in_rotation(&[]);
    assert!(is_out(&fleet, 0));

    fleet.failures[1] = 20;
    run(&mut fleet, 8);

    assert!(is_out(&fleet, 1));
    assert!(!is_out(&fleet, 0));
}
