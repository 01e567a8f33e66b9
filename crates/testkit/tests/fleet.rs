//! A fleet of separate processes keeps its guarantees while processes, backend servers and network paths
//! fail.

use std::collections::BTreeMap;
use std::time::Duration;

use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::{SERVICE, parse_organisation, service_document};
use radishpaddle_e2e::traffic::{TrafficPlan, operation};
use radishpaddle_e2e::{FleetPlan, ProcessFleet, Traffic};
use radishpaddle_model::RatePerSecond;
use radishpaddle_testkit::backend::{FaultPlan, RunningBackend};
use radishpaddle_testkit::caller::{AttemptResult, Caller, CallerSettings};
use radishpaddle_testkit::clock::now_us;
use radishpaddle_testkit::fault_proxy::Loss;
use radishpaddle_testkit::history::{History, KeyGrant, RateLimit};
use tokio::sync::{Mutex, MutexGuard};
use tokio::task::block_in_place;
use tokio::time::sleep;

/// Time after an acknowledged withdrawal during which a key may still be accepted, as on the design page.
const WITHDRAWAL_GRACE_US: u64 = 4_000_000;

const ENTRIES: usize = 5;
const NORTH_RATE: f64 = 200.0;
const SOUTH_RATE: f64 = 20.0;
const BURST: u32 = 40;

/// Number of callers that exceeds the rate of "south" however they spread over the entry instances. Up
/// to 20 requests, one second of the rate, wait for tokens without a refusal.
const CALLERS_ABOVE_RATE: usize = 40;

/// Held while a fleet runs. Fleets that run concurrently on one machine would disturb each other's timing.
static FLEET_LOCK: Mutex<()> = Mutex::const_new(());

/// Running fleet with the keys of two organisations; `north` has the higher rate.
struct TestFleet {
    fleet: ProcessFleet,
    traffic: Traffic,
    north: String,
    south: String,
    south_withdrawn_us: Option<u64>,
    _fleet_lock: MutexGuard<'static, ()>,
}

async fn start() -> TestFleet {
    let fleet_lock = FLEET_LOCK.lock().await;
    let plan = FleetPlan {
        entries: ENTRIES,
        backends: 6,
        ..FleetPlan::default()
    };
    let fleet = ProcessFleet::start(plan).await.unwrap();
    let mut document = service_document(NORTH_RATE, BURST).unwrap();
    document.organisations[1].rate_per_s = RatePerSecond::try_from(SOUTH_RATE).unwrap();
    let operator = fleet.operator();
    let (north, south) = block_in_place(|| {
        operator.submit_document(&document).unwrap();
        let north = operator.create_key("north", "north-1").unwrap();
        (north, operator.create_key("south", "south-1").unwrap())
    });
    let setup = TestFleet {
        fleet,
        traffic: Traffic::new(),
        north,
        south,
        south_withdrawn_us: None,
        _fleet_lock: fleet_lock,
    };
    setup.wait_until_served().await;
    setup
}

impl TestFleet {
    fn caller(&self, seeds: Vec<std::net::SocketAddr>) -> Caller {
        let organisation = parse_organisation("north").unwrap();
        let settings = CallerSettings::new(seeds).with_key(organisation, self.north.clone());
        Caller::new(settings, Some(self.traffic.recorder().clone()))
    }

    /// Waits until every entry instance serves requests.
    async fn wait_until_served(&self) {
        for (index, address) in self.fleet.caller_addresses().into_iter().enumerate() {
            let caller = self.caller(vec![address]);
            for number in 0..100 {
                let id = format!("start-{index}-{number}");
                let operation = operation(&SERVICE.parse().unwrap(), id, false);
                if matches!(
                    caller.perform(&operation).await,
                    AttemptResult::Answer { status: 200, .. }
                ) {
                    break;
                }
                assert!(number < 99, "entry instance {index} does not serve");
                sleep(Duration::from_millis(100)).await;
            }
        }
    }

    fn start_callers(&self, name: &str, callers: usize, action_every: u64) {
        let key = if name == "north" {
            &self.north
        } else {
            &self.south
        };
        let plan = TrafficPlan {
            organisation: parse_organisation(name).unwrap(),
            key: key.clone(),
            callers,
            pause: Duration::from_millis(10),
            action_every,
            max_attempts: 3,
        };
        self.traffic
            .start(&self.fleet.caller_addresses(), &plan)
            .unwrap();
    }

    /// Sets the loss of all traffic from other processes to an entry instance. Its outbound traffic is
    /// not affected.
    fn set_inbound_loss(&self, entry: usize, loss: Loss) {
        let own = Node::Entry(entry);
        let others = (0..ENTRIES).map(Node::Entry).filter(|other| *other != own);
        for other in others {
            self.fleet
                .link(other, own)
                .modify_plan(|plan| plan.to_target.loss = loss);
            self.fleet
                .link(own, other)
                .modify_plan(|plan| plan.to_client.loss = loss);
        }
        let control = self.fleet.link(Node::Control(0), own);
        control.modify_plan(|plan| plan.to_target.loss = loss);
    }

    fn history(&self) -> History {
        let grant = |name: &str, key: &str, withdrawn_us| KeyGrant {
            key: key.to_owned(),
            organisation: parse_organisation(name).unwrap(),
            withdrawn_us,
        };
        let limit = |name: &str, rate_per_s| RateLimit {
            service: SERVICE.parse().unwrap(),
            organisation: parse_organisation(name).unwrap(),
            rate_per_s,
            burst: BURST,
        };
        let backends = self.fleet.backends().iter();
        History {
            attempts: self.traffic.recorder().attempts(),
            executions: backends.flat_map(RunningBackend::executions).collect(),
            keys: vec![
                grant("north", &self.north, None),
                grant("south", &self.south, self.south_withdrawn_us),
            ],
            limits: vec![limit("north", NORTH_RATE), limit("south", SOUTH_RATE)],
            withdrawal_grace_us: WITHDRAWAL_GRACE_US,
            organisation_header: None,
        }
    }

