//! Servers that leave or ask for a pause, in the selection of servers.

mod trial;

use std::collections::HashSet;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use hyper::StatusCode;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use radishpaddle_gateway::HeaderNames;
use radishpaddle_gateway::backend_connection::BackendConnection;
use radishpaddle_gateway::forward::Headers;
use radishpaddle_gateway::left_out::LeftOut;
use radishpaddle_gateway::pool::{ChosenServer, Pools};
use radishpaddle_gateway::server::AttemptResult;
use radishpaddle_gateway::server_intake::{StatedIntake, answer_source};
use radishpaddle_gateway::settings::RetryBudgetSettings;
use radishpaddle_model::{BackendState, ServerIncarnation, ServerPresence};
use radishpaddle_policy::intake::MAX_RESUME_SPREAD;
use radishpaddle_policy::{AnswerSource, RetryAfter};
use radishpaddle_wire::ServerUpdate;

use trial::Trial;

const SERVICE: &str = "lookups";
const NOW: Duration = Duration::from_secs(1_000);

/// Time in which a server has to get requests again after its pause.
const RETURN_TIMEOUT: Duration = Duration::from_secs(2);

fn pools() -> Pools {
    let budget = RetryBudgetSettings {
        ratio: 0.2,
        slack: 10.0,
        window_ms: 10_000,
    };
    Pools::new("yard".into(), budget)
}

fn server(number: u16, started_at_ms: u64) -> ServerIncarnation {
    ServerIncarnation {
        name: format!("server-{number}").into(),
        started_at_ms,
    }
}

fn address(server: &ServerIncarnation) -> SocketAddr {
    let number: u16 = server.name["server-".len()..].parse().unwrap();
    SocketAddr::from(([127, 0, 0, 1], 9_000 + number))
}

fn announcement(server: &ServerIncarnation, sequence: u64) -> ServerUpdate {
    ServerUpdate {
        presence: ServerPresence {
            id: Arc::clone(&server.name),
            service: SERVICE.into(),
            address: address(server),
            zone: "yard".into(),
            slots: 3,
            state: BackendState::Serving,
            started_at_ms: server.started_at_ms,
            sequence,
            warmup_left_ms: 0,
        },
        silent: false,
    }
}

fn pools_with(servers: &[ServerIncarnation]) -> Pools {
    let mut pools = pools();
    for server in servers {
        pools.update(announcement(server, 1), NOW);
    }
    pools
}

fn seconds(text: &str) -> RetryAfter {
    text.parse().unwrap()
}

/// Sends a request that is answered at once.
fn serve_one(pools: &mut Pools, idempotent: bool, now: Duration) -> Option<ChosenServer> {
    let chosen = pools.choose(SERVICE, idempotent, true, &[], now).ok()?;
    pools.finish_attempt(&chosen.server, AttemptResult::Succeeded, None, now);
    Some(chosen)
}

/// Whether a server is selected when it is the only one that is not excluded.
fn is_available(pools: &mut Pools, server: &ServerIncarnation, now: Duration) -> bool {
    let others: Vec<Arc<str>> = (0..20)
        .map(|number| self::server(number, 0).name)
        .filter(|name| *name != server.name)
        .collect();
    let Ok(chosen) = pools.choose(SERVICE, false, true, &others, now) else {
        return false;
    };
    pools.finish_attempt(&chosen.server, AttemptResult::Succeeded, None, now);
    chosen.server == *server
}

/// Guards against requests at a leaving server after a coordinator has removed and announced it again, or after a list that
/// does not name it.
#[test]
fn an_announcement_brings_a_leaving_server_back() {
    let leaving = server(1, 10);
    let mut pools = pools_with(&[leaving.clone(), server(2, 10)]);

    assert!(pools.record_leaving(&leaving, NOW));
    let mut available = vec![is_available(&mut pools, &leaving, NOW)];
    pools.update(announcement(&leaving, 2), NOW);
    available.push(is_available(&mut pools, &leaving, NOW));
    pools.remove(&leaving.name);
    pools.update(announcement(&leaving, 3), NOW);
    available.push(is_available(&mut pools, &leaving, NOW));
    pools.retain(&HashSet::from([server(2, 10).name]));
    pools.update(announcement(&leaving, 4), NOW);
    available.push(is_available(&mut pools, &leaving, NOW));
    pools.retire(Vec::new(), 99);
    available.push(is_available(&mut pools, &leaving, NOW));

    assert_eq!(available, [false; 5]);
    assert!(is_available(&mut pools, &server(2, 10), NOW));
    pools.update(announcement(&server(1, 11), 1), NOW);
    assert!(is_available(&mut pools, &server(1, 11), NOW));
    pools.remove(&leaving.name);
    pools.update(announcement(&leaving, 5), NOW);
    assert!(!is_available(&mut pools, &leaving, NOW), "old incarnation");
}

