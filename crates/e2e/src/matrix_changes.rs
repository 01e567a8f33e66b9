//! Rows of the fault matrix for faults during configuration changes, and for pairs of faults.

use crate::matrix::{Row, RowKind, Step};

/// Rows for configuration changes, followed by those for pairs of faults.
pub(crate) const CHANGE_ROWS: &[Row] = &[
    Row {
        kind: RowKind::Change,
        fault: "control leader killed",
        guarantees: "P11",
        covered: &[
            (
                Step::BeforeSync,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
            (
                Step::AfterSync,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
            (
                Step::BeforeAcknowledgement,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
            (
                Step::DuringSpread,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
        ],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Change,
        fault: "control leader receives nothing",
        guarantees: "P11",
        covered: &[(
            Step::BeforeSync,
            "control_faults::leader_that_receives_nothing_is_replaced",
        )],
        uncovered_reason: "the leader cannot complete the sync, so it does not come to this step",
    },
    Row {
        kind: RowKind::Change,
        fault: "control leader sends nothing",
        guarantees: "P11",
        covered: &[],
        uncovered_reason: "a control instance has one address for all others, so a proxy cannot lose what one of them sends",
    },
    Row {
        kind: RowKind::Change,
        fault: "control cut off silently for a long time",
        guarantees: "P11",
        covered: &[
            (
                Step::BeforeSync,
                "control_faults::old_leader_returns_after_a_silence",
            ),
            (
                Step::DuringSpread,
                "control_faults::old_leader_returns_after_a_silence",
            ),
        ],
        uncovered_reason: "the instance is suspended between changes",
    },
    Row {
        kind: RowKind::Change,
        fault: "loss control to entry",
        guarantees: "P11",
        covered: &[
            (
                Step::BeforeAcknowledgement,
                "link_faults::control_cut_off_from_witnesses",
            ),
            (
                Step::DuringSpread,
                "link_faults::control_cut_off_from_witnesses",
            ),
        ],
        uncovered_reason: "the link is not used before the commit",
    },
    Row {
        kind: RowKind::Change,
        fault: "loss entry to control",
        guarantees: "P11",
        covered: &[],
        uncovered_reason: "the tests lose only what control sends; not written yet",
    },
    Row {
        kind: RowKind::Change,
        fault: "racing submissions under equal revisions",
        guarantees: "P11",
        covered: &[(
            Step::BeforeSync,
            "control_faults::racing_and_repeated_submissions",
        )],
        uncovered_reason: "the race is decided by the order of the log",
    },
    Row {
        kind: RowKind::Change,
        fault: "resend after a lost response",
        guarantees: "P11",
        covered: &[
            (
                Step::BeforeSync,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
            (
                Step::AfterSync,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
            (
                Step::BeforeAcknowledgement,
                "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
            ),
            (
                Step::DuringSpread,
                "control_faults::racing_and_repeated_submissions",
            ),
        ],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Change,
        fault: "second control instance lost right after a repair",
        guarantees: "P11",
        covered: &[(
            Step::AfterSync,
            "control_faults::empty_disk_replaced_and_a_second_loss_follows",
        )],
        uncovered_reason: "the second loss is placed between changes",
    },
    Row {
        kind: RowKind::Change,
        fault: "restart of all control instances",
        guarantees: "P11",
        covered: &[(
            Step::AfterSync,
            "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
        )],
        uncovered_reason: "the restart is placed between changes",
    },
    Row {
        kind: RowKind::Change,
        fault: "restore of control from an export, then restart of all witnesses",
        guarantees: "P4, P8, P11",
        covered: &[(
            Step::AfterSync,
            "restore::restored_control_reaches_running_witnesses_and_no_action_runs_again",
        )],
        uncovered_reason: "the restore is placed between changes",
    },
    Row {
        kind: RowKind::Pair,
        fault: "witness leader killed, backend server slow",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::Together,
            "instance_faults::witness_leader_killed_while_a_server_is_slow",
        )],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Pair,
        fault: "entry instance killed during an action, resend through another one",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::Together,
            "instance_faults::killed_mid_action_and_resent_through_another_instance",
        )],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Pair,
        fault: "control away, entry instance restarts",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::Together,
            "instance_faults::control_away_while_traffic_goes_on_and_an_entry_restarts",
        )],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Pair,
        fault: "key withdrawn, entry instance suspended",
        guarantees: "P2, P3, P5, P6, P7, P8, P4",
        covered: &[(
            Step::Together,
            "instance_faults::suspended_entry_refuses_until_it_is_fresh",
        )],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Pair,
        fault: "disk of a control instance lost, then its leader killed",
        guarantees: "P11",
        covered: &[(
            Step::Together,
            "control_faults::empty_disk_replaced_and_a_second_loss_follows",
        )],
        uncovered_reason: "",
    },
    Row {
        kind: RowKind::Pair,
        fault: "witness leader killed, rate refusals of callers within their rate",
        guarantees: "P5",
        covered: &[],
        uncovered_reason: "no test counts wrongful refusals during a fault; the fault-free case is recorded as failing",
    },
    Row {
        kind: RowKind::Pair,
        fault: "zone cut, backend server slow",
        guarantees: "P1",
        covered: &[],
        uncovered_reason: "not written yet",
    },
    Row {
        kind: RowKind::Pair,
        fault: "control leader killed, entry instance restarts",
        guarantees: "P11",
        covered: &[],
        uncovered_reason: "not written yet",
    },
];
