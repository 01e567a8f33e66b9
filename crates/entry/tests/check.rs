//! Tests of `radishpaddle-entry --check`, which validates a settings file without starting the
//! process.

use std::process::{Command, Output};

fn settings() -> serde_json::Value {
    serde_json::json!({
        "common": {
            "fleet": "test",
            "instance": "entry-1",
            "availability_zone": "zone-a",
            "admin_listen": "127.0.0.1:0"
        },
        "listen": {
            "callers": "127.0.0.1:0",
            "backend_servers": "127.0.0.1:0",
            "peers": "127.0.0.1:0"
        },
        "witnesses": [
            {"instance": "entry-1", "availability_zone": "zone-a", "peer_address": "127.0.0.1:9"}
        ],
        "backend_token": "a token of sufficient length"
    })
}

fn check(name: &str, settings: &serde_json::Value) -> Output {
    let file = std::env::temp_dir().join(format!("entry-check-{}-{name}", std::process::id()));
    std::fs::write(&file, settings.to_string()).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_radishpaddle-entry"))
        .arg("--check")
        .arg(&file)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    output
}

fn error_of(output: &Output) -> String {
    assert!(!output.status.success(), "the settings were accepted");
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// Guards against a check that rejects valid settings.
#[test]
fn valid_settings_pass() {
    let output = check("valid", &settings());

    assert!(output.status.success(), "{output:?}");
}

/// Guards against an error message that lacks the field, its value or the allowed range.
#[test]
fn field_outside_its_range_is_named() {
    let mut settings = settings();
    settings["timing"] = serde_json::json!({"poll_ms": 5_000});

    let error = error_of(&check("range", &settings));

    assert!(error.contains("entry-check-"), "{error}");
    assert!(error.contains("timing.poll_ms is \"5000\""), "{error}");
    assert!(error.contains("allowed: 10 to 1000"), "{error}");
}

/// Guards against a misspelt field that is silently ignored.
#[test]
fn unknown_field_is_an_error() {
    let mut settings = settings();
    settings["limits"] = serde_json::json!({"queue_lenght": 5});

    let error = error_of(&check("unknown", &settings));

    assert!(error.contains("limits"), "{error}");
    assert!(error.contains("queue_lenght"), "{error}");
}

/// Guards against a peer address beyond loopback without certificates, on which any process of the
/// network could pose as a member of the fleet.
#[test]
fn peers_beyond_loopback_need_certificates() {
    let mut settings = settings();
    settings["listen"]["peers"] = "10.0.0.1:7000".into();

    let error = error_of(&check("peers", &settings));

    assert!(error.contains("listen.peers"), "{error}");
    assert!(error.contains("peer_tls"), "{error}");
}

/// Guards against an error message that contains the backend token.
#[test]
fn token_is_not_shown() {
    let mut settings = settings();
    settings["backend_token"] = "short-secret".into();

    let error = error_of(&check("token", &settings));

    assert!(error.contains("backend_token"), "{error}");
    assert!(!error.contains("short-secret"), "{error}");
}
