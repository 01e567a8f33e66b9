//! Checks that a failed request is explained from its id alone.

use std::path::PathBuf;

use radishpaddle_ctl::trace::explain;

const LINES: &str = r#"
  27.1 front-1 {"at_unix_ms":97100,"instance":"front-1","event":"coordinator_lost","coordinator":"10.1.0.8:7660","reason":"peer did not answer in time","proof_age_ms":"640"}
{"at_unix_ms":99500,"instance":"front-2","event":"request","request_id":"b2","outcome":"outcome_unknown","elapsed_ms":1,"deadline_ms":2000,"attempts":[{"server":"i-7f","result":"connection_lost","elapsed_ms":1,"failure_probability":0.02,"in_flight":1,"reused":false}]}
{"at_unix_ms":100000,"instance":"front-1","event":"request","request_id":"a1","route":"holds","service":"avail","organisation":"estate","outcome":"outcome_unknown","elapsed_ms":2,"deadline_ms":2000,"config_version":7,"proof_age_ms":120,"attempts":[{"server":"i-7f","result":"connection_lost","elapsed_ms":1,"failure_probability":0.4,"in_flight":0,"reused":true}]}
not a line of the log
{"at_unix_ms":100100,"instance":"front-1","event":"request","request_id":"c3","route":"holds","service":"avail","organisation":"estate","outcome":"over_quota","elapsed_ms":0,"deadline_ms":2000,"config_version":7,"proof_age_ms":90,"attempts":[]}
{"at_unix_ms":100052,"instance":"front-1","event":"request_crash","request_id":"a1","backend_server":"i-7f","fingerprint":"07ab"}
{"at_unix_ms":100500,"instance":"front-1","event":"request","request_id":"d4","outcome":"crashes_backend_servers","elapsed_ms":0,"deadline_ms":2000,"attempts":[]}
{"at_unix_ms":100600,"instance":"front-1","event":"request","request_id":"e5","outcome":"something_new","elapsed_ms":0,"deadline_ms":2000,"attempts":[]}
"#;

fn collected() -> (tempfile::TempDir, Vec<PathBuf>) {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("gateways.log");
    std::fs::write(&file, LINES).unwrap();
    (directory, vec![file])
}

/// Guards against an explanation that lacks a fact needed to find the cause of a lost action: its outcome, the
/// backend server, the results of other requests there, or the state changes at the gateway before it.
#[test]
fn a_lost_action_is_traced_to_its_server() {
    let (_directory, files) = collected();

    let text = explain("a1", &files).unwrap();

    assert!(text.contains("may have run"), "{text}");
    assert!(text.contains("i-7f"), "{text}");
    assert!(text.contains("1 others there"), "{text}");
    assert!(text.contains("coordinator_lost"), "{text}");
    assert!(!text.contains("over_quota"), "{text}");
}

/// Guards against a refusal over quota whose explanation leaves open whether the request was executed.
#[test]
fn a_refusal_says_that_it_has_not_run() {
    let (_directory, files) = collected();

    let text = explain("c3", &files).unwrap();

    assert!(
        text.contains("not run: the organisation was over its limit"),
        "{text}"
    );
}

/// Guards against a crash of a backend server that is not attributed to the request in flight, and against a later
/// refusal of a request with the same content whose explanation does not show that crash.
#[test]
fn a_crash_is_shown_with_its_request() {
    let (_directory, files) = collected();

    let lost = explain("a1", &files).unwrap();
    let refused = explain("d4", &files).unwrap();

    assert_eq!(lost.matches("request \"a1\"").count(), 1, "{lost}");
    assert!(lost.contains("it ended with this request"), "{lost}");
    assert!(refused.contains("not run: backend servers"), "{refused}");
    assert!(refused.contains("request_crash"), "{refused}");
}

/// Guards against "not run" for an outcome that only a newer version knows: such a request may have been executed.
#[test]
fn an_unknown_outcome_claims_nothing() {
    let (_directory, files) = collected();

    let text = explain("e5", &files).unwrap();

    assert!(!text.contains("not run"), "{text}");
}

/// Guards against an empty explanation, without an error, for an id or a file that does not exist.
#[test]
fn an_unknown_id_is_an_error() {
    let (_directory, files) = collected();

    assert!(explain("zz", &files).is_err());
    assert!(explain("a1", &[PathBuf::from("missing.log")]).is_err());
}