/// Guards against an answer that arrives after the restart of its server and takes the new incarnation out of rotation.
#[test]
fn a_late_answer_stops_the_new_incarnation() {
    let mut pools = pools_with(&[server(1, 10)]);
    pools.update(announcement(&server(1, 11), 1), NOW);

    pools.record_leaving(&server(1, 10), NOW);
    pools.record_pause(&server(1, 10), seconds("60"), NOW);
    let restarted = server(1, 11);
    let old = server(1, 10);
    pools.finish_attempt(&old, AttemptResult::Misdirected, None, NOW);

    assert!(is_available(&mut pools, &restarted, NOW));
}

/// Guards against an answer that is filed under the start that is known from its connection although it states another one.
#[test]
fn the_stated_start_is_ignored() {
    let names = HeaderNames {
        started_at: Some("x-started-at".into()),
        ..HeaderNames::default()
    };
    let stating = Headers::parse(&names).unwrap();
    let silent = Headers::parse(&HeaderNames::default()).unwrap();
    let from_connection = || AnswerSource::of_connection(server(1, 10), 50);
    let source_of = |text: &'static str, names| {
        let name = HeaderName::from_static("x-started-at");
        let headers = HeaderMap::from_iter([(name, HeaderValue::from_static(text))]);
        answer_source(from_connection(), &headers, names)
    };

    assert_eq!(
        source_of("40", &stating),
        AnswerSource::stated(server(1, 40))
    );
    assert_eq!(source_of("later", &stating), from_connection());
    assert_eq!(source_of("40", &silent), from_connection());
}

/// Time from a rejection with a pause until the server gets the next request, in a service without requests that can be
/// retried. The server has answered late before with `was_slow`.
fn time_until_next_request(pause: &str, was_slow: bool) -> Duration {
    let servers: Vec<_> = (0..10).map(|number| server(number, 10)).collect();
    let mut pools = pools_with(&servers);
    let others: Vec<_> = servers[1..]
        .iter()
        .map(|other| Arc::clone(&other.name))
        .collect();
    let paused = pools
        .choose(SERVICE, false, true, &others, NOW)
        .unwrap()
        .server;
    if was_slow {
        pools.record_result(&paused, AttemptResult::Failed, NOW);
    }
    pools.record_pause(&paused, seconds(pause), NOW);
    pools.finish_attempt(&paused, AttemptResult::Shed, None, NOW);
    let mut now = NOW;
    loop {
        now += Duration::from_millis(50);
        if serve_one(&mut pools, false, now).unwrap().server == paused {
            return now.saturating_sub(NOW);
        }
        assert!(now < NOW + Duration::from_secs(30), "none after {pause}");
    }
}

/// Guards against requests in a pause, and against a server that gets none for seconds afterwards: the others have newer
/// answers, a service without requests that can be retried probes only every four seconds, and a full server that answered
/// late before it asked for the pause is suspect.
#[test]
fn a_paused_server_is_not_found_again() {
    for pause in ["0.3", "1", "1.5", "6"].repeat(20) {
        for was_slow in [false, true] {
            let waited = time_until_next_request(pause, was_slow);

            let length = seconds(pause).length();
            let bounds = length..=length + RETURN_TIMEOUT;
            assert!(
                bounds.contains(&waited),
                "{waited:?} with a pause of {pause}, slow: {was_slow}"
            );
        }
    }
}

