//! Servers that leave or ask for a pause: strict values, pauses that overlap, incarnations and returning callers.

use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::ServerIncarnation;
use radishpaddle_policy::intake::{
    MAX_PAUSE, MAX_RESUME_SPREAD, extended_pause, spread_retry_after,
};
use radishpaddle_policy::intake_table::{MAX_SERVERS, UNANNOUNCED_START_TIMEOUT};
use radishpaddle_policy::{
    AnswerSource, Intake, IntakeTable, NoNewRequests, PauseChange, RetryAfter,
};

const NOW: Duration = Duration::from_secs(1_000);

fn seconds(text: &str) -> Option<f64> {
    let parsed: Result<RetryAfter, _> = text.parse();
    parsed.ok().map(|value| value.length().as_secs_f64())
}

fn pause(text: &str) -> RetryAfter {
    text.parse().unwrap()
}

fn server(name: &str, started_at_ms: u64) -> ServerIncarnation {
    ServerIncarnation {
        name: name.into(),
        started_at_ms,
    }
}

fn is_leaving(table: &IntakeTable, name: &str, started_at_ms: u64) -> bool {
    table.refusal(name, started_at_ms, NOW) == Some(NoNewRequests::Leaving)
}

fn is_paused(table: &IntakeTable, name: &str, started_at_ms: u64, now: Duration) -> bool {
    matches!(
        table.refusal(name, started_at_ms, now),
        Some(NoNewRequests::Paused { .. })
    )
}

/// Guards against a pause that is ignored because its value has a fraction, and against one that lasts for days.
#[test]
fn numbers_of_seconds_are_read() {
    let cap = MAX_PAUSE.as_secs_f64();
    for (text, expected) in [
        ("0", 0.0),
        ("0.0", 0.0),
        ("3", 3.0),
        ("007", 7.0),
        ("1.5", 1.5),
        ("0.30000000000000004", 0.3),
        ("600", cap),
        ("601", cap),
        ("99999999999999999999999999999999", cap),
    ] {
        assert_eq!(seconds(text), Some(expected), "{text:?}");
    }
}

/// Guards against a pause without end, a crash of the gateway, or a made-up pause after a value that is no number of
/// seconds.
#[test]
fn values_that_are_no_seconds_are_refused() {
    for text in [
        "",
        " ",
        " 1",
        "1 ",
        "1 2",
        "+1",
        "-1",
        "-0",
        "1e3",
        "1E3",
        "inf",
        "NaN",
        "infinity",
        ".",
        ".5",
        "5.",
        "1..5",
        "1.2.3",
        "1,5",
        "1, 2",
        "0x10",
        "1_000",
        "1s",
        "١",
        "½",
        "Sat, 05 Dec 2026 01:15:00 GMT",
    ] {
        assert_eq!(seconds(text), None, "{text:?}");
    }
    assert_eq!(seconds(&"9".repeat(33)), None, "33 digits");
    assert_eq!(seconds(&format!("1.{}", "0".repeat(1_000))), None);
}

/// Guards against a short pause that hides a longer one in the same answer, and against invalid values that are not counted.
#[test]
fn the_longest_of_several_values_counts() {
    let values = ["2", "soon", "7.5", "-9", "0"].map(str::as_bytes);
    let not_text: &[u8] = &[0xff, b'1'];

    let (longest, invalid) = RetryAfter::longest(values.into_iter().chain([not_text]));

    assert_eq!(longest, Some(pause("7.5")));
    assert_eq!(invalid, 3);
    assert_eq!(RetryAfter::longest(std::iter::empty()), (None, 0));
}

/// Guards against a second answer that shortens the pause of the first one.
#[test]
fn the_later_end_of_two_pauses_counts() {
    let mut intake = Intake::default();

    let begun = intake.record_pause(Duration::from_secs(5), NOW);
    let shorter = intake.record_pause(Duration::from_secs(1), NOW);
    let later = NOW + Duration::from_secs(1);
    let extended = intake.record_pause(Duration::from_secs(5), later);

    let ends_at = NOW + Duration::from_secs(5);
    assert_eq!(begun, Some(PauseChange::Begun { ends_at }));
    assert_eq!(shorter, None);
    let ends_at = NOW + Duration::from_secs(6);
    assert_eq!(extended, Some(PauseChange::Extended { ends_at }));
    let last = ends_at.saturating_sub(Duration::from_nanos(1));
    assert_eq!(
        intake.refusal(last),
        Some(NoNewRequests::Paused { ends_at })
    );
    assert_eq!(intake.refusal(ends_at), None);
    assert!(!intake.has_ended_pause(last));
    assert_eq!(intake.take_ended_pause(last), None);
    assert_eq!(intake.take_ended_pause(ends_at), Some(ends_at));
    assert_eq!(intake.take_ended_pause(ends_at), None);
}

