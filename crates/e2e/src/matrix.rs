//! Which faults are tested at which steps, and by which test. `docs/fault-matrix.md` is generated from
//! this table, and a test compares them.

use std::fmt::Write as _;

use crate::matrix_changes::CHANGE_ROWS;
use crate::matrix_requests::REQUEST_ROWS;

/// What a fault meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A request of a caller.
    Request,
    /// A configuration change of an operator.
    Change,
    /// A second fault at the same time.
    Pair,
}

/// A step of a request or a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Before the request is sent to a backend server.
    BeforeDispatch,
    /// After the first byte was sent to a backend server.
    AfterFirstByte,
    /// While the backend server works.
    BeforeResponse,
    /// While the response arrives.
    DuringResponse,
    /// After the response.
    AfterResponse,
    /// Before the change is on the disk of a majority.
    BeforeSync,
    /// After the change is on the disk of a majority.
    AfterSync,
    /// Before the operator is answered.
    BeforeAcknowledgement,
    /// While the change spreads to the entry instances.
    DuringSpread,
    /// Both faults of a pair are in force together.
    Together,
}

/// One fault with the steps that are tested.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// What the fault meets.
    pub kind: Kind,
    /// The fault.
    pub fault: &'static str,
    /// Guarantees that are checked.
    pub guarantees: &'static str,
    /// Steps with the tests that prove them, as `file::test`.
    pub covered: &'static [(Step, &'static str)],
    /// Why the other steps are not covered.
    pub otherwise: &'static str,
}

impl Kind {
    /// Steps of every fault of this kind.
    #[must_use]
    pub const fn steps(self) -> &'static [Step] {
        match self {
            Self::Request => &[
                Step::BeforeDispatch,
                Step::AfterFirstByte,
                Step::BeforeResponse,
                Step::DuringResponse,
                Step::AfterResponse,
            ],
            Self::Change => &[
                Step::BeforeSync,
                Step::AfterSync,
                Step::BeforeAcknowledgement,
                Step::DuringSpread,
            ],
            Self::Pair => &[Step::Together],
        }
    }

    const fn title(self) -> &'static str {
        match self {
            Self::Request => "Steps of a request",
            Self::Change => "Steps of a change",
            Self::Pair => "Pairs of faults",
        }
    }
}

impl Step {
    const fn name(self) -> &'static str {
        match self {
            Self::BeforeDispatch => "before dispatch",
            Self::AfterFirstByte => "after the first byte",
            Self::BeforeResponse => "before the response",
            Self::DuringResponse => "during the response",
            Self::AfterResponse => "after the response",
            Self::BeforeSync => "before sync",
            Self::AfterSync => "after sync",
            Self::BeforeAcknowledgement => "before the acknowledgement",
            Self::DuringSpread => "during the spread",
            Self::Together => "together",
        }
    }
}

impl Row {
    /// Test that proves a step, if there is one.
    #[must_use]
    pub fn test(&self, step: Step) -> Option<&'static str> {
        let known = self.covered.iter().find(|(covered, _)| *covered == step);
        known.map(|(_, test)| *test)
    }
}

/// Every row.
pub fn rows() -> impl Iterator<Item = &'static Row> {
    REQUEST_ROWS.iter().chain(CHANGE_ROWS)
}

/// Number of cells that a test proves, and of all cells.
#[must_use]
pub fn count() -> (usize, usize) {
    let cells = rows().flat_map(|row| row.kind.steps().iter().map(|step| row.test(*step)));
    let proofs: Vec<_> = cells.collect();
    (proofs.iter().flatten().count(), proofs.len())
}

/// The page.
#[must_use]
pub fn page() -> String {
    let (covered, all) = count();
    let mut page = format!(
        "# Fault matrix\n\n\
         Each cell is a fault at a step of a request or a change. Tests run real processes behind fault\n\
         proxies and check the guarantees of `design.md` from a recorded history. {covered} of {all} cells\n\
         are covered. The page is generated:\n\
         `cargo run -p radishpaddle-e2e --bin radishpaddle-fault-matrix > docs/fault-matrix.md`.\n\n\
         `cargo test -p radishpaddle-e2e -- --test-threads 2` runs the default part after\n\
         `cargo build --workspace --bins`. With `RADISHPADDLE_FULL_MATRIX=1` the slow cells run too;\n\
         without it they print \"not run\" on standard error. The moments at which a control leader is killed\n\
         are drawn from a seed, so no single step of a change is pinned.\n"
    );
    for kind in [Kind::Request, Kind::Change, Kind::Pair] {
        let _ = write!(
            page,
            "\n## {}\n\n| Fault | Step | Guarantees | Test |\n|---|---|---|---|\n",
            kind.title()
        );
        for row in rows().filter(|row| row.kind == kind) {
            for step in kind.steps() {
                write_cell(&mut page, row, *step);
            }
        }
    }
    page
}

fn write_cell(page: &mut String, row: &Row, step: Step) {
    let (fault, name, guarantees) = (row.fault, step.name(), row.guarantees);
    let _ = match row.test(step) {
        Some(test) => writeln!(page, "| {fault} | {name} | {guarantees} | `{test}` |"),
        None => writeln!(
            page,
            "| {fault} | {name} | | not covered: {} |",
            row.otherwise
        ),
    };
}
