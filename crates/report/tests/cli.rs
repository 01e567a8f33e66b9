//! Runs the binary on files and on a stub instance, and compares its output with the documented example.

use std::fs;
use std::io::{Read, Write};
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

use tempfile::TempDir;

/// Times of the three runs of the example, in milliseconds since the Unix epoch.
const RUN_TIMES_UNIX_MS: [&str; 3] = ["1800000000000", "1800003600000", "1800003900000"];

fn example_file(file: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs/examples/burn-report")
        .join(file)
}

/// Command that runs the binary in the directory with the example's documents.
fn report_command(directory: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_radishpaddle-report"));
    command
        .current_dir(directory)
        .env("RUST_LIB_BACKTRACE", "0");
    command.arg("--services").arg(example_file("services.json"));
    command
}

/// Runs the report at the three times of the example and returns the output of the last run.
fn run_example(directory: &Path, arguments: &[&str]) -> String {
    let mut output = String::new();
    for (number, time) in (1..).zip(RUN_TIMES_UNIX_MS) {
        let metrics = directory.join("metrics.txt");
        fs::copy(example_file(&format!("metrics-{number}.txt")), &metrics).unwrap();
        let mut command = report_command(directory);
        command.args([
            "--metrics",
            "metrics.txt",
            "--samples",
            "samples",
            "--at-unix-ms",
            time,
        ]);
        command
            .arg("--journal")
            .arg(example_file("journal.jsonl"))
            .args(arguments);
        output = stdout(&command.output().unwrap());
    }
    output
}

fn stdout(output: &Output) -> String {
    let error = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{error}");
    String::from_utf8(output.stdout.clone()).unwrap()
}

/// Guards against a report that differs from the documented example.
#[test]
fn text_is_the_documented_example() {
    let directory = TempDir::new().unwrap();

    let text = run_example(directory.path(), &[]);

    let golden = fs::read_to_string(example_file("report.txt")).unwrap();
    assert_eq!(text, golden);
    assert_eq!(
        fs::read_to_string(directory.path().join("samples"))
            .unwrap()
            .lines()
            .count(),
        3
    );
}

/// Guards against JSON without the computed values, and against a page that loads external resources.
#[test]
fn json_and_html_hold_the_report() {
    let directory = TempDir::new().unwrap();

    let json = run_example(directory.path(), &["--json", "--html", "page.html"]);

    let value: serde_json::Value = serde_json::from_str(&json).unwrap();
    assert_eq!(value["worst_served"]["organisation"], "small");
    assert_eq!(value["services"][0]["total"]["tally"]["late"], 20.0);
    let page = fs::read_to_string(directory.path().join("page.html")).unwrap();
    assert!(page.contains("<svg") && page.contains("burn rate") && page.ends_with("</html>\n"));
    assert!(page.find("Wrongly refused").unwrap() < page.find("Service ledger").unwrap());
    for external in ["src=", "href=", "@import", "<script"] {
        assert!(!page.contains(external), "{external}");
    }
}

/// Guards against journal text that is interpreted as HTML or as terminal escape sequences.
#[test]
fn journal_text_is_shown_and_not_interpreted() {
    let directory = TempDir::new().unwrap();
    let event =
        r#"{"at_unix_ms":1800001800000,"instance":"e","kind":"<b>\u001b[2J","detail":null}"#;
    let journal = directory.path().join("journal");
    fs::write(&journal, event).unwrap();
    let arguments = [
        "--journal",
        journal.to_str().unwrap(),
        "--html",
        "page.html",
    ];

    let text = run_example(directory.path(), &arguments);

    let page = fs::read_to_string(directory.path().join("page.html")).unwrap();
    assert!(text.contains("<b>\u{fffd}[2J") && !text.contains('\u{1b}'));
    assert!(page.contains("&lt;b&gt;") && !page.contains("<b>"));
}

/// Starts a stub that serves the metrics, the journal and, with the bearer token `secret`, the service
/// documents of the example until the test process exits. Returns its URL.
fn stub_instance() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let url = format!("http://{}", listener.local_addr().unwrap());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut buffer = [0; 2048];
            let count = stream.read(&mut buffer).unwrap();
            let request = String::from_utf8_lossy(&buffer[..count]).into_owned();
            let file = match request.split(' ').nth(1) {
                Some("/metrics") => "metrics-2.txt",
                Some("/v1/journal") => "journal.jsonl",
                Some("/v1/services") if request.contains("Bearer secret\r\n") => "services.json",
                _ => {
                    stream
                        .write_all(b"HTTP/1.1 404 x\r\ncontent-length: 0\r\n\r\n")
                        .unwrap();
                    continue;
                }
            };
            let body = fs::read_to_string(example_file(file)).unwrap();
            let head = format!(
                "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}",
                body.len()
            );
            stream
                .write_all(format!("{head}\r\n\r\n{body}").as_bytes())
                .unwrap();
        }
    });
    url
}

/// Guards against one unreachable instance that prevents the report on all others.
#[test]
fn instances_are_read_over_http_and_lost_ones_left_out() {
    let directory = TempDir::new().unwrap();
    fs::write(directory.path().join("token"), "secret\n").unwrap();
    let url = stub_instance();
    let unreachable = "http://127.0.0.1:1";
    let mut command = Command::new(env!("CARGO_BIN_EXE_radishpaddle-report"));
    command
        .current_dir(directory.path())
        .env("RUST_LIB_BACKTRACE", "0");
    command.args(["--services", &url, "--token-file", "token"]);
    command.args(["--instance", &url, "--instance", unreachable]);

    let output = command.output().unwrap();

    let text = stdout(&output);
    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(
        text.contains("instances: 1\none sample: counts since the start"),
        "{text}"
    );
    assert!(
        text.contains("small at ledger: 5, 1.00 % of its requests"),
        "{text}"
    );
    assert!(
        error.contains("report: instance left out: http://127.0.0.1:1/metrics"),
        "{error}"
    );
}

/// Guards against an empty report when no metrics could be read.
#[test]
fn missing_sources_are_errors() {
    let directory = TempDir::new().unwrap();

    let no_source = report_command(directory.path()).output().unwrap();
    let mut unreachable = report_command(directory.path());
    let unreachable = unreachable
        .args(["--instance", "http://127.0.0.1:1"])
        .output()
        .unwrap();

    for (output, message) in [
        (no_source, "no metrics"),
        (unreachable, "no instance answered"),
    ] {
        assert!(!output.status.success());
        let error = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(error.contains(message), "{error}");
    }
}
