//! Rows of the fault matrix for faults during requests.

use crate::matrix::{Row, RowKind, Step};

/// Rows for requests of callers.
pub(crate) const REQUEST_ROWS: &[Row] = &[
    Row {
        kind: RowKind::Request,
        fault: "none",
        guarantees: "P2, P3, P5, P6, P7, P8, P1, P11",
        covered: &[(
            Step::BeforeDispatch,
            "baseline::fault_free_load_of_one_organisation_is_never_refused",
        )],
        uncovered_reason: "without a fault every step is part of the same run",
    },
    Row {
        kind: RowKind::Request,
        fault: "slow backend server",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[
            (
                Step::BeforeDispatch,
                "backend_faults::slow_and_failing_servers_are_ejected_above_the_floor",
            ),
            (
                Step::BeforeResponse,
                "backend_faults::slow_and_failing_servers_are_ejected_above_the_floor",
            ),
            (
                Step::DuringResponse,
                "backend_faults::damaged_responses_are_never_presented_as_complete",
            ),
        ],
        uncovered_reason: "the sample backend server delays only its work and its response",
    },
    Row {
        kind: RowKind::Request,
        fault: "partial failure of a backend server",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::BeforeResponse,
            "backend_faults::slow_and_failing_servers_are_ejected_above_the_floor",
        )],
        uncovered_reason: "an error status is a complete response and has no other step",
    },
    Row {
        kind: RowKind::Request,
        fault: "truncated response",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::DuringResponse,
            "backend_faults::damaged_responses_are_never_presented_as_complete",
        )],
        uncovered_reason: "a truncation exists only during the response",
    },
    Row {
        kind: RowKind::Request,
        fault: "wrong content length",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::DuringResponse,
                "backend_faults::damaged_responses_are_never_presented_as_complete",
            ),
            (
                Step::AfterResponse,
                "backend_faults::excess_bytes_never_cross_into_another_response",
            ),
        ],
        uncovered_reason: "the length concerns only the response",
    },
    Row {
        kind: RowKind::Request,
        fault: "crossed or late response",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeResponse,
                "backend_faults::damaged_responses_are_never_presented_as_complete",
            ),
            (
                Step::AfterResponse,
                "backend_faults::excess_bytes_never_cross_into_another_response",
            ),
        ],
        uncovered_reason: "a response is late or crossed as a whole",
    },
    Row {
        kind: RowKind::Request,
        fault: "flapping backend server",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[
            (
                Step::BeforeDispatch,
                "backend_faults::flapping_server_stays_out_longer",
            ),
            (
                Step::BeforeResponse,
                "backend_faults::flapping_server_stays_out_longer",
            ),
        ],
        uncovered_reason: "the fault changes over seconds and is not tied to these steps",
    },
    Row {
        kind: RowKind::Request,
        fault: "shed load",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::BeforeDispatch,
            "backend_faults::shed_requests_are_retried_and_eject_nobody",
        )],
        uncovered_reason: "a server sheds a request before it runs it",
    },
    Row {
        kind: RowKind::Request,
        fault: "crash of a backend server",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeDispatch,
                "backend_faults::crashes_neither_repeat_actions_nor_lose_recorded_answers",
            ),
            (
                Step::BeforeResponse,
                "backend_faults::crashes_neither_repeat_actions_nor_lose_recorded_answers",
            ),
            (
                Step::AfterResponse,
                "backend_faults::crashes_neither_repeat_actions_nor_lose_recorded_answers",
            ),
        ],
        uncovered_reason: "the connection is cut at this step by other cells, but the server does not crash there",
    },
    Row {
        kind: RowKind::Request,
        fault: "poison request",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeDispatch,
                "backend_faults::poison_request_costs_at_most_two_servers",
            ),
            (
                Step::BeforeResponse,
                "backend_faults::poison_request_costs_at_most_two_servers",
            ),
            (
                Step::DuringResponse,
                "backend_faults::poison_request_that_crashes_within_responses_costs_at_most_two_servers",
            ),
            (
                Step::AfterResponse,
                "backend_faults::poison_request_costs_at_most_two_servers",
            ),
        ],
        uncovered_reason: "the sample backend server crashes when it has read the request or begun its response",
    },
    Row {
        kind: RowKind::Request,
        fault: "caller that leaves with further requests sent",
        guarantees: "none numbered: nothing runs for it any more",
        covered: &[(
            Step::BeforeResponse,
            "pipelining::pipelined_requests_are_cancelled_when_their_caller_leaves",
        )],
        uncovered_reason: "the end of the connection is noticed in the same way at every step",
    },
    Row {
        kind: RowKind::Request,
        fault: "leaving backend server",
        guarantees: "P2, P3, P5, P6, P7, P8, P9",
        covered: &[(
            Step::BeforeDispatch,
            "backend_faults::draining_server_receives_no_new_work",
        )],
        uncovered_reason: "the drain runs under traffic, and no check shows that a request was at this step",
    },
    Row {
        kind: RowKind::Request,
        fault: "backend server that says in its responses that it leaves",
        guarantees: "P2, P3, P5, P6, P7, P8, P9",
        covered: &[(
            Step::BeforeDispatch,
            "server_signals::leaving_server_gets_nothing_new_until_a_newer_incarnation",
        )],
        uncovered_reason: "a response that has begun or ended does not depend on the state of the server",
    },
    Row {
        kind: RowKind::Request,
        fault: "response that says that the server leaves",
        guarantees: "P9",
        covered: &[(
            Step::AfterResponse,
            "server_signals::response_of_a_leaving_server_is_delivered_without_the_header",
        )],
        uncovered_reason: "the header needs the response as a whole",
    },
    Row {
        kind: RowKind::Request,
        fault: "backend server that asks for a pause",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::BeforeDispatch,
            "server_signals::paused_server_gets_at_most_two_requests_and_work_after_the_pause",
        )],
        uncovered_reason: "a server that asks for a pause has not started the request",
    },
    Row {
        kind: RowKind::Request,
        fault: "all backend servers ask for a pause",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::BeforeDispatch,
            "server_signals::pause_of_all_servers_refuses_at_once_with_a_time_to_return",
        )],
        uncovered_reason: "no request is sent on",
    },
    Row {
        kind: RowKind::Request,
        fault: "absurd signal in a response",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::AfterResponse,
            "server_signals::absurd_signals_are_ignored_and_counted",
        )],
        uncovered_reason: "the header needs the response as a whole",
    },
    Row {
        kind: RowKind::Request,
        fault: "request that can be read in two ways",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::BeforeDispatch,
            "odd_requests::request_with_two_readings_reaches_no_server",
        )],
        uncovered_reason: "it is refused before it is sent on",
    },
    Row {
        kind: RowKind::Request,
        fault: "loss caller to entry",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::caller_links_lose_one_way_and_the_resend_goes_elsewhere",
        )],
        uncovered_reason: "the request is lost as a whole; parts of it are not",
    },
    Row {
        kind: RowKind::Request,
        fault: "loss entry to caller",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeResponse,
                "link_faults::caller_links_lose_one_way_and_the_resend_goes_elsewhere",
            ),
            (
                Step::DuringResponse,
                "link_faults::caller_links_lose_one_way_and_the_resend_goes_elsewhere",
            ),
        ],
        uncovered_reason: "the loss concerns only the response",
    },
    Row {
        kind: RowKind::Request,
        fault: "loss entry to backend server",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeDispatch,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
            (
                Step::AfterFirstByte,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
        ],
        uncovered_reason: "the request has been sent",
    },
    Row {
        kind: RowKind::Request,
        fault: "loss backend server to entry",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeResponse,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
            (
                Step::DuringResponse,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
        ],
        uncovered_reason: "the loss concerns only the response",
    },
    Row {
        kind: RowKind::Request,
        fault: "reset between entry and backend server",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeDispatch,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
            (
                Step::AfterFirstByte,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
            (
                Step::BeforeResponse,
                "link_faults::reset_before_the_response_never_repeats_an_action",
            ),
            (
                Step::DuringResponse,
                "link_faults::backend_links_lose_and_cut_at_each_step",
            ),
        ],
        uncovered_reason: "the connection is idle",
    },
    Row {
        kind: RowKind::Request,
        fault: "loss entry to entry, outgoing",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::cut_off_entry_stops_and_the_others_serve",
        )],
        uncovered_reason: "traffic runs meanwhile, and no check shows that a request was at this step",
    },
    Row {
        kind: RowKind::Request,
        fault: "loss entry to entry, incoming",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::cut_off_entry_stops_and_the_others_serve",
        )],
        uncovered_reason: "traffic runs meanwhile, and no check shows that a request was at this step",
    },
    Row {
        kind: RowKind::Request,
        fault: "zone cut",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::cut_off_entry_stops_and_the_others_serve",
        )],
        uncovered_reason: "traffic runs meanwhile, and no check shows that a request was at this step",
    },
    Row {
        kind: RowKind::Request,
        fault: "all control stopped",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "instance_faults::control_away_while_traffic_goes_on_and_an_entry_restarts",
        )],
        uncovered_reason: "control takes no part in a request",
    },
    Row {
        kind: RowKind::Request,
        fault: "entry instance killed",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeResponse,
                "instance_faults::killed_mid_action_and_resent_through_another_instance",
            ),
            (
                Step::AfterResponse,
                "instance_faults::killed_mid_action_and_resent_through_another_instance",
            ),
        ],
        uncovered_reason: "the kill is placed when every action runs; the other steps last less than a millisecond",
    },
    Row {
        kind: RowKind::Request,
        fault: "planned stop",
        guarantees: "P2, P3, P5, P6, P7, P8, P10",
        covered: &[(
            Step::BeforeDispatch,
            "end_to_end::submissions_calls_withdrawal_and_planned_stop",
        )],
        uncovered_reason: "the stop runs under traffic, and no check shows that a request was at this step",
    },
    Row {
        kind: RowKind::Request,
        fault: "restart of an entry instance",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[
            (
                Step::BeforeDispatch,
                "instance_faults::control_away_while_traffic_goes_on_and_an_entry_restarts",
            ),
            (
                Step::AfterResponse,
                "instance_faults::killed_mid_action_and_resent_through_another_instance",
            ),
        ],
        uncovered_reason: "a restart begins with a kill or a planned stop",
    },
    Row {
        kind: RowKind::Request,
        fault: "key withdrawn on an open connection",
        guarantees: "P2, P3, P5, P6, P7, P8, P4",
        covered: &[(
            Step::BeforeDispatch,
            "end_to_end::submissions_calls_withdrawal_and_planned_stop",
        )],
        uncovered_reason: "a request that was admitted may end",
    },
    Row {
        kind: RowKind::Request,
        fault: "resend after a lost response",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[
            (
                Step::BeforeResponse,
                "instance_faults::killed_mid_action_and_resent_through_another_instance",
            ),
            (
                Step::AfterResponse,
                "link_faults::caller_links_lose_one_way_and_the_resend_goes_elsewhere",
            ),
        ],
        uncovered_reason: "no response was lost at this step",
    },
    Row {
        kind: RowKind::Request,
        fault: "second instance lost right after a repair",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::AfterResponse,
            "instance_faults::second_witness_lost_right_after_the_first_returned",
        )],
        uncovered_reason: "the losses last for seconds and are not tied to these steps",
    },
];
