//! Retries and hedges follow the rules for repeatable requests and stay within their budget.

use std::time::Duration;

use proptest::prelude::*;
use radishpaddle_model::Percent;
use radishpaddle_model::document::RetryPolicy;
use radishpaddle_policy::budget::{
    AttemptFault, FailedAttempt, MAX_TOKENS, MIN_TOKENS_PER_S, NoRepeat, RepeatBudget,
};

const FAULTS: [AttemptFault; 6] = [
    AttemptFault::ConnectFailed,
    AttemptFault::Shed,
    AttemptFault::ConnectionLost,
    AttemptFault::TimedOut,
    AttemptFault::ServerError,
    AttemptFault::AnswerInvalid,
];

fn policy(max_attempts: u32, percent: f64) -> RetryPolicy {
    RetryPolicy {
        max_attempts,
        budget_percent: Percent::try_from(percent).unwrap(),
        hedge: true,
    }
}

fn failed(idempotent: bool, attempts: u32, fault: AttemptFault) -> FailedAttempt {
    FailedAttempt {
        idempotent,
        attempts,
        fault,
        answer_started: false,
        remaining: Duration::from_secs(1),
        expected_service: Duration::from_millis(50),
    }
}

/// Guards against an action that runs twice because its first attempt failed after the dispatch.
#[test]
fn action_is_repeated_only_when_it_has_not_run() {
    let mut budget = RepeatBudget::new(&policy(3, 20.0), Duration::ZERO);

    for fault in FAULTS {
        let result = budget.try_retry(Duration::ZERO, &failed(false, 1, fault));

        let expected = match fault {
            AttemptFault::ConnectFailed | AttemptFault::Shed => Ok(()),
            _ => Err(NoRepeat::MayHaveRun),
        };
        assert_eq!(result, expected, "{fault:?}");
    }
}

/// Guards against a shed that counts as a fault of the backend server and leads to its ejection.
#[test]
fn shed_is_not_a_fault() {
    for fault in FAULTS {
        assert_eq!(fault.is_server_fault(), fault != AttemptFault::Shed);
    }
}

/// Guards against a retry that cannot finish in time, and against one after a part of an answer has
/// reached the caller.
#[test]
fn late_or_started_answers_are_not_repeated() {
    let mut budget = RepeatBudget::new(&policy(3, 20.0), Duration::ZERO);
    let mut late = failed(true, 1, AttemptFault::ConnectFailed);
    late.remaining = Duration::from_millis(49);
    let mut started = failed(true, 1, AttemptFault::AnswerInvalid);
    started.answer_started = true;

    assert_eq!(
        budget.try_retry(Duration::ZERO, &late),
        Err(NoRepeat::DeadlineTooShort)
    );
    assert_eq!(
        budget.try_retry(Duration::ZERO, &started),
        Err(NoRepeat::AnswerStarted)
    );
}

/// Guards against a shed request that is repeated within the same burst, and against a delay that
/// leaves too little time for the retry.
#[test]
fn shed_is_repeated_after_a_growing_delay() {
    let delay_ms = |attempts, fault, remaining_ms| {
        let mut failed = failed(true, attempts, fault);
        failed.expected_service = Duration::from_millis(40);
        failed.remaining = Duration::from_millis(remaining_ms);
        RepeatBudget::retry_delay(&failed).as_millis()
    };

    assert_eq!(delay_ms(1, AttemptFault::Shed, 1000), 10);
    assert_eq!(delay_ms(2, AttemptFault::Shed, 1000), 20);
    assert_eq!(delay_ms(2, AttemptFault::Shed, 45), 5);
    assert_eq!(delay_ms(1, AttemptFault::ConnectFailed, 1000), 0);
}

/// Guards against hedges that use up the budget, so that failed requests are not retried.
#[test]
fn hedges_leave_tokens_for_retries() {
    let mut budget = RepeatBudget::new(&policy(3, 20.0), Duration::ZERO);

    while budget.try_hedge(Duration::ZERO, 1).is_ok() {}

    let retry = failed(true, 1, AttemptFault::ServerError);
    assert_eq!(budget.try_retry(Duration::ZERO, &retry), Ok(()));
}

/// Guards against a single failed request at low traffic that is never retried.
#[test]
fn floor_permits_a_retry_at_low_traffic() {
    let mut budget = RepeatBudget::new(&policy(3, 1.0), Duration::ZERO);
    let retry = failed(true, 1, AttemptFault::ServerError);
    while budget.try_retry(Duration::ZERO, &retry).is_ok() {}

    assert_eq!(budget.try_retry(Duration::from_secs(3), &retry), Ok(()));
}

/// Guards against a budget of 0 % that still permits retries through the tokens that accrue over
/// time.
#[test]
fn budget_of_zero_permits_nothing() {
    let mut budget = RepeatBudget::new(&policy(3, 0.0), Duration::ZERO);
    let retry = failed(true, 1, AttemptFault::ConnectFailed);

    let result = budget.try_retry(Duration::from_mins(1), &retry);

    assert_eq!(result, Err(NoRepeat::BudgetExhausted));
}

proptest! {
    /// Guards against additional load by retries under a total outage: they are limited to the
    /// budget fraction of the first attempts, plus the tokens that accrue over time and the initial
    /// tokens. No request exceeds its number of attempts.
    #[test]
    fn repeats_are_bounded_under_total_outage(
        percent in 0.0..100.0_f64,
        max_attempts in 1..6_u32,
        gaps_ms in proptest::collection::vec(0..200_u64, 1..300),
    ) {
        let mut budget = RepeatBudget::new(&policy(max_attempts, percent), Duration::ZERO);
        let mut now = Duration::ZERO;
        let mut repeats = 0.0;
        let mut firsts = 0.0;
        for gap_ms in gaps_ms {
            now += Duration::from_millis(gap_ms);
            budget.record_first_attempt(now);
            firsts += 1.0;
            let mut attempts = 1;
            while budget.try_retry(now, &failed(true, attempts, AttemptFault::ConnectFailed)).is_ok() {
                attempts += 1;
                repeats += 1.0;
            }
            prop_assert!(attempts <= max_attempts);
        }
        let bound = firsts * percent / 100.0 + now.as_secs_f64() * MIN_TOKENS_PER_S + MAX_TOKENS;
        prop_assert!(repeats <= bound + 1e-6, "{} repeats, bound {}", repeats, bound);
    }
}
