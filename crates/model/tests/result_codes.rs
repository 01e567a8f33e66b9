//! Checks that the table in `docs/result-codes.md` lists exactly the result codes in the source.

use std::collections::BTreeSet;

use radishpaddle_model::{Outcome, ResultCode};

const PAGE: &str = include_str!("../../../docs/result-codes.md");

/// Number of columns in the table: number, name, HTTP status, outcome, meaning, what to do.
const COLUMNS: usize = 6;

/// Number, name, HTTP status and outcome of one code.
type Row = (u16, String, u16, String);

/// Returns the table rows of the page whose first column is a number.
fn documented_rows() -> Vec<Row> {
    PAGE.lines().filter_map(parse_row).collect()
}

fn parse_row(line: &str) -> Option<Row> {
    let cells: Vec<&str> = line
        .strip_prefix('|')?
        .strip_suffix('|')?
        .split('|')
        .map(|cell| cell.trim().trim_matches('`'))
        .collect();
    let number = cells[0].parse().ok()?;
    assert_eq!(cells.len(), COLUMNS, "{line}");
    assert!(cells.iter().all(|cell| !cell.is_empty()), "{line}");
    let status = cells[2].parse().expect("the HTTP status is a number");
    Some((number, cells[1].to_owned(), status, cells[3].to_owned()))
}

fn row_of(code: ResultCode) -> Row {
    let outcome = match code.outcome() {
        Outcome::Done => "done",
        Outcome::NotRun => "not_run",
        Outcome::OutcomeUnknown => "outcome_unknown",
    };
    let name = code.name().to_owned();
    (code.number(), name, code.http_status(), outcome.to_owned())
}

/// Guards against a code that is added or changed without an update of the page.
#[test]
fn every_code_is_documented() {
    let documented = documented_rows();

    for code in ResultCode::ALL {
        let row = row_of(*code);
        assert!(documented.contains(&row), "missing in the page: {row:?}");
    }
}

/// Guards against rows for codes that do not exist and against duplicate rows.
#[test]
fn every_documented_row_is_a_code() {
    let known: Vec<Row> = ResultCode::ALL.iter().map(|code| row_of(*code)).collect();
    let documented = documented_rows();

    for row in &documented {
        assert!(known.contains(row), "not a code: {row:?}");
    }
    assert_eq!(documented.len(), known.len());
}

/// Guards against a number or a name that is used for two codes.
#[test]
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();
    let names: BTreeSet<&str> = ResultCode::ALL.iter().map(|code| code.name()).collect();

    assert_eq!(numbers.len(), ResultCode::ALL.len());
    assert_eq!(names.len(), ResultCode::ALL.len());
}

/// Guards against an outcome on the page that differs from the one in the JSON body of a refusal.
#[test]
fn outcomes_have_the_text_form_of_the_page() {
    for code in ResultCode::ALL {
        let json = serde_json::to_string(&code.outcome()).expect("an outcome is JSON");
        assert_eq!(json.trim_matches('"'), row_of(*code).3);
    }
}
