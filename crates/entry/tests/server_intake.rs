//! What backend servers say in their responses about new requests, over random orders of responses,
//! announcements, restarts and the passage of time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use radishpaddle_entry::backend_info::BackendInfo;
use radishpaddle_entry::metrics::ServerSignalMetrics;
use radishpaddle_entry::server_intake::{ServerIntake, ServerSignals};
use radishpaddle_kernel::{Event as JournalEvent, Journal};
use radishpaddle_model::{Announcement, BackendState, Incarnation};
use radishpaddle_policy::RetryAfter;
use radishpaddle_policy::intake::MAX_RESUME_SPREAD;

/// Pauses that the servers of the property test ask for, in seconds.
const PAUSES: [&str; 3] = ["0.2", "1", "30"];

fn new_intake() -> (ServerIntake, Journal) {
    let journal = Journal::new("entry-1".parse().unwrap(), 1_000);
    let metrics = ServerSignalMetrics::register(&prometheus::Registry::new()).unwrap();
    let intake = ServerIntake::new("bookings".parse().unwrap(), journal.clone(), metrics);
    (intake, journal)
}

fn server(number: usize, incarnation: u64) -> Arc<BackendInfo> {
    let announcement = Announcement {
        service: "bookings".parse().unwrap(),
        backend_server: format!("bookings-{number}").parse().unwrap(),
        incarnation: Incarnation(incarnation),
        sequence: 1,
        address: "127.0.0.1:1".parse().unwrap(),
        availability_zone: "zone-a".parse().unwrap(),
        slots: 4,
        state: BackendState::Serving,
    };
    Arc::new(BackendInfo::new(&announcement, Duration::ZERO))
}

