//! Runs one case of the review with the project's own programs and stand-ins for everything around them.

mod case_poison;
mod case_quota;
mod case_retired;
mod case_split;
mod client;
mod common;
mod fleet;
mod http;
mod record;
mod worker;

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(String),
}

impl Verdict {
    pub const fn of(held: bool) -> Self {
        if held { Self::Held } else { Self::Broken }
    }
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::create(&PathBuf::from(folder).join("record.txt")));
    let verdict = match case.as_str() {
        "quota" => case_quota::run(&record, trouble),
        "poison" => case_poison::run(&record, trouble),
        "split" => case_split::run(&record, trouble),
        "retired" => case_retired::run(&record, trouble),
        _ => Err("no such case".to_owned()),
    };
    let verdict = verdict.unwrap_or_else(Verdict::CannotRun);
    let code = match verdict {
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::CannotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            2
        }
    };
    record.flush();
    ExitCode::from(code)
}
