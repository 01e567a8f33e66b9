//! Process control works with a binary of this workspace.

use std::net::SocketAddr;
use std::time::Duration;

use radishpaddle_testkit::process::{ProcessBuilder, TestProcess, free_address};

const TIMEOUT: Duration = Duration::from_secs(10);

fn start_backend(control: SocketAddr) -> TestProcess {
    let program = env!("CARGO_BIN_EXE_radishpaddle-sample-backend");
    let builder = ProcessBuilder::new("backend", program).unwrap();
    let arguments = ["--service", "ledger", "--name", "l-1", "--control"];
    let builder = arguments
        .into_iter()
        .fold(builder, ProcessBuilder::argument);
    builder.argument(control.to_string()).spawn().unwrap()
}

/// Guards against a termination without an orderly shutdown, and against data directories that are not
/// removed.
#[test]
fn terminate_ends_the_process_in_order_and_removes_its_directory() {
    let control = free_address().unwrap();
    let mut process = start_backend(control);
    process.wait_ready(control, "/status", TIMEOUT).unwrap();
    let line = process.wait_log("listening on", TIMEOUT).unwrap();
    let directory = process.directory().to_owned();

    process.terminate().unwrap();
    let status = process.wait_for_exit(TIMEOUT).unwrap();

    assert!(status.success(), "{status}");
    assert!(
        line.starts_with("sample-backend: listening on 127.0.0.1:"),
        "{line}"
    );
    assert!(process.terminate().is_err());
    drop(process);
    assert!(!directory.exists());
}

/// Guards against a suspended process that still responds, or does not continue after it is resumed.
#[test]
fn suspended_process_answers_after_it_continues() {
    let control = free_address().unwrap();
    let mut process = start_backend(control);
    process.wait_ready(control, "/status", TIMEOUT).unwrap();

    process.suspend().unwrap();
    let suspended = process.wait_ready(control, "/status", Duration::from_millis(300));
    process.resume().unwrap();

    assert!(suspended.is_err());
    process.wait_ready(control, "/status", TIMEOUT).unwrap();
}

/// Guards against a kill that is reported as an orderly exit.
#[test]
fn kill_is_seen_as_a_signal() {
    let control = free_address().unwrap();
    let mut process = start_backend(control);
    process.wait_ready(control, "/status", TIMEOUT).unwrap();

    let status = process.kill().unwrap();

    assert!(!status.success());
    assert!(std::net::TcpStream::connect(control).is_err());
}

/// Guards against a wait for readiness that runs into its timeout, without the cause, when the process
/// has exited.
#[test]
fn failed_start_is_reported_with_the_log() {
    let program = env!("CARGO_BIN_EXE_radishpaddle-fault-proxy");
    let builder = ProcessBuilder::new("proxy", program).unwrap();
    let mut process = builder.spawn().unwrap();

    let error = process
        .wait_ready(free_address().unwrap(), "/status", TIMEOUT)
        .unwrap_err();

    assert!(error.to_string().contains("--target is missing"), "{error}");
}