/// Guards against a leaving server that gets requests again after a pause, and against one that is reported twice.
#[test]
fn nothing_ends_leaving() {
    let mut intake = Intake::default();
    intake.record_pause(Duration::from_secs(1), NOW);

    assert!(intake.record_leaving());
    assert!(!intake.record_leaving());
    intake.record_pause(Duration::from_secs(1), NOW);

    let later = NOW + Duration::from_hours(24);
    assert_eq!(intake.refusal(later), Some(NoNewRequests::Leaving));
}

/// Guards against a coordinator that fell behind and announces a server that has left before its new incarnation.
#[test]
fn incarnations_are_told_apart() {
    let mut table = IntakeTable::default();
    assert!(table.is_empty());

    assert!(table.record_leaving(&server("a", 10), NOW));
    assert!(!table.record_leaving(&server("a", 10), NOW));
    assert!(!table.record_leaving(&server("a", 9), NOW), "gone already");
    let leaving = [9, 10, 11].map(|start| is_leaving(&table, "a", start));
    assert_eq!(leaving, [true, true, false]);

    assert!(
        table
            .record_pause(&server("a", 11), pause("5"), 0.0, NOW)
            .is_some()
    );
    let leaving = [10, 11, 12].map(|start| is_leaving(&table, "a", start));
    assert_eq!(leaving, [true, false, false]);
    let paused = [10, 11, 12].map(|start| is_paused(&table, "a", start, NOW));
    assert_eq!(paused, [false, true, false]);
    assert!(!is_paused(&table, "b", 11, NOW));
}

/// Guards against a coordinator that fell behind and announces the start before the one that asked for a pause, at the same
/// address: its requests would reach the paused server.
#[test]
fn a_pause_covers_earlier_incarnations() {
    let mut table = IntakeTable::default();

    table.record_pause(&server("a", 11), pause("5"), 0.0, NOW);

    let paused = [10, 11, 12].map(|start| is_paused(&table, "a", start, NOW));
    assert_eq!(paused, [true, true, false]);
}

/// Guards against an old answer that arrives late and stops the new incarnation, or is forgotten.
#[test]
fn a_late_answer_concerns_its_own_incarnation() {
    let mut table = IntakeTable::default();
    table.record_pause(&server("a", 20), pause("5"), 0.0, NOW);

    assert!(table.record_leaving(&server("a", 10), NOW));
    assert_eq!(
        table.record_pause(&server("a", 10), pause("60"), 0.0, NOW),
        None
    );

    assert!(is_leaving(&table, "a", 10));
    assert!(is_paused(&table, "a", 20, NOW));
    assert!(!is_paused(&table, "a", 20, NOW + Duration::from_secs(5)));
}

/// Source of an answer to a request for the start 10 over a connection that was opened at this Unix millisecond.
fn source(opened_at_ms: u64) -> AnswerSource {
    AnswerSource::of_connection(server("a", 10), opened_at_ms)
}

/// Guards against an answer that is filed only under the start that its request was meant for, although a later one that is
/// announced after the answer gave it, and against one that stops a start after its connection was opened.
#[test]
fn an_answer_concerns_the_starts_that_may_have_given_it() {
    let mut leaving = IntakeTable::default();
    let mut paused = IntakeTable::default();

    assert!(leaving.record_leaving(source(50), NOW));
    paused.record_pause(source(50), pause("5"), 0.0, NOW);

    let starts = [10, 30, 50, 51];
    let expected = [true, true, true, false];
    assert_eq!(starts.map(|s| is_leaving(&leaving, "a", s)), expected);
    assert_eq!(starts.map(|s| is_paused(&paused, "a", s, NOW)), expected);
    assert!(!leaving.record_leaving(source(70), NOW));
    assert!(
        is_leaving(&leaving, "a", 70),
        "the newer connection is ignored"
    );
}

/// Guards against an answer over an old connection that stops the start which has answered since, and against one of that
/// start over a new connection that doesn't, because its request was meant for the earlier one.
#[test]
fn an_answer_of_the_newest_start_is_filed_under_an_earlier_one() {
    let mut table = IntakeTable::default();
    table.record_pause(&server("a", 30), pause("5"), 0.0, NOW);

    assert!(table.record_leaving(source(20), NOW));
    let after_old = [10, 30].map(|start| is_leaving(&table, "a", start));
    assert!(table.record_leaving(source(40), NOW));
    let after_new = [10, 30, 41].map(|start| is_leaving(&table, "a", start));

    assert_eq!(after_old, [true, false]);
    assert_eq!(after_new, [true, true, false]);
}

/// Guards against a sound start that never gets requests, because the clocks of its machine and the gateway's differ.
#[test]
fn a_start_announced_later_stays_out_for_good() {
    let mut table = IntakeTable::default();
    let later = NOW + UNANNOUNCED_START_TIMEOUT;

    table.record_leaving(source(50), NOW);

    assert_eq!(table.refusal("a", 30, later), None);
    assert_eq!(
        table.refusal("a", 10, later),
        Some(NoNewRequests::Leaving),
        "the start that the request was meant for"
    );
}