/// Guards against a server that all gateways use again at the same moment.
#[test]
fn gateways_return_at_the_same_moment() {
    let paused = server(1, 10);
    let length = seconds("5").length();
    let is_back_after = |extension: Duration| {
        let mut pools = pools_with(std::slice::from_ref(&paused));
        pools.record_pause(&paused, seconds("5"), NOW);
        is_available(&mut pools, &paused, NOW + length + extension)
    };

    let early = (0..200).filter(|_| is_back_after(MAX_RESUME_SPREAD / 4));
    let early = early.count();

    assert!((20..=90).contains(&early), "{early} of 200 in a quarter");
    assert!((0..200).all(|_| is_back_after(MAX_RESUME_SPREAD)));
}

/// Guards against attempts without hope and a refusal without its reason while all servers are paused, and against the same
/// refusal while one that was tried is not paused.
#[test]
fn pauses_of_all_servers_are_not_told() {
    let (first, second, third) = (server(1, 10), server(2, 10), server(3, 10));
    let mut pools = pools_with(&[first.clone(), second.clone(), third.clone()]);
    pools.record_pause(&first, seconds("8"), NOW);
    pools.record_pause(&second, seconds("3"), NOW);
    let exclude = [Arc::clone(&third.name)];
    let choose = |pools: &mut Pools| pools.choose(SERVICE, true, false, &exclude, NOW);

    let other_left = choose(&mut pools).unwrap_err();
    pools.record_leaving(&third, NOW);
    let all_paused = choose(&mut pools).unwrap_err();

    assert!(!other_left.all_paused() && all_paused.all_paused());
    let LeftOut {
        leaving,
        paused,
        first_pause_ends_at,
    } = all_paused.left_out;
    assert_eq!((leaving, paused), (1, 2));
    let first_end = first_pause_ends_at.unwrap().saturating_sub(NOW);
    let bounds = seconds("3").length()..=seconds("3").length() + MAX_RESUME_SPREAD;
    assert!(bounds.contains(&first_end), "{first_end:?}");
    pools.record_leaving(&first, NOW);
    pools.record_leaving(&second, NOW);
    assert!(!choose(&mut pools).unwrap_err().all_paused(), "all leaving");
}

/// Guards against checks of the path at servers that may be gone, and against a gateway that cannot check it because all
/// servers are paused or leaving.
#[test]
fn the_path_is_checked_at_leaving_servers() {
    let (accepting, paused, leaving) = (server(1, 10), server(2, 10), server(3, 10));
    let mut pools = pools_with(&[accepting.clone(), paused.clone(), leaving.clone()]);
    pools.record_pause(&paused, seconds("8"), NOW);
    pools.record_leaving(&leaving, NOW);
    let sample = |pools: &mut Pools, count| -> Vec<_> {
        let sample = pools.sample_servers(count, NOW).into_iter();
        sample.map(|(server, _)| server).collect()
    };

    let one = sample(&mut pools, 1);
    let four = sample(&mut pools, 4);
    pools.remove(&accepting.name);
    pools.remove(&paused.name);
    let last = sample(&mut pools, 4);

    assert_eq!(one, std::slice::from_ref(&accepting));
    assert_eq!(four, [accepting, paused]);
    assert_eq!(last, [leaving]);
}

async fn connect(listener: &TcpListener) -> (BackendConnection, std::net::TcpStream) {
    let address = listener.local_addr().unwrap();
    let connection = BackendConnection::open(address, Duration::from_secs(1)).await;
    (connection.unwrap(), listener.accept().unwrap().0)
}

/// Waits until the gateway has closed its end of a connection.
async fn is_closed(stream: std::net::TcpStream) -> bool {
    let read = move || {
        let timeout = Some(Duration::from_millis(500));
        stream.set_read_timeout(timeout).unwrap();
        matches!(stream.peek(&mut [0]), Ok(0))
    };
    tokio::task::spawn_blocking(read).await.unwrap()
}

/// Guards against connections to a leaving server, or to the process before a restart, that carry later requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_to_a_leaving_server_is_kept() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let leaving = server(1, 10);
    let mut pools = pools_with(&[leaving.clone(), server(2, 11)]);
    let (idle, idle_stream) = connect(&listener).await;
    let (finished, finished_stream) = connect(&listener).await;
    let (before_restart, old_stream) = connect(&listener).await;
    let (kept, kept_stream) = connect(&listener).await;

    pools.store_idle(&leaving, idle, NOW);
    let chosen_before = pools.choose(SERVICE, true, true, &[server(2, 0).name], NOW);
    let chosen_before = chosen_before.unwrap();
    pools.store_idle(&leaving, chosen_before.connection.unwrap(), NOW);
    pools.record_leaving(&leaving, NOW);
    pools.finish_attempt(&leaving, AttemptResult::Succeeded, Some(finished), NOW);
    pools.store_idle(&server(2, 10), before_restart, NOW);
    pools.store_idle(&server(2, 11), kept, NOW);

    assert!(is_closed(idle_stream).await, "idle");
    assert!(is_closed(finished_stream).await, "finished later");
    assert!(is_closed(old_stream).await, "of the process before");
    assert!(!is_closed(kept_stream).await, "of the other server");
}

