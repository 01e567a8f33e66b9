//! Checks that the table of the fault matrix, the generated page and the tests of this crate agree.

use std::collections::BTreeSet;
use std::path::Path;

use radishpaddle_e2e::matrix::{render_page, rows};
use radishpaddle_e2e::matrix_reports::{REPORT_ROWS, ReportPath};

/// Returns the `file::test` names of all asynchronous tests in this directory.
fn existing_tests() -> BTreeSet<String> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests");
    let mut tests = BTreeSet::new();
    for file in std::fs::read_dir(directory).unwrap() {
        let path = file.unwrap().path();
        let module = path.file_stem().unwrap().to_string_lossy().into_owned();
        let text = std::fs::read_to_string(&path).unwrap();
        for part in text.split("#[tokio::test").skip(1) {
            let name = part.split("async fn ").nth(1).unwrap_or_default();
            let name = name.split('(').next().unwrap_or_default();
            tests.insert(format!("{module}::{name}"));
        }
    }
    // This file contains the text that it searches for.
    tests.retain(|test| !test.starts_with("matrix_page::"));
    tests
}

/// Guards against a page that was not regenerated after a change of the table.
#[test]
fn page_is_generated_from_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/fault-matrix.md");
    let written = std::fs::read_to_string(path).unwrap();

    assert_eq!(written, render_page());
}

/// Guards against a cell with a test that does not exist because it was renamed or removed, and against a
/// test without a cell.
#[test]
fn cells_name_the_tests_that_exist() {
    let named = rows().flat_map(|row| row.covered);
    let reported = REPORT_ROWS.iter().flat_map(|row| row.tests);
    let reported = reported.filter_map(|test| test.strip_prefix("crates/e2e/tests/"));
    let reported = reported.map(|test| test.replace(".rs::", "::"));
    let named = named.map(|(_, test)| (*test).to_owned());
    let named: BTreeSet<String> = named.chain(reported).collect();

    assert_eq!(named, existing_tests());
}

/// Guards against a row that covers a step which its kind does not have, and against an uncovered cell
/// without a reason.
#[test]
fn every_cell_has_a_test_or_a_reason() {
    for row in rows() {
        let steps = row.kind.steps();
        let invalid_step = row.covered.iter().find(|(step, _)| !steps.contains(step));
        assert_eq!(invalid_step, None, "{}", row.fault);
        let has_uncovered_step = steps.iter().any(|step| row.test(*step).is_none());
        assert_eq!(
            has_uncovered_step,
            !row.uncovered_reason.is_empty(),
            "{}",
            row.fault
        );
    }
}

/// Guards against a report without test and reason on one of the paths, and against a test that does not exist.
#[test]
fn every_report_has_a_test_or_a_reason_on_each_path() {
    let reports: BTreeSet<_> = REPORT_ROWS.iter().map(|row| row.report).collect();
    for report in reports {
        for path in [ReportPath::Gateway, ReportPath::Entry] {
            let mut rows = REPORT_ROWS.iter();
            let row = rows.find(|row| row.report == report && row.path == path);
            let is_covered = row.is_some_and(|row| !row.tests.is_empty() || !row.reason.is_empty());
            assert!(is_covered, "{report}: {path:?}");
        }
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for test in REPORT_ROWS.iter().flat_map(|row| row.tests) {
        let (file, name) = test.split_once("::").unwrap();
        let text = std::fs::read_to_string(root.join(file)).unwrap_or_default();
        assert!(text.contains(&format!("fn {name}(")), "{test}");
    }
}
