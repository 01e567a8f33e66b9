//! Hedges are sent late enough, never under load, and never to the server of the first attempt.

use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::BackendServerId;
use radishpaddle_model::document::RetryPolicy;
use radishpaddle_policy::CostEstimate;
use radishpaddle_policy::budget::{NoRepeat, RepeatBudget};
use radishpaddle_policy::hedge::{
    HedgeClass, HedgeQuery, HedgeRace, NoHedge, RaceCopy, RaceStep, SERVICE_TIME_WINDOW,
    SameServer, check_kind, kind_delay,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

fn server(name: &str) -> BackendServerId {
    name.parse().unwrap()
}

fn class(service_times_ms: impl IntoIterator<Item = u64>) -> HedgeClass {
    let mut class = HedgeClass::new(ms(0));
    for time_ms in service_times_ms {
        class.record(ms(0), ms(time_ms));
    }
    class
}

fn budget() -> RepeatBudget {
    RepeatBudget::new(&RetryPolicy::default(), ms(0))
}

fn query() -> HedgeQuery {
    HedgeQuery {
        idempotent: true,
        objective: None,
        elapsed: ms(1000),
        remaining: ms(1000),
        attempts: 1,
        in_flight: 5,
        slots: 18,
        other_server_free: true,
        stalled: false,
    }
}

/// Guards against a hedge delay that follows the tail of one slow server out of six, which would
/// hedge nothing.
#[test]
fn delay_is_bounded_by_the_median() {
    let slow_sixth = class((0..600).map(|index| if index % 6 == 0 { 500 } else { 50 }));

    let delay = slow_sixth.delay(None).unwrap();

    assert!(delay > ms(90) && delay < ms(230), "{delay:?}");
}

/// Guards against hedges that break one of the rules; each query breaks exactly one rule.
#[test]
fn each_rule_forbids_the_hedge() {
    let class = class((0..100).map(|index| 40 + index % 20));
    let cases = [
        (
            HedgeQuery {
                idempotent: false,
                ..query()
            },
            NoHedge::NotIdempotent,
        ),
        (
            HedgeQuery {
                elapsed: ms(60),
                ..query()
            },
            NoHedge::TooEarly,
        ),
        (
            HedgeQuery {
                remaining: ms(10),
                ..query()
            },
            NoHedge::DeadlineTooShort,
        ),
        (
            HedgeQuery {
                in_flight: 17,
                ..query()
            },
            NoHedge::TailCausedByLoad,
        ),
        (
            HedgeQuery {
                other_server_free: false,
                ..query()
            },
            NoHedge::NoOtherServer,
        ),
        (
            HedgeQuery {
                attempts: 3,
                ..query()
            },
            NoHedge::Budget(NoRepeat::AttemptsExhausted),
        ),
    ];

    for (query, expected) in cases {
        let result = class.try_hedge(ms(1), &query, &mut budget());

        assert_eq!(result, Err(expected), "{query:?}");
    }
    assert_eq!(class.try_hedge(ms(1), &query(), &mut budget()), Ok(()));
}

/// Guards against hedges after a restart, when the quantile is based on too few samples.
#[test]
fn few_samples_permit_no_hedge() {
    let class = class([50; 10]);

    let result = class.try_hedge(ms(1), &query(), &mut budget());

    assert_eq!(result, Err(NoHedge::TooFewSamples));
}

/// Guards against hedges that lengthen a tail caused by load: the median of the whole class has
/// doubled although the fraction of slots in use is moderate.
#[test]
fn shifted_median_permits_no_hedge() {
    let mut class = HedgeClass::new(ms(0));
    let mut now = ms(0);
    for (windows, time_ms) in [(5, 50), (2, 110)] {
        for _ in 0..windows {
            (0..100).for_each(|_| class.record(now, ms(time_ms)));
            now += SERVICE_TIME_WINDOW;
        }
    }

    let result = class.try_hedge(now, &query(), &mut budget());

    assert_eq!(result, Err(NoHedge::TailCausedByLoad));
}

/// Guards against a hedge to the same server as the first attempt, which may be slow.
#[test]
fn race_needs_two_servers() {
    assert_eq!(
        HedgeRace::new(server("a"), server("a")).err(),
        Some(SameServer)
    );
}

/// Guards against a losing copy that keeps its slot, and against a failure of one copy that ends
/// the request while the other copy may still answer.
#[test]
fn first_complete_answer_cancels_the_other_copy() {
    let mut won = HedgeRace::new(server("a"), server("b")).unwrap();
    let mut rescued = won.clone();
    let mut lost = won.clone();

    assert_eq!(
        won.answered(RaceCopy::Hedge),
        RaceStep::Answer {
            cancel: Some(server("a"))
        }
    );
    assert_eq!(won.failed(RaceCopy::First), RaceStep::Ignore);
    assert_eq!(rescued.failed(RaceCopy::First), RaceStep::Wait);
    assert_eq!(
        rescued.answered(RaceCopy::Hedge),
        RaceStep::Answer { cancel: None }
    );
    assert_eq!(lost.failed(RaceCopy::Hedge), RaceStep::Wait);
    assert_eq!(lost.failed(RaceCopy::First), RaceStep::Failed);
}

proptest! {
    /// Guards against a race with two results, for any order and repetition of its events.
    #[test]
    fn race_has_at_most_one_result(events in proptest::collection::vec((any::<bool>(), any::<bool>()), 0..8)) {
        let mut race = HedgeRace::new(server("a"), server("b")).unwrap();

        let results = events.iter().map(|&(hedge, answered)| {
            let copy = if hedge { RaceCopy::Hedge } else { RaceCopy::First };
            if answered { race.answered(copy) } else { race.failed(copy) }
        });

        let decided = results.filter(|step| !matches!(step, RaceStep::Wait | RaceStep::Ignore));
        prop_assert!(decided.count() <= 1);
    }

    /// Guards against a delay below the 95 % quantile, within the bucket error, when the spread is
    /// moderate: at most one request in twenty is hedged.
    #[test]
    fn few_requests_outlast_the_delay(times in proptest::collection::vec(30..90_u64, 100..400)) {
        let class = class(times.iter().copied());

        let delay = class.delay(None).unwrap();

        let later = times.iter().filter(|&&time| ms(time) > delay.mul_f64(1.1)).count();
        prop_assert!(later * 20 <= times.len(), "{} of {}", later, times.len());
    }
}

/// Guards against requests that are never hedged at instances that each get few of them: the tail of the class is not
/// known there, so the objective decides, within the same bounds.
#[test]
fn few_service_times_are_enough_with_an_objective() {
    let class = class([100; 8]);
    let delay = |objective_ms| class.delay(Some(ms(objective_ms))).unwrap();

    assert_eq!(class.delay(None), None);
    assert!(delay(600) > ms(290) && delay(600) < ms(310));
    assert!(delay(100) > ms(180) && delay(5_000) < ms(440));
    assert_eq!(HedgeClass::new(ms(0)).delay(Some(ms(600))), Some(ms(300)));
}

fn look_up(age: Option<Duration>) -> CostEstimate {
    CostEstimate {
        mean: ms(880),
        tail: ms(2_000),
        request_bytes: 0,
        answer_bytes: 400,
        age,
    }
}

fn late_look_up(elapsed_ms: u64) -> HedgeQuery {
    HedgeQuery {
        objective: Some(ms(4_000)),
        elapsed: ms(elapsed_ms),
        remaining: ms(6_000 - elapsed_ms),
        slots: 10,
        in_flight: 5,
        other_server_free: true,
        ..query()
    }
}

/// Guards against a long kind that is hedged by the tail of a short one, and against a second copy that begins too late to
/// end by the target latency.
#[test]
fn a_kind_is_hedged_by_its_own_tail() {
    let known = look_up(Some(ms(0)));
    assert_eq!(kind_delay(&known, ms(4_000)), ms(2_000));
    assert_eq!(kind_delay(&known, ms(2_700)), ms(1_820));
    assert_eq!(
        kind_delay(&known, ms(1_000)),
        ms(1_760),
        "never below two means"
    );
    assert_eq!(kind_delay(&look_up(None), ms(5_000)), ms(2_500));
    assert_eq!(
        check_kind(&known, &late_look_up(1_900)),
        Err(NoHedge::TooEarly)
    );
    assert_eq!(check_kind(&known, &late_look_up(2_000)), Ok(()));
}

/// Guards against an idempotent request that waits for the rest of a stalled answer because its delay has not passed or load
/// forbids a second copy, and against copies of other requests.
#[test]
fn a_stalled_answer_waits_for_its_deadline() {
    let stalled = |idempotent, remaining| HedgeQuery {
        idempotent,
        remaining,
        elapsed: ms(10),
        in_flight: 18,
        other_server_free: false,
        stalled: true,
        ..query()
    };
    let class = class([50; 100]);
    let known = look_up(Some(ms(0)));

    let permitted = [
        class.check(&stalled(true, ms(1_000))),
        check_kind(&known, &stalled(true, ms(1_000))),
    ];

    assert_eq!(permitted, [Ok(()); 2]);
    let too_short = Err(NoHedge::DeadlineTooShort);
    assert_eq!(class.check(&stalled(true, ms(20))), too_short);
    assert_eq!(check_kind(&known, &stalled(true, ms(20))), too_short);
    let action = Err(NoHedge::NotIdempotent);
    assert_eq!(class.check(&stalled(false, ms(1_000))), action);
    assert_eq!(check_kind(&known, &stalled(false, ms(1_000))), action);
}

/// Guards against an idempotent request that waits for its deadline at a silent server, because load forbade a second copy
/// at the first check.
#[test]
fn load_does_not_keep_a_request_at_a_silent_server() {
    let known = look_up(Some(ms(0)));
    let under_load = |elapsed_ms| HedgeQuery {
        in_flight: 10,
        other_server_free: false,
        ..late_look_up(elapsed_ms)
    };
    assert_eq!(
        check_kind(&known, &under_load(2_000)),
        Err(NoHedge::TailCausedByLoad)
    );
    assert_eq!(check_kind(&known, &under_load(4_000)), Ok(()));
    assert_eq!(
        check_kind(&known, &under_load(5_500)),
        Err(NoHedge::DeadlineTooShort)
    );
    let action = HedgeQuery {
        idempotent: false,
        ..under_load(4_000)
    };
    assert_eq!(check_kind(&known, &action), Err(NoHedge::NotIdempotent));
}
