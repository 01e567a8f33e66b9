//! The checker reports each kind of violation, and none for a correct history.

use radishpaddle_model::{Incarnation, OrganisationId, ServiceId};
use radishpaddle_testkit::backend::{Execution, digest};
use radishpaddle_testkit::caller::{Attempt, AttemptResult};
use radishpaddle_testkit::history::{Guarantee, History, KeyGrant, RateLimit};

const KEY: &str = "rk_large_0123456789";
const OTHER_KEY: &str = "rk_other_0123456789";

/// Case of a table test: part of the expected message, and the change that causes the violation.
type Case<T> = (&'static str, fn(&mut T));

fn service() -> ServiceId {
    "ledger".parse().unwrap()
}

fn organisation(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

fn limit(name: &str, rate_per_s: f64, burst: u32) -> RateLimit {
    RateLimit {
        service: service(),
        organisation: organisation(name),
        rate_per_s,
        burst,
    }
}

fn grant(key: &str, name: &str) -> KeyGrant {
    KeyGrant {
        key: key.into(),
        organisation: organisation(name),
        withdrawn_us: None,
    }
}

fn answer(body: &str) -> AttemptResult {
    AttemptResult::Answer {
        status: 200,
        code: Some(1000),
        digest: digest(body.as_bytes()),
        operation: None,
    }
}

fn attempt(operation: &str, number: u32, told: AttemptResult) -> Attempt {
    Attempt {
        operation: operation.into(),
        number,
        service: service(),
        organisation: Some(organisation("large")),
        key: Some(KEY.into()),
        open: false,
        idempotent: false,
        idempotency_key: Some(format!("key-{operation}")),
        method: "POST".into(),
        path: "/entries".into(),
        entry: None,
        sent_us: 1_000_000,
        received_us: 1_010_000,
        told,
    }
}

fn execution(tag: &str, body: &str) -> Execution {
    Execution {
        backend_server: "l-1".parse().unwrap(),
        incarnation: Incarnation(1),
        number: 1,
        request_id: None,
        operation: Some(tag.into()),
        method: "POST".into(),
        path: "/entries".into(),
        headers: vec![("x-org".into(), "large".into())],
        body: String::new(),
        start_us: 1_002_000,
        end_us: Some(1_008_000),
        cancelled: false,
        status: Some(200),
        answer_digest: Some(digest(body.as_bytes())),
    }
}

fn history(attempts: Vec<Attempt>, executions: Vec<Execution>) -> History {
    History {
        attempts,
        executions,
        keys: vec![grant(KEY, "large"), grant(OTHER_KEY, "other")],
        limits: vec![limit("large", 10.0, 5)],
        withdrawal_grace_us: 4_000_000,
        organisation_header: Some("x-org".into()),
    }
}

/// Returns the violated guarantees, one for each violation.
fn violated_guarantees(history: &History) -> Vec<Guarantee> {
    let violations = history.violations();
    violations
        .iter()
        .map(|violation| violation.guarantee)
        .collect()
}

/// Returns a history of one successful request, which a test modifies to cause a violation.
fn correct_history() -> History {
    history(
        vec![attempt("a", 1, answer("ok"))],
        vec![execution("a/1", "ok")],
    )
}

/// Guards against violations that are reported for a correct history with responses, refusals, unknown
/// outcomes, replayed responses and failures without an execution.
#[test]
fn correct_history_has_no_violation() {
    let mut replayed = attempt("b", 2, answer("b"));
    if let AttemptResult::Answer { code, .. } = &mut replayed.told {
        *code = Some(1001);
    }
    let attempts = vec![
        attempt("a", 1, answer("ok")),
        attempt(
            "b",
            1,
            AttemptResult::Broken {
                error: "reset".into(),
            },
        ),
        replayed,
        attempt("c", 1, AttemptResult::NotRun { code: 2003 }),
        attempt("d", 1, AttemptResult::OutcomeUnknown { code: 3001 }),
        attempt(
            "e",
            1,
            AttemptResult::NotSent {
                error: "refused".into(),
            },
        ),
    ];
    let executions = vec![
        execution("a/1", "ok"),
        execution("b/1", "b"),
        execution("d/1", "x"),
    ];

    assert_eq!(history(attempts, executions).violations(), []);
}

/// Guards against a checker that misses a request that ran for the wrong organisation.
#[test]
fn p2_request_runs_only_for_the_organisation_of_its_key() {
    let cases: [Case<History>; 6] = [
        ("without a key", |history| history.attempts[0].key = None),
        ("unknown key", |history| {
            history.attempts[0].key = Some("rk_unknown_01234567".into());
        }),
        ("may not call", |history| {
            history.attempts[0].key = Some(OTHER_KEY.into());
        }),
        ("ran for", |history| {
            history.executions[0].headers[0].1 = "other".into();
        }),
        ("no caller sent", |history| {
            history.executions[0].operation = Some("zz/1".into());
        }),
        ("ran as", |history| {
            history.executions[0].path = "/accounts".into();
        }),
    ];
    for (case, change) in cases {
        let mut history = correct_history();
        change(&mut history);

        let violations = history.violations();

        let first = &violations[0];
        assert_eq!(first.guarantee, Guarantee::P2, "{case}");
        assert!(first.message.contains(case), "{}", first.message);
        assert_eq!(first.executions, history.executions, "{case}");
    }
}

/// Guards against a checker that demands a key on open routes.
#[test]
fn p2_open_route_needs_no_key() {
    let mut history = correct_history();
    history.attempts[0].key = None;
    history.attempts[0].open = true;

    assert_eq!(violated_guarantees(&history), []);
}

/// Guards against a checker that misses a key in one part of the request.
#[test]
fn p3_key_is_found_in_every_part_of_the_request() {
    let cases: [Case<Execution>; 5] = [
        ("header x-api-key", |run| {
            run.headers.push(("x-api-key".into(), KEY.into()));
        }),
        ("header authorization", |run| {
            run.headers
                .push(("authorization".into(), format!("Bearer {OTHER_KEY}")));
        }),
        ("path", |run| run.path = format!("/entries?key={KEY}")),
        ("path", |run| {
            run.path = "/entries?key=rk%5Flarge%5F0123456789".into();
        }),
        ("body", |run| run.body = format!("{{\"key\":\"{KEY}\"}}")),
    ];
    for (place, change) in cases {
        let mut history = correct_history();
        change(&mut history.executions[0]);
        history.attempts[0].path = history.executions[0].path.clone();

        let violations = history.violations();

        assert_eq!(violated_guarantees(&history), [Guarantee::P3], "{place}");
        assert!(
            violations[0].message.contains(place),
            "{}",
            violations[0].message
        );
    }
}

/// Guards against a checker that ignores the withdrawal of a key, or its grace time.
#[test]
fn p4_withdrawn_key_stops_after_the_grace_time() {
    let mut history = correct_history();
    history.keys[0].withdrawn_us = Some(500_000);
    assert_eq!(violated_guarantees(&history), []);

    history.attempts[0].sent_us = 4_500_001;
    history.executions[0].start_us = 4_500_002;
    assert_eq!(violated_guarantees(&history), [Guarantee::P4]);
}

/// Returns a history of requests that are admitted at the given times, in milliseconds.
fn history_of_admissions(times_ms: &[u64]) -> History {
    let mut history = history(vec![], vec![]);
    for (index, time_ms) in times_ms.iter().enumerate() {
        let id = format!("op{index}");
        let mut attempt = attempt(&id, 1, answer("ok"));
        attempt.sent_us = time_ms * 1_000;
        let mut execution = execution(&format!("{id}/1"), "ok");
        execution.start_us = time_ms * 1_000;
        history.attempts.push(attempt);
        history.executions.push(execution);
    }
    history
}

/// Guards against a checker that reports the full use of burst and rate. The limit is a burst of 5 and
/// 10/s: five requests at once, then one every 100 ms, and five at once again after a pause are allowed.
#[test]
fn p5_full_burst_and_rate_are_allowed() {
    let mut times = vec![0; 5];
    times.extend((1..=20).map(|index| index * 100));
    times.extend([10_000; 5]);

    assert_eq!(violated_guarantees(&history_of_admissions(&times)), []);
}

/// Guards against a checker that detects an excess only in windows that start at the first request, or
/// only in windows of one length.
#[test]
fn p5_one_request_too_many_is_found_in_any_window() {
    let at_once: Vec<u64> = vec![0, 60_000, 60_000, 60_000, 60_000, 60_000, 60_000];
    let mut sustained: Vec<u64> = vec![0; 5];
    sustained.extend((1..=100).map(|index| index * 98));

    for (case, times) in [("at once", at_once), ("sustained", sustained)] {
        let violations = history_of_admissions(&times).violations();

        assert_eq!(violations.len(), 1, "{case}");
        assert_eq!(violations[0].guarantee, Guarantee::P5, "{case}");
        assert!(
            violations[0].message.contains("5 + 10/s"),
            "{}",
            violations[0].message
        );
    }
    let message = &history_of_admissions(&[0, 60_000, 60_000, 60_000, 60_000, 60_000, 60_000])
        .violations()[0];
    let expected = "large at ledger: 6 requests admitted within 0.000000 s, 1.000 above 5 + 10/s";
    assert_eq!(message.message, expected);
    assert_eq!(message.attempts.len(), 6);
}

/// Guards against a checker that counts a request in a window although it may have been admitted outside
/// it.
#[test]
fn p5_uncertain_admissions_are_not_counted() {
    let mut history = history_of_admissions(&[1_000; 6]);
    history.attempts[0].sent_us = 800_000;

    assert_eq!(violated_guarantees(&history), []);
}

/// Guards against a checker that accepts a truncated response, the response to another request, or a
/// response without an execution.
#[test]
fn p6_response_must_be_the_one_sent_to_the_request() {
    let cut = history(
        vec![attempt("a", 1, answer("o"))],
        vec![execution("a/1", "ok")],
    );
    let crossed = history(
        vec![attempt("a", 1, answer("b")), attempt("b", 1, answer("b"))],
        vec![execution("a/1", "a"), execution("b/1", "b")],
    );
    let invented = history(vec![attempt("a", 1, answer("ok"))], vec![]);
    // Only a replay may return the response of an earlier attempt.
    let earlier = history(
        vec![
            attempt(
                "a",
                1,
                AttemptResult::Broken {
                    error: "reset".into(),
                },
            ),
            attempt("a", 2, answer("ok")),
        ],
        vec![execution("a/1", "ok")],
    );

    for history in [cut, crossed, invented, earlier] {
        assert_eq!(
            violated_guarantees(&history),
            [Guarantee::P6],
            "{:?}",
            history.attempts
        );
    }
}

/// Guards against a checker that trusts a "not run" refusal without looking at the executions.
#[test]
fn p7_not_run_is_false_when_the_attempt_ran() {
    let refused = attempt("a", 1, AttemptResult::NotRun { code: 2007 });
    let history = history(vec![refused.clone()], vec![execution("a/1", "ok")]);

    let violations = history.violations();

    assert_eq!(violated_guarantees(&history), [Guarantee::P7]);
    assert_eq!(violations[0].attempts, [refused]);
    assert!(
        violations[0]
            .to_string()
            .contains("execution 1 of l-1/1 for a/1")
    );
}

/// Guards against a checker that counts executions per attempt instead of per action.
#[test]
fn p8_action_runs_once_over_all_its_attempts() {
    let unknown = || AttemptResult::OutcomeUnknown { code: 3001 };
    let attempts = vec![attempt("a", 1, unknown()), attempt("a", 2, unknown())];
    let executions = vec![execution("a/1", "ok"), execution("a/2", "ok")];
    let twice = history(attempts, executions);
    let retried = history(
        vec![attempt("a", 1, unknown())],
        vec![execution("a/1", "ok"), execution("a/1", "ok")],
    );
    let mut same_key = history(
        vec![attempt("a", 1, unknown()), attempt("b", 1, unknown())],
        vec![execution("a/1", "ok"), execution("b/1", "ok")],
    );
    assert_eq!(violated_guarantees(&same_key), []);
    same_key.attempts[1].idempotency_key = Some("key-a".into());
    let mut idempotent = retried.clone();
    idempotent.attempts[0].idempotent = true;

    assert_eq!(violated_guarantees(&twice), [Guarantee::P8]);
    assert_eq!(violated_guarantees(&retried), [Guarantee::P8]);
    assert_eq!(violated_guarantees(&same_key), [Guarantee::P8]);
    assert_eq!(violated_guarantees(&idempotent), []);
}

/// Computes the largest excess by trying every window that starts at one admission and ends at another.
fn brute_force_excess(intervals_ms: &[(u64, u64)], rate_per_s: f64, burst: f64) -> f64 {
    let mut worst = f64::NEG_INFINITY;
    for (start, _) in intervals_ms {
        for (_, end) in intervals_ms.iter().filter(|(_, end)| end >= start) {
            let inside = intervals_ms
                .iter()
                .filter(|(low, high)| low >= start && high <= end);
            let count = f64::from(u32::try_from(inside.count()).unwrap());
            let length_s = f64::from(u32::try_from(end - start).unwrap()) / 1_000.0;
            worst = worst.max(count - burst - rate_per_s * length_s);
        }
    }
    worst
}

proptest::proptest! {
    /// Guards against a segment tree search for P5 that misses an excess or reports a false one.
    #[test]
    fn p5_agrees_with_trying_every_window(
        intervals in proptest::collection::vec((0_u64..3_000, 0_u64..300), 1..40),
        rate in 1_u32..30,
        burst in 1_u32..8,
    ) {
        let intervals: Vec<(u64, u64)> =
            intervals.into_iter().map(|(start, length)| (start, start + length)).collect();
        let starts: Vec<u64> = intervals.iter().map(|(start, _)| *start).collect();
        let mut history = history_of_admissions(&starts);
        for (execution, (_, end)) in history.executions.iter_mut().zip(&intervals) {
            execution.start_us = end * 1_000;
        }
        history.limits = vec![limit("large", f64::from(rate), burst)];

        let excess = brute_force_excess(&intervals, f64::from(rate), f64::from(burst));

        let expected = if excess > 1e-6 { vec![Guarantee::P5] } else { vec![] };
        proptest::prop_assert_eq!(violated_guarantees(&history), expected);
    }
}

/// Guards against a check that takes quadratic time in the number of requests.
#[test]
fn long_history_is_checked_in_seconds() {
    let times: Vec<u64> = (0..50_000).map(|index| index * 101).collect();
    let history = history_of_admissions(&times);
    let start = std::time::Instant::now();

    let violations = history.violations();

    println!("50000 requests checked in {:?}", start.elapsed());
    assert_eq!(violations, []);
    assert!(
        start.elapsed() < std::time::Duration::from_secs(20),
        "{:?}",
        start.elapsed()
    );
}
