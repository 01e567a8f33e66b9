//! Faults that other operators have reported: withdrawals that a restart forgets, and malformed messages that take a process
//! down.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use radishpaddle_e2e::fleet::Node;
use radishpaddle_e2e::plan::{parse_organisation, service_document};
use radishpaddle_e2e::traffic::operation;
use radishpaddle_e2e::{FleetPlan, ProcessFleet};
use radishpaddle_testkit::caller::{AttemptResult, Caller, CallerSettings};

const CONTROL: Node = Node::Control(0);

const ENTRIES: [Node; 3] = [Node::Entry(0), Node::Entry(1), Node::Entry(2)];

/// Timeout for processes to become ready, and for the fleet to serve, after a start.
const START_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which requests are sent after a restart.
const OBSERVED: Duration = Duration::from_secs(3);

/// Time for which malformed messages are sent.
const ATTACK_TIME: Duration = Duration::from_secs(4);

/// Seed of the malformed messages.
const SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Starts a fleet with one service.
async fn start_fleet() -> ProcessFleet {
    let fleet = ProcessFleet::start(FleetPlan::default()).await.unwrap();
    let document = service_document(1_000.0, 200).unwrap();
    fleet.operator().submit_document(&document).unwrap();
    fleet
}

/// Sends a lookup with this key to each entry instance. Returns whether one was served.
async fn is_served(fleet: &ProcessFleet, key: &str) -> bool {
    let service = "bookings".parse().unwrap();
    for address in fleet.caller_addresses() {
        let organisation = parse_organisation("north").unwrap();
        let settings = CallerSettings {
            max_attempts: 1,
            ..CallerSettings::new(vec![address]).with_key(organisation, key)
        };
        let lookup = operation(&service, "lookup".into(), false);
        let told = Caller::new(settings, None).perform(&lookup).await;
        if matches!(told, AttemptResult::Answer { status: 200, .. }) {
            return true;
        }
    }
    false
}

async fn wait_until_served(fleet: &ProcessFleet, key: &str, is_expected: bool) {
    let deadline = Instant::now() + START_TIMEOUT;
    while is_served(fleet, key).await != is_expected {
        assert!(Instant::now() < deadline, "served: not {is_expected}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Checks for a while that the valid key works and the withdrawn one does not.
async fn check_keys(fleet: &ProcessFleet, valid: &str, withdrawn: &str, restarted: &str) {
    let started_at = Instant::now();
    let mut served = false;
    while started_at.elapsed() < OBSERVED || !served {
        assert!(
            started_at.elapsed() < START_TIMEOUT,
            "{restarted}: no service"
        );
        let is_withdrawn_served = is_served(fleet, withdrawn).await;
        assert!(!is_withdrawn_served, "{restarted}: withdrawn key works");
        served |= is_served(fleet, valid).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against a withdrawn key that works again after restarts of entry instances, of control, or of all of them.
#[tokio::test(flavor = "multi_thread")]
async fn withdrawn_keys_work_again_after_restarts() {
    let mut fleet = start_fleet().await;
    let withdrawn = fleet.operator().create_key("north", "north-1").unwrap();
    let valid = fleet.operator().create_key("north", "north-2").unwrap();
    wait_until_served(&fleet, &withdrawn, true).await;
    fleet.operator().withdraw_key("north-1").unwrap();
    wait_until_served(&fleet, &withdrawn, false).await;

    let all = [CONTROL, ENTRIES[0], ENTRIES[1], ENTRIES[2]];
    let restarts: [(&str, &[Node]); 3] = [
        ("one entry instance", &ENTRIES[..1]),
        ("control", &[CONTROL]),
        ("all processes", &all),
    ];
    for (restarted, nodes) in restarts {
        for node in nodes {
            fleet.process(*node).kill().unwrap();
        }
        for node in nodes {
            fleet.restart(*node).unwrap();
        }
        check_keys(&fleet, &valid, &withdrawn, restarted).await;
    }
}

/// Returns the next number of a xorshift generator.
fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

/// Replaces up to eight bytes of a message, and cuts it.
fn damage(message: &[u8], random: &mut u64) -> Vec<u8> {
    let mut damaged = message.to_vec();
    let length = message.len() as u64;
    for _ in 0..next_random(random) % 8 {
        let position = usize::try_from(next_random(random) % length).unwrap();
        damaged[position] = next_random(random).to_le_bytes()[0];
    }
    if next_random(random).is_multiple_of(4) {
        damaged.truncate(usize::try_from(next_random(random) % length).unwrap());
    }
    damaged
}

/// Sends a message and waits shortly for an answer.
fn send_message(address: SocketAddr, message: &[u8]) {
    if let Ok(mut stream) = TcpStream::connect(address) {
        let wait = Some(Duration::from_millis(10));
        stream.set_read_timeout(wait).unwrap();
        let _ = stream.write_all(message);
        let _ = stream.read(&mut [0; 512]);
    }
}

/// Guards against an entry or control instance that ends, or serves no more, after a malformed message.
#[tokio::test(flavor = "multi_thread")]
async fn a_malformed_message_takes_an_instance_down() {
    let mut fleet = start_fleet().await;
    let key = fleet.operator().create_key("north", "north-1").unwrap();
    wait_until_served(&fleet, &key, true).await;
    let mut addresses = fleet.caller_addresses();
    addresses.push(fleet.operator_address(0));
    addresses.extend(
        [CONTROL, ENTRIES[0], ENTRIES[1], ENTRIES[2]].map(|node| fleet.admin_address(node)),
    );
    let request = format!(
        "POST /holds/7 HTTP/1.1\r\nHost: hire.example\r\nX-Api-Key: {key}\r\nX-Deadline-Ms: 50\r\n\
         Idempotency-Key: 9c41\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nheld\r\n0\r\n\r\n"
    );
    let mut random = SEED;

    let started_at = Instant::now();
    let mut messages = 0;
    while started_at.elapsed() < ATTACK_TIME {
        for address in &addresses {
            let noise = [0; 64].map(|_: u64| next_random(&mut random).to_le_bytes());
            send_message(*address, noise.as_flattened());
            send_message(*address, &damage(request.as_bytes(), &mut random));
            messages += 2;
        }
    }

    assert!(messages > 200, "{messages} messages");
    let limit = Duration::from_secs(2);
    for node in [CONTROL, ENTRIES[0], ENTRIES[1], ENTRIES[2]] {
        fleet.wait_node_ready(node, limit).unwrap();
    }
    let other = fleet.operator().create_key("north", "north-2").unwrap();
    wait_until_served(&fleet, &other, true).await;
}
