//! The fault matrix: which faults are tested at which steps of a request or a change, and by which
//! test. `docs/fault-matrix.md` is generated from this table, and `tests/matrix_page.rs` checks that the
//! two agree.

use std::fmt::Write as _;

use crate::matrix_changes::CHANGE_ROWS;
use crate::matrix_reports::{REPORT_ROWS, ReportRow};
use crate::matrix_requests::REQUEST_ROWS;

/// Selects the table of the page in which a row appears and the steps that the row has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RowKind {
    /// A fault during a request of a caller.
    Request,
    /// A fault during a configuration change of an operator.
    Change,
    /// Two faults at the same time.
    Pair,
}

/// A step of a request or a change at which a fault is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Before the request is sent to a backend server.
    BeforeDispatch,
    /// After the first byte was sent to a backend server.
    AfterFirstByte,
    /// While the backend server processes the request, before it responds.
    BeforeResponse,
    /// While the response arrives.
    DuringResponse,
    /// After the complete response.
    AfterResponse,
    /// Before the change is on the disk of a majority.
    BeforeSync,
    /// After the change is on the disk of a majority.
    AfterSync,
    /// Before the operator receives the acknowledgement.
    BeforeAcknowledgement,
    /// While the change is distributed to the entry instances.
    DuringSpread,
    /// While both faults of a pair are active.
    Together,
}

/// A fault and the tests that cover its steps.
#[derive(Debug, Clone, Copy)]
pub struct Row {
    /// Table that contains the row.
    pub kind: RowKind,
    /// Description of the fault, as shown on the page.
    pub fault: &'static str,
    /// Guarantees that the tests check, by their names on the design page.
    pub guarantees: &'static str,
    /// Covered steps, each with its test as `file::test`.
    pub covered: &'static [(Step, &'static str)],
    /// Reason why the other steps are not covered. Empty if every step is covered.
    pub uncovered_reason: &'static str,
}

impl RowKind {
    /// Returns the steps of every row of this kind.
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
    /// Returns the test that covers a step, or `None` if no test does.
    #[must_use]
    pub fn test(&self, step: Step) -> Option<&'static str> {
        let covering = self.covered.iter().find(|(covered, _)| *covered == step);
        covering.map(|(_, test)| *test)
    }
}

/// Returns the rows of all tables.
pub fn rows() -> impl Iterator<Item = &'static Row> {
    REQUEST_ROWS.iter().chain(CHANGE_ROWS)
}

/// Returns the number of cells that a test covers and the number of all cells.
#[must_use]
pub fn coverage() -> (usize, usize) {
    let cells = rows().flat_map(|row| row.kind.steps().iter().map(|step| row.test(*step)));
    let tests: Vec<_> = cells.collect();
    (tests.iter().flatten().count(), tests.len())
}

/// Renders `docs/fault-matrix.md`.
#[must_use]
pub fn render_page() -> String {
    let (covered, all) = coverage();
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
    for kind in [RowKind::Request, RowKind::Change, RowKind::Pair] {
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
    page.push_str(
        "\n## Reports of other operators\n\n| Report | Path | Where it could act | Tests, or reason |\n|---|---|---|---|\n",
    );
    for row in REPORT_ROWS {
        write_report(&mut page, row);
    }
    page
}

fn write_report(page: &mut String, row: &ReportRow) {
    let (report, path, place) = (row.report, row.path.name(), row.place);
    let mut parts: Vec<_> = row.tests.iter().map(|test| format!("`{test}`")).collect();
    if !row.reason.is_empty() {
        parts.push(row.reason.to_owned());
    }
    let _ = writeln!(
        page,
        "| {report} | {path} | {place} | {} |",
        parts.join("; ")
    );
}

fn write_cell(page: &mut String, row: &Row, step: Step) {
    let (fault, name, guarantees) = (row.fault, step.name(), row.guarantees);
    let _ = match row.test(step) {
        Some(test) => writeln!(page, "| {fault} | {name} | {guarantees} | `{test}` |"),
        None => writeln!(
            page,
            "| {fault} | {name} | | not covered: {} |",
            row.uncovered_reason
        ),
    };
}
