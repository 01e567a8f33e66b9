//! Control requests, saved histories and responses are parsed or rejected without a panic.

use proptest::prelude::*;
use radishpaddle_model::{Refusal, ResultCode};
use radishpaddle_testkit::backend::FaultPlan;
use radishpaddle_testkit::caller::{AttemptResult, interpret_response};
use radishpaddle_testkit::fault_proxy::ProxyPlan;
use radishpaddle_testkit::history::History;

proptest! {
    /// Guards against a panic on control requests, saved histories and responses.
    #[test]
    fn any_bytes_are_handled(body in proptest::collection::vec(any::<u8>(), 0..300), status: u16) {
        let _ = serde_json::from_slice::<FaultPlan>(&body);
        let _ = serde_json::from_slice::<ProxyPlan>(&body);
        let _ = serde_json::from_slice::<History>(&body);
        let refused = interpret_response(status, Some(2_003), &body);
        let is_broken = matches!(refused, AttemptResult::Broken { .. });
        prop_assert!(is_broken);
        let answered = interpret_response(status, None, &body);
        let is_answer = matches!(answered, AttemptResult::Answer { .. });
        prop_assert!(is_answer);
    }

    /// Guards against a crash marker that is missed at the start or end of a body, or reported when absent.
    #[test]
    fn crash_marker_is_found_where_it_is(before in "[a-z]{0,9}", after in "[a-z]{0,9}", marker in "[A-Z]{1,5}") {
        let plan = FaultPlan { crash_marker: Some(marker.clone()), ..FaultPlan::default() };

        let marked = format!("{before}{marker}{after}");
        prop_assert!(plan.is_crash_trigger("/", marked.as_bytes()));
        prop_assert!(plan.is_crash_trigger(&marked, b""));
        prop_assert!(!plan.is_crash_trigger(&before, after.as_bytes()));
    }
}

/// Guards against a result code whose refusal the caller misinterprets.
#[test]
fn every_refusal_is_understood() {
    for code in ResultCode::ALL.iter().filter(|code| code.number() >= 2_000) {
        let body = serde_json::to_vec(&Refusal::new(*code, "text")).unwrap();

        let told = interpret_response(code.http_status(), Some(code.number()), &body);

        let number = code.number();
        let expected = match code.outcome() {
            radishpaddle_model::Outcome::NotRun => AttemptResult::NotRun { code: number },
            _ => AttemptResult::OutcomeUnknown { code: number },
        };
        assert_eq!(told, expected, "{code}");
    }
}
