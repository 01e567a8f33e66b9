//! Maintenance commands of `radishpaddle-control`: found, export and restore.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

struct ScratchDirectory(PathBuf);

impl ScratchDirectory {
    fn new(name: &str) -> Self {
        let name = format!("control-maintenance-{}-{name}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        Self(directory)
    }

    fn settings(&self, data: &str) -> PathBuf {
        let settings = serde_json::json!({
            "common": {
                "fleet": "test",
                "instance": "control-1",
                "availability_zone": "zone-a",
                "admin_listen": "127.0.0.1:0"
            },
            "operator_listen": "127.0.0.1:0",
            "peer_listen": "127.0.0.1:0",
            "data_directory": self.0.join(data),
            "controls": [],
            "witnesses": [{"instance": "entry-1", "peer_address": "127.0.0.1:9"}],
            "operators": []
        });
        let file = self.0.join(format!("{data}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        file
    }
}

impl Drop for ScratchDirectory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn run_control(arguments: &[&Path]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_radishpaddle-control"))
        .args(arguments)
        .output()
        .unwrap()
}

fn path(text: &str) -> &Path {
    Path::new(text)
}

/// Guards against losing the state of a fleet by founding a group in a data directory that already holds one.
#[test]
fn a_directory_is_founded_once() {
    let directory = ScratchDirectory::new("found");
    let settings = directory.settings("data");

    let first = run_control(&[path("--found"), &settings]);
    let second = run_control(&[path("--found"), &settings]);

    assert!(first.status.success(), "{first:?}");
    assert!(!second.status.success(), "{second:?}");
}

/// Guards against a restore that reuses a revision which instances of the fleet have already applied.
#[test]
fn restore_continues_above_the_given_revision() {
    let directory = ScratchDirectory::new("restore");
    let settings = directory.settings("data");
    let restored = directory.settings("restored");
    let file = directory.0.join("export");
    assert!(run_control(&[path("--found"), &settings]).status.success());
    let exported = run_control(&[path("--export"), &file, &settings]);
    assert!(exported.status.success(), "{exported:?}");

    let output = run_control(&[
        path("--restore"),
        &file,
        path("--above"),
        path("41"),
        &restored,
    ]);

    let printed = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{output:?}");
    assert!(printed.contains("revision 42"), "{printed}");
}

/// Guards against restoring from a file that is not a valid export.
#[test]
fn damaged_export_is_refused() {
    let directory = ScratchDirectory::new("damaged");
    let settings = directory.settings("data");
    let file = directory.0.join("export");
    std::fs::write(&file, b"not an export").unwrap();

    let output = run_control(&[
        path("--restore"),
        &file,
        path("--above"),
        path("1"),
        &settings,
    ]);

    let error = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(!output.status.success());
    assert!(error.contains("export"), "{error}");
}