fn headers(lines: &[(&'static str, &'static str)]) -> HeaderMap {
    let lines = lines.iter();
    lines
        .map(|(name, value)| {
            (
                HeaderName::from_static(name),
                HeaderValue::from_static(value),
            )
        })
        .collect()
}

fn stated(status: u16, lines: &[(&'static str, &'static str)]) -> StatedIntake {
    let names = Headers::parse(&HeaderNames::default()).unwrap();
    StatedIntake::of(
        StatusCode::from_u16(status).unwrap(),
        &headers(lines),
        &names,
    )
}

/// Guards against absurd values that stop a server, and against headers of an answer that comes from another server or does
/// not ask for a pause.
#[test]
fn absurd_headers_stop_a_server() {
    let pause = |length| StatedIntake {
        pause: Some(seconds(length)),
        ..StatedIntake::default()
    };
    let leaving = StatedIntake {
        leaving: true,
        ..StatedIntake::default()
    };
    let ignored = |ignored| StatedIntake {
        ignored,
        ..StatedIntake::default()
    };
    let nothing = StatedIntake::default();

    assert_eq!(stated(503, &[("retry-after", "2.5")]), pause("2.5"));
    assert_eq!(stated(503, &[("retry-after", "0")]), nothing);
    assert_eq!(stated(503, &[("retry-after", "1e9")]), ignored(1));
    assert_eq!(stated(503, &[("retry-after", "-1")]), ignored(1));
    assert_eq!(stated(503, &[("retry-after", "999999999")]), pause("600"));
    let several = [
        ("retry-after", "1"),
        ("retry-after", "x"),
        ("retry-after", "3"),
    ];
    let longest = StatedIntake {
        ignored: 1,
        ..pause("3")
    };
    assert_eq!(stated(503, &several), longest);
    for status in [200, 429, 500, 502, 504] {
        assert_eq!(stated(status, &[("retry-after", "9")]), nothing, "{status}");
        assert_eq!(stated(status, &[("x-leaving", "1")]), leaving, "{status}");
    }
    for value in ["0", "", "no", "2", "true", "1, 1"] {
        assert_eq!(stated(200, &[("x-leaving", value)]), nothing, "{value:?}");
    }
    assert_eq!(
        stated(200, &[("x-leaving", "0"), ("x-leaving", "1")]),
        leaving
    );
    let of_another = [("x-leaving", "1"), ("retry-after", "9")];
    assert_eq!(stated(421, &of_another), nothing);
}

/// Guards against settings files of earlier versions, which do not name the headers.
#[test]
fn older_settings_are_refused() {
    let text = r#"{"request_id": "a", "deadline_ms": "b", "organisation": "c", "expected_server": "d",
                   "not_run": "e"}"#;

    let names: HeaderNames = serde_json::from_str(text).unwrap();

    let added = [&names.leaving, &names.retry_after, &names.served_by];
    assert_eq!(
        added.map(|name| &**name),
        ["x-leaving", "retry-after", "x-served-by"]
    );
}

/// Guards against a request at a server that is leaving or paused, or a server that is never used again, after any order of
/// answers, announcements, retirements, lists and restarts.
#[test]
fn some_order_of_events_breaks_what_servers_said() {
    let (mut requests, mut refused) = (0, 0);
    for seed in 0..200 {
        let mut trial = Trial::new(seed);
        let steps = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| {
            (0..600).for_each(|_| trial.step());
        }));
        assert!(steps.is_ok(), "seed {seed}");
        requests += trial.requests;
        refused += trial.refused;
    }
    assert!(requests > 10_000, "{requests} requests");
    assert!(refused > 1_000, "{refused} requests found no server");
}
