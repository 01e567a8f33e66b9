//! Faults that other operators have reported from systems like this one: where each could act here, and which tests
//! bring it about.

/// Path of a request or message through the product.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReportPath {
    /// Gateways and coordinators.
    Gateway,
    /// Entry and control instances.
    Entry,
}

impl ReportPath {
    /// Name on the page.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Gateway => "gateway",
            Self::Entry => "entry",
        }
    }
}

/// A report on one of the paths.
#[derive(Debug, Clone, Copy)]
pub struct ReportRow {
    /// What was reported.
    pub report: &'static str,
    /// Path that the row is about.
    pub path: ReportPath,
    /// Where the fault could act on this path.
    pub place: &'static str,
    /// Tests that bring it about, as `file::test` with the path of the file.
    pub tests: &'static [&'static str],
    /// Why a part that no test brings about cannot happen, or what is not tested. Empty if nothing is left.
    pub reason: &'static str,
}

const LATE_COPY: &str =
    "a second copy of an answer arrives late on a connection that is in use again";
const REPEATED_REFUSAL: &str =
    "an earlier refusal arrives again on a kept connection, for a request that runs";
const CUT_HEAD: &str =
    "a server stops in the head of its answer; callers get a short answer as whole";
const ENDLESS: &str = "bytes that are no answer come without end, in a head or a body";
const PLANNED_STOP: &str =
    "requests that come late in a planned stop are taken and cut without an answer";
const STOP_UNDER_LOAD: &str =
    "requests that were just accepted are cut in a planned stop under load";
const RESTART: &str = "after a restart, a server that had left or a withdrawn key is in use again";
const MALFORMED: &str = "one malformed message or unexpected error takes a process down";
const HAND_OVER: &str = "around a hand-over both processes act, and orders go out twice";
const SILENT: &str =
    "work at a server that is silent or slow to report is started again or given up";
const INVALID_STATUS: &str =
    "a server answers with status 000 or without its proof, and callers get that as an answer";