    fn assert_no_violation(&self) {
        println!("{:?}", self.outcomes());
        let violations = self.history().violations();
        let texts: Vec<String> = violations.iter().take(5).map(ToString::to_string).collect();
        assert!(
            texts.is_empty(),
            "{} violations:\n{}",
            violations.len(),
            texts.join("\n")
        );
    }

    /// Counts attempts by result, for the output of a test.
    fn outcomes(&self) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for attempt in self.traffic.recorder().attempts() {
            let label = match attempt.told {
                AttemptResult::Answer { status, code, .. } => format!("answer {status} {code:?}"),
                AttemptResult::NotRun { code } => format!("not run {code}"),
                AttemptResult::OutcomeUnknown { code } => format!("outcome unknown {code}"),
                AttemptResult::NotSent { .. } => "not sent".into(),
                AttemptResult::Broken { .. } => "no complete response".into(),
            };
            *counts.entry(label).or_default() += 1;
        }
        counts
    }

    /// Counts the refusals of an organisation because of its rate. The requests of [`Self::wait_served`]
    /// are not counted, since no allocations exist at that time.
    fn rate_refusals(&self, name: &str) -> usize {
        let attempts = self.traffic.recorder().attempts().into_iter();
        let own = attempts.filter(|attempt| attempt.operation.starts_with(name));
        own.filter(|attempt| attempt.told == AttemptResult::NotRun { code: 2_005 })
            .count()
    }
}

/// Guards against violations of P2 to P8 while a key is withdrawn, backend servers truncate responses,
/// respond late and crash, and entry instances are killed, suspended and partitioned in one direction.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn guarantees_hold_under_faults() {
    let mut setup = start().await;
    setup.start_callers("north", 4, 2);
    setup.start_callers("south", 2, 2);

    let cut = FaultPlan {
        truncate_after_bytes: Some(20),
        ..FaultPlan::default()
    };
    setup.fleet.backends()[0].set_faults(cut);
    let late = FaultPlan {
        answer_after_deadline: true,
        ..FaultPlan::default()
    };
    setup.fleet.backends()[1].set_faults(late);
    sleep(Duration::from_secs(2)).await;
    setup.fleet.backends()[2].crash(Some(500));
    setup.fleet.process(Node::Entry(4)).kill().unwrap();
    sleep(Duration::from_secs(2)).await;
    setup.fleet.restart(Node::Entry(4)).unwrap();
    let operator = setup.fleet.operator();
    block_in_place(|| operator.withdraw_key("south-1")).unwrap();
    setup.south_withdrawn_us = Some(now_us());
    setup.set_inbound_loss(3, Loss::Stall);
    sleep(Duration::from_secs(5)).await;
    setup.set_inbound_loss(3, Loss::None);
    setup.fleet.process(Node::Entry(0)).suspend().unwrap();
    sleep(Duration::from_secs(3)).await;
    setup.fleet.process(Node::Entry(0)).resume().unwrap();
    sleep(Duration::from_secs(3)).await;
    setup.traffic.stop().await;

    setup.assert_no_violation();
}

/// Guards against rate limits that hold for each entry instance instead of the fleet (P5), and against
/// refusals of an organisation that stays within its rate.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn rate_holds_over_all_instances() {
    let setup = start().await;
    setup.start_callers("south", CALLERS_ABOVE_RATE, 0);
    setup.start_callers("north", 1, 0);

    sleep(Duration::from_secs(8)).await;
    setup.traffic.stop().await;

    assert!(
        setup.rate_refusals("south") > 0,
        "the load did not reach the limit"
    );
    assert_eq!(setup.rate_refusals("north"), 0);
    setup.assert_no_violation();
}

async fn send_request(caller: &Caller, path: &str, body: String) {
    let id = format!("north-{}", path.len() + body.len());
    let mut operation = operation(&SERVICE.parse().unwrap(), id, true);
    operation.path = path.to_owned();
    operation.body = body.into();
    caller.perform(&operation).await;
}

/// Guards against a key in the path, the query or the body that is forwarded to a backend server (P3).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn key_in_path_query_or_body_stays_within_the_proxy() {
    let setup = start().await;
    let caller = setup.caller(setup.fleet.caller_addresses());
    let key = &setup.north;

    send_request(&caller, &format!("/holds?key={key}"), String::new()).await;
    send_request(&caller, &format!("/holds/{key}"), String::new()).await;
    send_request(&caller, "/holds", format!("{{\"key\":\"{key}\"}}")).await;

    setup.assert_no_violation();
}

/// Guards against a percent-encoded key that is forwarded to a backend server (P3).
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn percent_encoded_key_stays_within_the_proxy() {
    let setup = start().await;
    let caller = setup.caller(setup.fleet.caller_addresses());
    let bytes = setup.north.bytes();
    let encoded = bytes.fold(String::new(), |text, byte| text + &format!("%{byte:02X}"));

    send_request(&caller, &format!("/holds?key={encoded}"), String::new()).await;
    send_request(&caller, &format!("/holds/{encoded}"), String::new()).await;

    setup.assert_no_violation();
}
