//! Faults that meet requests.

use crate::matrix::{Kind, Row, Step};

/// Rows of the fault matrix for requests.
pub(crate) const REQUEST_ROWS: &[Row] = &[
    Row {
        kind: Kind::Request,
        fault: "none",
        guarantees: "P2, P3, P5, P6, P7, P8, P1, P11",
        covered: &[(
            Step::BeforeDispatch,
            "baseline::fault_free_load_of_one_organisation_is_never_refused",
        )],
        otherwise: "without a fault every step is part of the same run",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the sample backend server delays only its work and its response",
    },
    Row {
        kind: Kind::Request,
        fault: "partial failure of a backend server",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::BeforeResponse,
            "backend_faults::slow_and_failing_servers_are_ejected_above_the_floor",
        )],
        otherwise: "an error status is a complete response and has no other step",
    },
    Row {
        kind: Kind::Request,
        fault: "truncated response",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::DuringResponse,
            "backend_faults::damaged_responses_are_never_presented_as_complete",
        )],
        otherwise: "a truncation exists only during the response",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the length concerns only the response",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "a response is late or crossed as a whole",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the fault changes over seconds and is not tied to these steps",
    },
    Row {
        kind: Kind::Request,
        fault: "shed load",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::BeforeDispatch,
            "backend_faults::shed_requests_are_retried_and_eject_nobody",
        )],
        otherwise: "a server sheds a request before it runs it",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the connection is cut at this step by other cells, but the server does not crash there",
    },
    Row {
        kind: Kind::Request,
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
                Step::AfterResponse,
                "backend_faults::poison_request_costs_at_most_two_servers",
            ),
        ],
        otherwise: "the sample backend server crashes when it has read the request",
    },
    Row {
        kind: Kind::Request,
        fault: "leaving backend server",
        guarantees: "P2, P3, P5, P6, P7, P8, P9",
        covered: &[(
            Step::BeforeDispatch,
            "backend_faults::draining_server_receives_no_new_work",
        )],
        otherwise: "the drain runs under traffic, and no check shows that a request was at this step",
    },
    Row {
        kind: Kind::Request,
        fault: "loss caller to entry",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::caller_links_lose_one_way_and_the_resend_goes_elsewhere",
        )],
        otherwise: "the request is lost as a whole; parts of it are not",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the loss concerns only the response",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the request has been sent",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the loss concerns only the response",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the connection is idle",
    },
    Row {
        kind: Kind::Request,
        fault: "loss entry to entry, outgoing",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::cut_off_entry_stops_and_the_others_serve",
        )],
        otherwise: "traffic runs meanwhile, and no check shows that a request was at this step",
    },
    Row {
        kind: Kind::Request,
        fault: "loss entry to entry, incoming",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::cut_off_entry_stops_and_the_others_serve",
        )],
        otherwise: "traffic runs meanwhile, and no check shows that a request was at this step",
    },
    Row {
        kind: Kind::Request,
        fault: "zone cut",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "link_faults::cut_off_entry_stops_and_the_others_serve",
        )],
        otherwise: "traffic runs meanwhile, and no check shows that a request was at this step",
    },
    Row {
        kind: Kind::Request,
        fault: "all control stopped",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::BeforeDispatch,
            "instance_faults::control_away_while_traffic_goes_on_and_an_entry_restarts",
        )],
        otherwise: "control takes no part in a request",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "the kill is placed when every action runs; the other steps last less than a millisecond",
    },
    Row {
        kind: Kind::Request,
        fault: "planned stop",
        guarantees: "P2, P3, P5, P6, P7, P8, P10",
        covered: &[(
            Step::BeforeDispatch,
            "end_to_end::submissions_calls_withdrawal_and_planned_stop",
        )],
        otherwise: "the stop runs under traffic, and no check shows that a request was at this step",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "a restart begins with a kill or a planned stop",
    },
    Row {
        kind: Kind::Request,
        fault: "key withdrawn on an open connection",
        guarantees: "P2, P3, P5, P6, P7, P8, P4",
        covered: &[(
            Step::BeforeDispatch,
            "end_to_end::submissions_calls_withdrawal_and_planned_stop",
        )],
        otherwise: "a request that was admitted may end",
    },
    Row {
        kind: Kind::Request,
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
        otherwise: "no response was lost at this step",
    },
    Row {
        kind: Kind::Request,
        fault: "second instance lost right after a repair",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::AfterResponse,
            "instance_faults::second_witness_lost_right_after_the_first_returned",
        )],
        otherwise: "the losses last for seconds and are not tied to these steps",
    },
];
