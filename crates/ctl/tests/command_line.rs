//! Errors of the operator command line.

use std::process::Command;

fn ctl(arguments: &[&str]) -> (bool, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_radishpaddlectl"))
        .env_remove("RADISHPADDLE_CONTROL")
        .env("RUST_BACKTRACE", "0")
        .args(arguments)
        .output()
        .unwrap();
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    (output.status.success(), error)
}

/// Guards against a command that does nothing and succeeds.
#[test]
fn unknown_command_fails_with_the_usage() {
    let (success, error) = ctl(&["put"]);

    assert!(!success);
    assert!(error.contains("Usage: radishpaddlectl"), "{error}");
}

/// Guards against a call to nowhere.
#[test]
fn missing_control_address_is_named() {
    let (success, error) = ctl(&["services"]);

    assert!(!success);
    assert!(error.contains("RADISHPADDLE_CONTROL"), "{error}");
}

/// Guards against identifiers that would change the path of a request.
#[test]
fn malformed_identifier_is_refused() {
    let (success, error) = ctl(&["--control", "127.0.0.1:9", "withdraw", "a/b"]);

    assert!(!success);
    assert!(error.contains("key id"), "{error}");
}