fn signals(status: u16, headers: &[(&'static str, &str)]) -> ServerSignals {
    let mut map = HeaderMap::new();
    for (name, value) in headers {
        let value = HeaderValue::from_str(value).unwrap();
        map.append(HeaderName::from_static(name), value);
    }
    ServerSignals::of_response(StatusCode::from_u16(status).unwrap(), &map)
}

fn pause(text: &str) -> RetryAfter {
    text.parse().unwrap()
}

/// Guards against a signal that is read from a response which does not carry it: a `Retry-After` that is
/// meant for callers, an absurd value, or a leaving header with another value.
#[test]
fn only_shed_requests_pause_and_only_the_value_1_leaves() {
    let none = ServerSignals::default();
    let leaves = ServerSignals {
        leaving: true,
        ..none
    };
    let shed = ("x-shed", "1");
    let cases = [
        (200, vec![("x-leaving", "1")], leaves),
        (500, vec![("x-leaving", "1")], leaves),
        (503, vec![("x-leaving", "1"), shed], leaves),
        (200, vec![("x-leaving", "0"), ("x-leaving", "1")], leaves),
        (200, vec![("x-leaving", "0")], none),
        (200, vec![("x-leaving", "")], none),
        (503, vec![("retry-after", "5")], none),
        (429, vec![("retry-after", "5"), shed], none),
        (
            503,
            vec![("retry-after", "5"), shed],
            ServerSignals {
                pause: Some(pause("5")),
                ..none
            },
        ),
        (
            503,
            vec![
                ("retry-after", "0.5"),
                ("retry-after", "-1"),
                ("retry-after", "2"),
                shed,
            ],
            ServerSignals {
                pause: Some(pause("2")),
                invalid_pauses: 1,
                ..none
            },
        ),
        (
            503,
            vec![
                ("retry-after", "1e309"),
                ("retry-after", ""),
                ("retry-after", "NaN"),
                shed,
            ],
            ServerSignals {
                invalid_pauses: 3,
                ..none
            },
        ),
    ];
    for (status, headers, expected) in cases {
        assert_eq!(signals(status, &headers), expected, "{status} {headers:?}");
    }
}

/// Guards against a state that ends or begins without a line in the journal, and against one line for
/// each response of a server that was asked many times.
#[test]
fn each_change_of_state_is_logged_once() {
    let (mut intake, journal) = new_intake();
    let (first, second) = (server(1, 1), server(1, 2));
    let paused = signals(503, &[("x-shed", "1"), ("retry-after", "1")]);
    let leaves = signals(200, &[("x-leaving", "1")]);
    let at = Duration::from_millis;

    for ms in [0, 10, 20] {
        assert!(intake.record(&first, paused, 0.0, at(ms)));
    }
    assert!(!intake.end_pauses(at(1_019)));
    assert!(intake.end_pauses(at(1_020)));
    assert!(!intake.end_pauses(at(1_021)));
    for ms in [2_000, 2_010] {
        assert_eq!(intake.record(&first, leaves, 0.0, at(ms)), ms == 2_000);
    }
    intake.announced(&first, at(3_000));
    intake.announced(&second, at(3_000));
    intake.announced(&second, at(3_000));

    let events = journal.since(0);
    let kinds: Vec<&str> = events.iter().map(|event| &*event.kind).collect();
    let expected = [
        "server_paused",
        "server_resumed",
        "server_leaving",
        "server_returned",
    ];
    assert_eq!(kinds, expected);
}

/// Guards against a response that is filed under the announced incarnation although another one states that it spoke.
#[test]
fn a_response_of_an_incarnation_that_is_announced_later_is_forgotten() {
    let (mut intake, journal) = new_intake();
    let now = Duration::from_secs(1);
    let leaves = signals(200, &[("x-leaving", "1"), ("x-incarnation", "2")]);
    let paused = [
        ("x-shed", "1"),
        ("retry-after", "5"),
        ("x-incarnation", "2"),
    ];

    intake.record(&server(0, 1), leaves, 0.0, now);
    intake.record(&server(1, 1), signals(503, &paused), 0.0, now);

    for number in [0, 1] {
        intake.announced(&server(number, 2), now);
        let takes = [1, 2, 3].map(|start| intake.takes_requests(&server(number, start), now));
        assert_eq!(takes, [false, false, true], "server {number}");
    }
    let returned = |event: &JournalEvent| &*event.kind == "server_returned";
    assert!(!journal.since(0).iter().any(returned));
    let late = signals(200, &[("x-leaving", "1"), ("x-incarnation", "2")]);
    intake.record(&server(2, 3), late, 0.0, now);
    assert!(intake.takes_requests(&server(2, 3), now), "the next one");
}

#[derive(Debug, Clone)]
enum Event {
    /// A response of the newest incarnation, or of one before it.
    Response {
        server: usize,
        age: u64,
        leaving: bool,
        pause: Option<usize>,
        random: f64,
    },
    /// The list names the newest incarnation, or one before it.
    Listed { server: usize, age: u64 },
    /// A newer incarnation starts, which is not announced yet.
    Restart { server: usize },
    /// Time passes.
    Wait { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let pause = proptest::option::of(0..PAUSES.len());
    prop_oneof![
        (
            0..2_usize,
            0..3_u64,
            prop::bool::weighted(0.2),
            pause,
            0.0..1.0
        )
            .prop_map(|(server, age, leaving, pause, random)| Event::Response {
                server,
                age,
                leaving,
                pause,
                random
            }),
        (0..2_usize, 0..3_u64).prop_map(|(server, age)| Event::Listed { server, age }),
        (0..2_usize).prop_map(|server| Event::Restart { server }),
        (1..2_000_u64).prop_map(|ms| Event::Wait { ms }),
    ]
}

/// What one server has said, as the test expects it to be obeyed.
#[derive(Debug, Default)]
struct Said {
    newest: u64,
    listed: u64,
    /// Incarnations that said that they leave.
    left: BTreeSet<u64>,
    /// Latest end of the pauses of each incarnation, without the random extension.
    paused_until: BTreeMap<u64, Duration>,
    newest_heard: u64,
}

impl Said {
    fn record(&mut self, incarnation: u64, leaving: bool, pause: Option<Duration>, now: Duration) {
        if leaving {
            self.left.insert(incarnation);
        }
        if let Some(length) = pause {
            let until = self.paused_until.entry(incarnation).or_default();
            *until = (*until).max(now + length);
        }
        if leaving || pause.is_some() {
            self.newest_heard = self.newest_heard.max(incarnation);
        }
    }

    fn must_be_left_out(&self, now: Duration) -> bool {
        let paused = self.paused_until.get(&self.listed);
        let is_newest = self.listed == self.newest_heard;
        self.left.contains(&self.listed) || is_newest && paused.is_some_and(|until| now < *until)
    }

    fn must_get_requests(&self, now: Duration) -> bool {
        // A late list names an earlier incarnation, whose requests would reach a later one.
        let mut pauses = self.paused_until.range(self.listed..);
        let left = self.left.range(self.listed..).next().is_some();
        !left && pauses.all(|(_, until)| now >= *until + MAX_RESUME_SPREAD)
    }
}

proptest! {
    /// Guards against requests for a server that has said that it leaves or wants a pause, in any order of
    /// responses, late announcements and restarts, and against a server that is not found again, also
    /// because the change is not reported to the service task, which keeps the result.
    #[test]
    fn what_a_server_said_holds_in_any_order_of_events(events in prop::collection::vec(event(), 1..60)) {
        let (mut intake, _) = new_intake();
        let mut said: [Said; 2] = std::array::from_fn(|_| Said { newest: 3, listed: 3, ..Said::default() });
        let mut now = Duration::from_secs(1);
        let mut kept = [true; 2];
        let mut first_end = None;
        for event in events {
            let mut changed = false;
            match event {
                Event::Response { server: number, age, leaving, pause, random } => {
                    let incarnation = said[number].newest - age;
                    let text = pause.map(|index| PAUSES[index]);
                    let mut headers = vec![("x-shed", "1")];
                    headers.extend(text.map(|text| ("retry-after", text)));
                    headers.extend(leaving.then_some(("x-leaving", "1")));
                    let signals = signals(503, &headers);
                    changed |= intake.record(&server(number, incarnation), signals, random, now);
                    let length = signals.pause.map(RetryAfter::length);
                    said[number].record(incarnation, leaving, length, now);
                }
                Event::Listed { server: number, age } => {
                    said[number].listed = said[number].newest - age;
                    intake.announced(&server(number, said[number].listed), now);
                    changed = true;
                }
                Event::Restart { server } => said[server].newest += 1,
                Event::Wait { ms } => now += Duration::from_millis(ms),
            }
            changed |= intake.end_pauses(now);
            changed |= first_end.is_some_and(|end| end <= now);
            if changed {
                let listed = [0, 1].map(|number| server(number, said[number].listed));
                first_end = intake.first_pause_end(listed.iter(), now);
            }
            for (number, said) in said.iter().enumerate() {
                let takes = intake.takes_requests(&server(number, said.listed), now);
                if changed {
                    kept[number] = takes;
                }
                prop_assert_eq!(kept[number], takes, "at {:?}: {:?}", now, said);
                prop_assert!(!(takes && said.must_be_left_out(now)), "at {now:?}: {said:?}");
                prop_assert!(takes || !said.must_get_requests(now), "at {now:?}: {said:?}");
            }
        }
    }
}
