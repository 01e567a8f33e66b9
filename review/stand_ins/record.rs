//! Record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// File to which all threads write lines.
pub struct Record {
    started_at: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            started_at: Instant::now(),
            file: Mutex::new(BufWriter::new(file)),
        }
    }

    /// Time since the start of the run.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Writes a line with the present time, which it returns.
    pub fn line(&self, text: &str) -> Duration {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", now.as_secs_f64());
        now
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        let now = self.line(text);
        println!("{:9.3} {text}", now.as_secs_f64());
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
