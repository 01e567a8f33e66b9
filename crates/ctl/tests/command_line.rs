//! Checks the errors of `radishpaddlectl` for invalid command lines.

use std::process::Command;

/// Runs `radishpaddlectl` and returns whether it succeeded, with its standard error.
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

/// Guards against an incomplete command that does nothing and reports success.
#[test]
fn unknown_command_fails_with_the_usage() {
    let (success, error) = ctl(&["put"]);

    assert!(!success);
    assert!(error.contains("Usage: radishpaddlectl"), "{error}");
}

/// Guards against an error that does not tell how to set the missing control address.
#[test]
fn missing_control_address_is_named() {
    let (success, error) = ctl(&["services"]);

    assert!(!success);
    assert!(error.contains("RADISHPADDLE_CONTROL"), "{error}");
}

/// Guards against identifiers that would change the path of the HTTP request.
#[test]
fn malformed_identifier_is_refused() {
    let (success, error) = ctl(&["--control", "127.0.0.1:9", "withdraw", "a/b"]);

    assert!(!success);
    assert!(error.contains("key id"), "{error}");
}
