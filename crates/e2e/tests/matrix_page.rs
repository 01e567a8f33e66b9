//! The table of the fault matrix, its page and the tests agree.

use std::collections::BTreeSet;
use std::path::Path;

use radishpaddle_e2e::matrix::{page, rows};

/// `file::test` of every asynchronous test beside this file.
fn written_tests() -> BTreeSet<String> {
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
    // This file contains the text that it looks for.
    tests.retain(|test| !test.starts_with("matrix_page::"));
    tests
}

/// Guards against a page that was not generated again after a change of the table.
#[test]
fn page_is_generated_from_the_table() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/fault-matrix.md");
    let written = std::fs::read_to_string(path).unwrap();

    assert_eq!(written, page());
}

/// Guards against a cell that names a test which was renamed or removed, and a test without a cell.
#[test]
fn cells_name_the_tests_that_exist() {
    let named = rows().flat_map(|row| row.covered);
    let named: BTreeSet<String> = named.map(|(_, test)| (*test).to_owned()).collect();

    assert_eq!(named, written_tests());
}

/// Guards against a step that a fault of this kind does not have, and an open cell without a reason.
#[test]
fn every_cell_has_a_test_or_a_reason() {
    for row in rows() {
        let steps = row.kind.steps();
        let foreign = row.covered.iter().find(|(step, _)| !steps.contains(step));
        assert_eq!(foreign, None, "{}", row.fault);
        let open = steps.iter().any(|step| row.test(*step).is_none());
        assert_eq!(open, !row.otherwise.is_empty(), "{}", row.fault);
    }
}