/// Rows of all reports.
pub const REPORT_ROWS: &[ReportRow] = &[
    ReportRow {
        report: LATE_COPY,
        path: ReportPath::Gateway,
        place: "kept connections to servers",
        tests: &[
            "crates/gateway/tests/answer_identity.rs::an_answer_on_a_kept_connection_needs_the_id_of_the_request",
            "crates/gateway/tests/answer_identity.rs::bytes_before_the_next_request_are_no_answer_to_it",
            "crates/gateway/tests/answer_identity.rs::a_connection_is_not_used_for_the_same_id_again",
            "platform/tests/promises.rs::an_answer_with_the_id_of_another_request_is_a_failure",
        ],
        reason: "",
    },
    ReportRow {
        report: LATE_COPY,
        path: ReportPath::Entry,
        place: "kept connections to servers",
        tests: &[
            "crates/entry/tests/backend_answers.rs::an_answer_on_a_kept_connection_needs_the_id_of_the_request",
            "crates/e2e/tests/backend_faults.rs::damaged_responses_are_never_presented_as_complete",
            "crates/e2e/tests/backend_faults.rs::excess_bytes_never_cross_into_another_response",
        ],
        reason: "",
    },
    ReportRow {
        report: REPEATED_REFUSAL,
        path: ReportPath::Gateway,
        place: "answers that prove that a request was not run",
        tests: &[
            "platform/tests/promises.rs::a_repeated_refusal_is_no_answer_to_the_next_request",
            "platform/tests/promises.rs::a_repeated_refusal_is_no_answer_to_a_request_with_the_same_id",
        ],
        reason: "",
    },
    ReportRow {
        report: REPEATED_REFUSAL,
        path: ReportPath::Entry,
        place: "answers that shed a request",
        tests: &[
            "crates/entry/tests/backend_answers.rs::an_answer_on_a_kept_connection_needs_the_id_of_the_request",
        ],
        reason: "",
    },
    ReportRow {
        report: CUT_HEAD,
        path: ReportPath::Gateway,
        place: "answers of servers, and of gateways that a request was relayed to",
        tests: &[
            "crates/gateway/tests/answer_framing.rs::no_part_of_an_answer_is_taken_for_the_whole",
            "crates/gateway/tests/answer_framing.rs::a_reset_does_not_end_a_body_without_length",
            "crates/gateway/tests/answer_framing.rs::answers_that_contradict_themselves_are_no_answers",
            "crates/gateway/tests/answer_framing.rs::answers_without_body_end_with_their_head",
            "crates/gateway/tests/isolated_gateway.rs::an_answer_cut_between_two_gateways_counts_as_complete",
            "platform/tests/answer_framing.rs::callers_see_no_part_of_an_answer_as_the_whole",
            "platform/tests/answer_framing.rs::callers_see_no_body_after_answers_without_one",
        ],
        reason: "a body without length that the server closes early cannot be told from a whole one; the platform allows such answers",
    },
    ReportRow {
        report: CUT_HEAD,
        path: ReportPath::Entry,
        place: "answers of servers",
        tests: &[
            "crates/entry/tests/answer_framing.rs::no_part_of_an_answer_is_taken_for_the_whole",
            "crates/entry/tests/answer_framing.rs::no_body_ends_with_the_connection",
            "crates/entry/tests/answer_framing.rs::answers_with_contradictory_framing_are_no_answers",
            "crates/entry/tests/answer_framing.rs::answers_without_body_end_with_their_head",
            "crates/e2e/tests/backend_faults.rs::damaged_responses_are_never_presented_as_complete",
        ],
        reason: "",
    },
    ReportRow {
        report: INVALID_STATUS,
        path: ReportPath::Gateway,
        place: "answers of servers, and of gateways that a request was relayed to",
        tests: &[
            "crates/gateway/tests/answer_framing.rs::a_status_000_or_another_invalid_one_is_taken_for_an_answer",
            "crates/gateway/tests/answer_check.rs::a_proof_of_another_shape_is_accepted",
            "crates/gateway/tests/answer_check.rs::unproven_answers_count_as_answers",
            "crates/gateway/tests/isolated_gateway.rs::a_request_lost_between_two_gateways_counts_as_not_run",
            "platform/tests/answer_framing.rs::an_invalid_status_or_an_unproven_answer_is_passed_to_the_caller",
            "platform/tests/answer_framing.rs::an_idempotent_request_ends_with_an_invalid_status",
        ],
        reason: "",
    },
    ReportRow {
        report: INVALID_STATUS,
        path: ReportPath::Entry,
        place: "answers of servers",
        tests: &[
            "crates/entry/tests/answer_framing.rs::a_status_000_or_another_invalid_one_is_taken_for_an_answer",
        ],
        reason: "the settings of the entry proxy name no header of a proof",
    },
    ReportRow {
        report: ENDLESS,
        path: ReportPath::Gateway,
        place: "memory, and the one thread that serves all requests",
        tests: &[
            "crates/gateway/tests/endless_answers.rs::answers_without_end_exhaust_memory_or_time_of_a_gateway",
            "crates/gateway/tests/endless_answers.rs::interim_responses_without_end_hold_a_request_of_a_gateway",
            "crates/gateway/tests/backend_connection.rs::answers_without_end_do_not_exhaust_the_memory",
            "platform/tests/endless_answers.rs::answers_without_end_take_the_requests_of_other_callers_down",
            "platform/tests/endless_answers.rs::interim_responses_without_end_take_the_requests_of_other_callers_down",
        ],
        reason: "",
    },
    ReportRow {
        report: ENDLESS,
        path: ReportPath::Entry,
        place: "memory, and the threads that serve all requests",
        tests: &[
            "crates/entry/tests/endless_answers.rs::answers_without_end_exhaust_memory_or_time",
            "crates/entry/tests/endless_answers.rs::interim_responses_without_end_hold_a_request",
        ],
        reason: "",
    },
    ReportRow {
        report: PLANNED_STOP,
        path: ReportPath::Gateway,
        place: "requests whose time limit ends after the process",
        tests: &[
            "platform/tests/planned_stop.rs::a_request_taken_late_in_a_planned_stop_is_lost",
            "platform/tests/planned_stop.rs::a_request_whose_timeout_grew_during_a_planned_stop_is_lost",
        ],
        reason: "",
    },
    ReportRow {
        report: PLANNED_STOP,
        path: ReportPath::Entry,
        place: "requests whose time limit ends after the process",
        tests: &[
            "crates/e2e/tests/planned_stop.rs::an_action_on_a_late_connection_is_cut_by_the_end_of_a_planned_stop",
            "crates/e2e/tests/planned_stop.rs::requests_on_open_connections_are_cut_by_the_end_of_a_planned_stop",
            "crates/e2e/tests/planned_stop.rs::an_action_that_waits_for_its_claim_blocks_its_key_after_a_planned_stop",
            "crates/e2e/tests/planned_stop.rs::callers_are_sent_to_a_stopping_instance",
        ],
        reason: "",
    },
    ReportRow {
        report: STOP_UNDER_LOAD,
        path: ReportPath::Gateway,
        place: "requests in progress at the stop signal",
        tests: &[
            "platform/tests/planned_stop.rs::requests_taken_in_time_are_served_before_a_stop_ends",
            "platform/tests/promises.rs::a_planned_stop_finishes_requests_in_progress",
        ],
        reason: "",
    },
    ReportRow {
        report: STOP_UNDER_LOAD,
        path: ReportPath::Entry,
        place: "requests in progress at the stop signal",
        tests: &[
            "crates/e2e/tests/end_to_end.rs::submissions_calls_withdrawal_and_planned_stop",
            "crates/e2e/tests/planned_stop.rs::requests_taken_in_time_are_served_before_a_planned_stop_ends",
            "crates/e2e/tests/planned_stop.rs::requests_in_progress_at_the_end_of_a_planned_stop_get_no_answer",
            "crates/e2e/tests/planned_stop.rs::submissions_in_progress_are_cut_by_a_planned_stop_of_control",
        ],
        reason: "",
    },
    ReportRow {
        report: RESTART,
        path: ReportPath::Gateway,
        place: "state that a gateway or coordinator has in memory",
        tests: &["platform/tests/restarts.rs::withdrawals_are_forgotten_in_a_restart"],
        reason: "",
    },
    ReportRow {
        report: RESTART,
        path: ReportPath::Entry,
        place: "state that an entry or control instance has in memory",
        tests: &["crates/e2e/tests/reports.rs::withdrawn_keys_work_again_after_restarts"],
        reason: "a server that left has closed its listener; after a restart an entry instance knows only servers that announce themselves to it",
    },
    ReportRow {
        report: MALFORMED,
        path: ReportPath::Gateway,
        place: "listeners for callers, operators, announcements, lookups and peers; answers of servers",
        tests: &[
            "platform/tests/malformed_messages.rs::a_malformed_message_takes_a_process_down",
            "platform/tests/odd_entries.rs::a_deeply_nested_entry_stops_the_list_of_servers",
            "platform/tests/odd_entries.rs::entries_with_the_largest_numbers_end_the_gateways",
            "crates/wire/tests/peers.rs::malformed_frame_closes_its_connection_only",
            "crates/wire/tests/peers.rs::random_bytes_never_panic",
            "crates/gateway/tests/answer_framing.rs::answers_that_contradict_themselves_are_no_answers",
        ],
        reason: "",
    },
    ReportRow {
        report: MALFORMED,
        path: ReportPath::Entry,
        place: "listeners for callers, operators and administration; answers of servers",
        tests: &[
            "crates/e2e/tests/reports.rs::a_malformed_message_takes_an_instance_down",
            "crates/wire/tests/peers.rs::malformed_frame_closes_its_connection_only",
            "crates/entry/tests/answer_framing.rs::answers_with_contradictory_framing_are_no_answers",
        ],
        reason: "damaged payloads of valid peer frames are sent to coordinators only",
    },
    ReportRow {
        report: HAND_OVER,
        path: ReportPath::Gateway,
        place: "retries of callers around a planned stop, and relays between gateways",
        tests: &[
            "platform/tests/planned_stop.rs::a_request_whose_timeout_grew_during_a_planned_stop_is_lost",
            "crates/gateway/tests/isolated_gateway.rs::a_request_lost_between_two_gateways_counts_as_not_run",
            "crates/gateway/tests/isolated_gateway.rs::an_answer_cut_between_two_gateways_counts_as_complete",
            "crates/gateway/tests/isolated_gateway.rs::callers_of_a_gateway_without_servers_are_refused",
        ],
        reason: "gateways hand nothing over: each attempt of a caller is seen by one gateway, which sends it on only before it is sent, or after a proof that it was not run",
    },
    ReportRow {
        report: HAND_OVER,
        path: ReportPath::Entry,
        place: "retries of callers at another instance, and a change of the witness or control leader",
        tests: &[
            "crates/e2e/tests/instance_faults.rs::killed_mid_action_and_resent_through_another_instance",
            "crates/e2e/tests/link_faults.rs::caller_links_lose_one_way_and_the_resend_goes_elsewhere",
            "crates/e2e/tests/control_faults.rs::old_leader_returns_after_a_silence",
        ],
        reason: "",
    },
    ReportRow {
        report: SILENT,
        path: ReportPath::Gateway,
        place: "requests in progress at a server that is no longer chosen",
        tests: &[
            "platform/tests/silent_servers.rs::work_at_a_silent_server_is_given_up_or_started_again",
            "platform/tests/silent_servers.rs::work_at_a_draining_server_is_given_up_or_started_again",
            "platform/tests/silent_servers.rs::a_late_answer_is_discarded_after_a_second_copy",
            "platform/tests/silent_servers.rs::answers_of_servers_that_pause_are_given_up",
            "platform/tests/silent_servers.rs::answers_of_servers_that_pause_are_given_up_in_a_planned_stop",
        ],
        reason: "",
    },
    ReportRow {
        report: SILENT,
        path: ReportPath::Entry,
        place: "requests in progress at a server that is no longer chosen",
        tests: &[
            "crates/e2e/tests/link_faults.rs::reset_before_the_response_never_repeats_an_action",
            "crates/e2e/tests/backend_faults.rs::a_shed_second_copy_ends_the_first_one_at_work",
        ],
        reason: "announcements are read only when a server is chosen: an attempt ends with its answer, its connection or its deadline (`crates/entry/src/attempts.rs`), and an action whose outcome is unknown is not sent again; silence alone is not tested",
    },
];