/// Guards against a pause of zero seconds that takes a server out of rotation for the random extension.
#[test]
fn a_pause_of_zero_seconds_is_none() {
    let mut table = IntakeTable::default();

    assert_eq!(
        table.record_pause(&server("a", 1), pause("0"), 0.9, NOW),
        None
    );

    assert!(!is_paused(&table, "a", 1, NOW));
}

/// Guards against a table that grows without bound, and against one that drops leaving servers before ended pauses.
#[test]
fn the_table_is_bounded() {
    let mut table = IntakeTable::default();
    let name = |number: usize| format!("server-{number}");
    table.record_leaving(&server("first", 1), NOW);
    table.record_pause(&server("ended", 1), pause("1"), 0.0, NOW);
    for number in 0..MAX_SERVERS - 2 {
        table.record_leaving(&server(&name(number), 1), NOW + Duration::from_secs(1));
    }
    assert_eq!(table.len(), MAX_SERVERS);

    let later = NOW + Duration::from_mins(1);
    table.record_leaving(&server("next", 1), later);
    assert!(is_leaving(&table, "first", 1) && is_leaving(&table, "next", 1));
    assert_eq!(table.len(), MAX_SERVERS);

    table.record_leaving(&server("last", 1), later);
    assert_eq!(table.len(), MAX_SERVERS);
    assert!(!is_leaving(&table, "first", 1), "the oldest one remains");
    assert!(is_leaving(&table, "last", 1));
}

proptest! {
    /// Guards against any text that is read as a pause although it is not a plain decimal, or that ends the process.
    #[test]
    fn only_plain_decimals_are_read(text in "[0-9.]{0,40}|[0-9 .+\\-eE]{1,4}|[0-9]{1,3}[ .+\\-eExinfaN,]{1,3}[0-9]?") {
        let digits_only = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
        match text.parse::<RetryAfter>() {
            Ok(value) => {
                prop_assert!(digits_only && text.matches('.').count() <= 1);
                prop_assert!(value.length() <= MAX_PAUSE);
                let exact: f64 = text.parse().unwrap();
                let read = value.length().as_secs_f64();
                prop_assert!((read - exact.min(MAX_PAUSE.as_secs_f64())).abs() < 1e-6);
            }
            Err(_) => prop_assert!(
                !digits_only || text.len() > 32 || text.matches('.').count() > 1
                    || text.starts_with('.') || text.ends_with('.') || text.is_empty()
            ),
        }
    }

    /// Guards against a pause that ends before the server wanted, for any order of answers.
    #[test]
    fn a_pause_lasts_until_the_latest_end(
        answers in prop::collection::vec((0_u64..20_000, 0_u64..8_000, 0.0..1.0), 1..30),
    ) {
        let mut table = IntakeTable::default();
        let mut answers = answers;
        answers.sort_by_key(|(at, _, _)| *at);
        let mut latest = Duration::ZERO;
        let mut bound = Duration::ZERO;
        for (at, length_ms, random) in answers {
            let now = NOW + Duration::from_millis(at);
            let length = Duration::from_millis(length_ms);
            let seconds = format!("{:.3}", length.as_secs_f64());
            table.record_pause(&server("a", 1), pause(&seconds), random, now);
            if !length.is_zero() {
                latest = latest.max(now + length);
                bound = bound.max(now + length + MAX_RESUME_SPREAD.min(length));
            }
            prop_assert!(now >= latest || is_paused(&table, "a", 1, now));
            prop_assert!(now <= bound || !is_paused(&table, "a", 1, now));
        }
        let just_before = latest.saturating_sub(Duration::from_millis(1));
        prop_assert!(latest.is_zero() || is_paused(&table, "a", 1, just_before));
        prop_assert!(!is_paused(&table, "a", 1, bound + Duration::from_millis(1)));
    }

    /// Guards against callers that return before a server takes requests, all at the same moment, or far too late.
    #[test]
    fn refused_callers_return_after_the_first_pause(wait_ms in 0_u64..600_000, random in 0.0..1.0) {
        let wait = Duration::from_millis(wait_ms);

        let after = spread_retry_after(NOW + wait, NOW, random);

        prop_assert!(after >= wait);
        prop_assert!(after <= wait + Duration::from_secs(1));
        let latest = spread_retry_after(NOW + wait, NOW, 0.999);
        let earliest = spread_retry_after(NOW + wait, NOW, 0.0);
        prop_assert!(latest >= earliest + Duration::from_millis(99));
    }

    /// Guards against a random extension that multiplies a very short pause.
    #[test]
    fn an_extension_is_no_longer_than_the_pause(length_ms in 0_u64..600_000, random in 0.0..1.0) {
        let text = format!("{:.3}", Duration::from_millis(length_ms).as_secs_f64());

        let extended = extended_pause(pause(&text), random);

        let length = pause(&text).length();
        prop_assert!(length <= extended && extended <= length + MAX_RESUME_SPREAD.min(length));
    }
}
