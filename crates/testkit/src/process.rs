//! Real binaries of this repository in tests: start, signal, wait for readiness, capture output.

use std::fs::File;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use rustix::process::{Pid, Signal, kill_process};
use tempfile::TempDir;

/// Pause between two looks at a process.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Longest time for one readiness request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes of the log that an error message shows.
const LOG_TAIL_BYTES: usize = 4_096;

/// Ports that are tried before a test gives up.
const PORT_ATTEMPTS: usize = 1_000;

/// First port that is handed out.
const FIRST_PORT: u16 = 10_000;

/// Number of ports that are handed out; Linux gives ports from 32768 on to outgoing connections.
const PORTS: u16 = 22_000;

/// Ports between the first ones of two processes with neighbouring ids.
const PORTS_PER_PROCESS: u32 = 397;

/// A process that a test started. Dropping it kills the process and removes its data directory.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    directory: TempDir,
    stopped: bool,
}

/// How to start a process.
#[derive(Debug)]
pub struct ProcessBuilder {
    name: String,
    program: PathBuf,
    arguments: Vec<String>,
    directory: TempDir,
}

impl ProcessBuilder {
    /// Prepares a process with a new temporary data directory.
    ///
    /// # Errors
    ///
    /// Returns an error when the directory cannot be created.
    pub fn new(name: impl Into<String>, program: impl Into<PathBuf>) -> Result<Self> {
        Ok(Self {
            name: name.into(),
            program: program.into(),
            arguments: Vec::new(),
            directory: TempDir::with_prefix("radishpaddle-")?,
        })
    }

    /// Data directory, which exists until the process handle is dropped.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Writes a file, for example settings, into the data directory and returns its path.
    ///
    /// # Errors
    ///
    /// Returns an error when the file cannot be written.
    pub fn write(&self, file: &str, content: &str) -> Result<PathBuf> {
        let path = self.directory().join(file);
        std::fs::write(&path, content).with_context(|| path.display().to_string())?;
        Ok(path)
    }

    /// Adds a command line argument.
    #[must_use]
    pub fn argument(mut self, argument: impl Into<String>) -> Self {
        self.arguments.push(argument.into());
        self
    }

    /// Starts the process with its output in a log file.
    ///
    /// # Errors
    ///
    /// Returns an error when the program or its log cannot be opened.
    pub fn spawn(self) -> Result<TestProcess> {
        let child = start(&self.program, &self.arguments, self.directory.path())?;
        Ok(TestProcess {
            name: self.name,
            child,
            directory: self.directory,
            stopped: false,
        })
    }
}

fn start(program: &Path, arguments: &[String], directory: &Path) -> Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(directory.join("process.log"))?;
    Command::new(program)
        .args(arguments)
        .current_dir(directory)
        // Backtraces of ordinary errors would push the error itself out of the end of the log.
        .env("RUST_LIB_BACKTRACE", "0")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .with_context(|| format!("start {}", program.display()))
}

impl TestProcess {
    /// Process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Data directory.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Output so far, standard output and standard error together.
    ///
    /// # Errors
    ///
    /// Returns an error when the log cannot be read.
    pub fn log(&self) -> io::Result<String> {
        let mut text = Vec::new();
        File::open(self.directory().join("process.log"))?.read_to_end(&mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Asks the process to stop (SIGTERM).
    ///
    /// # Errors
    ///
    /// Returns an error when the process has been waited for already.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Suspends the process (SIGSTOP), which keeps its sockets open.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has been waited for already.
    pub fn suspend(&self) -> Result<()> {
        self.signal(Signal::STOP)
    }

    /// Continues a suspended process (SIGCONT).
    ///
    /// # Errors
    ///
    /// Returns an error when the process has been waited for already.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Kills the process (SIGKILL) and waits for its end.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        let status = self.child.wait()?;
        self.stopped = true;
        Ok(status)
    }

    /// Starts the program again with other arguments and the same data directory, after its end.
    ///
    /// # Errors
    ///
    /// Returns an error while the process runs, or when it cannot be started.
    pub fn restart(&mut self, program: &Path, arguments: &[String]) -> Result<()> {
        if self.try_wait()?.is_none() {
            bail!("{} is still running", self.name);
        }
        self.child = start(program, arguments, self.directory.path())?;
        self.stopped = false;
        Ok(())
    }

    /// Exit status, if the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be waited for.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        self.stopped |= status.is_some();
        Ok(status)
    }

