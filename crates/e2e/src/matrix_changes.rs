//! Faults that meet changes, and pairs of faults.

use crate::matrix::{Kind, Row, Step};

/// Rows of the fault matrix for changes and for pairs.
pub(crate) const CHANGE_ROWS: &[Row] = &[
    Row {
        kind: Kind::Change,
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
        otherwise: "",
    },
    Row {
        kind: Kind::Change,
        fault: "control leader receives nothing",
        guarantees: "P11",
        covered: &[(
            Step::BeforeSync,
            "control_faults::leader_that_receives_nothing_is_replaced",
        )],
        otherwise: "the leader cannot complete the sync, so it does not come to this step",
    },
    Row {
        kind: Kind::Change,
        fault: "control leader sends nothing",
        guarantees: "P11",
        covered: &[],
        otherwise: "a control instance has one address for all others, so a proxy cannot lose what one of them sends",
    },
    Row {
        kind: Kind::Change,
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
        otherwise: "the instance is suspended between changes",
    },
    Row {
        kind: Kind::Change,
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
        otherwise: "the link is not used before the commit",
    },
    Row {
        kind: Kind::Change,
        fault: "loss entry to control",
        guarantees: "P11",
        covered: &[],
        otherwise: "the tests lose only what control sends; not written yet",
    },
    Row {
        kind: Kind::Change,
        fault: "racing submissions under equal revisions",
        guarantees: "P11",
        covered: &[(
            Step::BeforeSync,
            "control_faults::racing_and_repeated_submissions",
        )],
        otherwise: "the race is decided by the order of the log",
    },
    Row {
        kind: Kind::Change,
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
        otherwise: "",
    },
    Row {
        kind: Kind::Change,
        fault: "second control instance lost right after a repair",
        guarantees: "P11",
        covered: &[(
            Step::AfterSync,
            "control_faults::empty_disk_replaced_and_a_second_loss_follows",
        )],
        otherwise: "the second loss is placed between changes",
    },
    Row {
        kind: Kind::Change,
        fault: "restart of all control instances",
        guarantees: "P11",
        covered: &[(
            Step::AfterSync,
            "control_faults::leader_killed_at_any_moment_over_a_hundred_changes",
        )],
        otherwise: "the restart is placed between changes",
    },
    Row {
        kind: Kind::Change,
        fault: "restore of control from an export, then restart of all witnesses",
        guarantees: "P4, P8, P11",
        covered: &[(
            Step::AfterSync,
            "restore::restored_control_reaches_running_witnesses_and_no_action_runs_again",
        )],
        otherwise: "the restore is placed between changes",
    },
    Row {
        kind: Kind::Pair,
        fault: "witness leader killed, backend server slow",
        guarantees: "P2, P3, P5, P6, P7, P8, P1",
        covered: &[(
            Step::Together,
            "instance_faults::witness_leader_killed_while_a_server_is_slow",
        )],
        otherwise: "",
    },
    Row {
        kind: Kind::Pair,
        fault: "entry instance killed during an action, resend through another one",
        guarantees: "P2, P3, P5, P6, P7, P8",
        covered: &[(
            Step::Together,
            "instance_faults::killed_mid_action_and_resent_through_another_instance",
        )],
        otherwise: "",
    },
    Row {
        kind: Kind::Pair,
        fault: "control away, entry instance restarts",
        guarantees: "P2, P3, P5, P6, P7, P8, P11",
        covered: &[(
            Step::Together,
            "instance_faults::control_away_while_traffic_goes_on_and_an_entry_restarts",
        )],
        otherwise: "",
    },
    Row {
        kind: Kind::Pair,
        fault: "key withdrawn, entry instance suspended",
        guarantees: "P2, P3, P5, P6, P7, P8, P4",
        covered: &[(
            Step::Together,
            "instance_faults::suspended_entry_refuses_until_it_is_fresh",
        )],
        otherwise: "",
    },
    Row {
        kind: Kind::Pair,
        fault: "disk of a control instance lost, then its leader killed",
        guarantees: "P11",
        covered: &[(
            Step::Together,
            "control_faults::empty_disk_replaced_and_a_second_loss_follows",
        )],
        otherwise: "",
    },
    Row {
        kind: Kind::Pair,
        fault: "witness leader killed, rate refusals of callers within their rate",
        guarantees: "P5",
        covered: &[],
        otherwise: "no test counts wrongful refusals during a fault; the fault-free case is recorded as failing",
    },
    Row {
        kind: Kind::Pair,
        fault: "zone cut, backend server slow",
        guarantees: "P1",
        covered: &[],
        otherwise: "not written yet",
    },
    Row {
        kind: Kind::Pair,
        fault: "control leader killed, entry instance restarts",
        guarantees: "P11",
        covered: &[],
        otherwise: "not written yet",
    },
];
