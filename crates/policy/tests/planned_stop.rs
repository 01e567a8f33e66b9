//! Planned stop: no request is taken that outlives the process.

use std::time::Duration;

use proptest::prelude::{Strategy, prop_assert, proptest};
use radishpaddle_policy::StopPlan;

fn milliseconds(range: std::ops::Range<u64>) -> impl Strategy<Value = Duration> {
    range.prop_map(Duration::from_millis)
}

proptest! {
    /// Guards against a request that is taken although its time limit ends after the process, and against one that is
    /// refused although the limit ends in time.
    #[test]
    fn a_request_is_taken_exactly_when_its_time_limit_ends_before_the_process(
        accept_for in milliseconds(0..30_000),
        process_ends_after in milliseconds(0..30_000),
        arrives_after in milliseconds(0..30_000),
        time_limit in milliseconds(0..60_000),
    ) {
        let plan = StopPlan::new(accept_for, process_ends_after);
        let request_deadline = arrives_after + time_limit;

        let taken = plan.can_finish(request_deadline);

        let time_to_answer = process_ends_after.saturating_sub(plan.requests_end_after());
        prop_assert!(!taken || request_deadline + time_to_answer <= process_ends_after);
        prop_assert!(taken || request_deadline > plan.requests_end_after());
    }

    /// Guards against connections that are accepted although their requests have to be refused, and against an instance
    /// that accepts none although each request would end in time.
    #[test]
    fn connections_are_accepted_while_every_request_can_finish(
        accept_for in milliseconds(0..30_000),
        process_ends_after in milliseconds(0..30_000),
        longest_time_limit in milliseconds(0..60_000),
    ) {
        let plan = StopPlan::new(accept_for, process_ends_after);

        let accepting = plan.accept_for(longest_time_limit);

        prop_assert!(accepting <= accept_for.min(process_ends_after));
        prop_assert!(accepting.is_zero() || plan.can_finish(accepting + longest_time_limit));
        prop_assert!(
            accepting == accept_for.min(process_ends_after)
                || !plan.can_finish(accepting + longest_time_limit + Duration::from_millis(1))
        );
    }
}