    /// Waits for the end of the process.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when the process runs longer than `limit`.
    pub fn wait(&mut self, limit: Duration) -> Result<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= end {
                bail!(
                    "{} still runs after {limit:?}; {}",
                    self.name,
                    self.log_tail()
                );
            }
            std::thread::sleep(POLL_PAUSE);
        }
    }

    /// Waits until `http://address/path` answers with status 200.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when the process ends or `limit` passes first.
    pub fn wait_ready(&mut self, address: SocketAddr, path: &str, limit: Duration) -> Result<()> {
        let end = Instant::now() + limit;
        let url = format!("http://{address}{path}");
        let agent = agent();
        loop {
            if agent.get(&url).call().is_ok() {
                return Ok(());
            }
            if let Some(status) = self.try_wait()? {
                bail!("{} ended with {status}; {}", self.name, self.log_tail());
            }
            if Instant::now() >= end {
                bail!(
                    "{} not ready after {limit:?}; {}",
                    self.name,
                    self.log_tail()
                );
            }
            std::thread::sleep(POLL_PAUSE);
        }
    }

    /// Waits until the log contains the text and returns the line with its first occurrence.
    ///
    /// # Errors
    ///
    /// Returns an error with the end of the log when `limit` passes first.
    pub fn wait_log(&self, text: &str, limit: Duration) -> Result<String> {
        let end = Instant::now() + limit;
        loop {
            let log = self.log()?;
            let complete = log.rfind('\n').map_or("", |position| &log[..position]);
            if let Some(line) = complete.lines().find(|line| line.contains(text)) {
                return Ok(line.to_owned());
            }
            if Instant::now() >= end {
                bail!("{} has not logged {text:?}; {}", self.name, self.log_tail());
            }
            std::thread::sleep(POLL_PAUSE);
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        if self.stopped {
            bail!("{} has ended", self.name);
        }
        let id = i32::try_from(self.child.id())?;
        let pid = Pid::from_raw(id).context("the process id is not positive")?;
        Ok(kill_process(pid, signal)?)
    }

    fn log_tail(&self) -> String {
        let log = self.log().unwrap_or_default();
        let mut start = log.len().saturating_sub(LOG_TAIL_BYTES);
        while !log.is_char_boundary(start) {
            start += 1;
        }
        format!("end of its log:\n{}", &log[start..])
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        if !self.stopped {
            // The process may have ended on its own; there is nothing left to do then.
            let _ = self.kill();
        }
    }
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder();
    config.timeout_global(Some(REQUEST_TIMEOUT)).build().into()
}

/// A free loopback port that this process has not handed out before. It lies below the ports that the
/// system gives to outgoing connections, one of which could otherwise take it before it is bound again.
/// Another process that calls this function may still take it.
///
/// # Errors
///
/// Returns an error when no port can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: Mutex<Option<u32>> = Mutex::new(None);

    let mut next = NEXT.lock().unwrap_or_else(PoisonError::into_inner);
    for _ in 0..PORT_ATTEMPTS {
        // Processes start at different places, so that two test binaries rarely try the same port.
        let offset = next.unwrap_or_else(|| std::process::id().wrapping_mul(PORTS_PER_PROCESS));
        *next = Some(offset.wrapping_add(1));
        let port = FIRST_PORT + u16::try_from(offset % u32::from(PORTS)).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no free loopback port"))
}

/// Path of a binary of this workspace, found beside the running test binary.
///
/// # Errors
///
/// Returns an error when the binary has not been built.
pub fn workspace_binary(name: &str) -> Result<PathBuf> {
    let test = std::env::current_exe()?;
    let directories = test.ancestors().skip(1).take(2);
    let mut candidates = directories.map(|directory| directory.join(name));
    candidates
        .find(|path| path.is_file())
        .with_context(|| format!("{name} is not built; run cargo build --workspace first"))
}
