//! Real binaries of this repository in tests: start, signal, wait for readiness, capture output.

use std::collections::BTreeSet;
use std::fs::File;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
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

/// First port for tests.
const FIRST_PORT: u16 = 12_000;

/// Ports for tests. They end below 32768, where Linux starts to take ports for outgoing connections.
const PORT_COUNT: u16 = 20_000;

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

/// A free loopback port below the ephemeral range, so that no outgoing connection of any process takes it
/// before the test binds it. The first port depends on the process id, so that test programs that run at
/// the same time rarely try the same ones.
///
/// # Errors
///
/// Returns an error when no port can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);

    let first = std::process::id() % u32::from(PORT_COUNT);
    for _ in 0..PORT_COUNT {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = (first + step) % u32::from(PORT_COUNT);
        let port = FIRST_PORT + u16::try_from(offset).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no free loopback port"))
}

/// Path of a binary of this workspace with the profile of the running program. In a test it is built
/// first, since Cargo builds the binaries of other packages only on request.
///
/// # Errors
///
/// Returns an error with the output of Cargo when the build fails, or when the binary does not exist.
pub fn workspace_binary(name: &str) -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program
        .parent()
        .context("the program lies in no directory")?;
    let is_test = directory.ends_with("deps");
    let profile_directory = match directory.parent() {
        Some(parent) if is_test => parent,
        _ => directory,
    };
    if is_test {
        build_once(name, profile_directory.ends_with("release"))?;
    }
    let path = profile_directory.join(name);
    if !path.is_file() {
        bail!("{name} is not built; run cargo build --workspace first");
    }
    Ok(path)
}

fn build_once(name: &str, release: bool) -> Result<()> {
    static BUILT: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

    let mut built = BUILT.lock().unwrap_or_else(PoisonError::into_inner);
    if built.contains(name) {
        return Ok(());
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    // With `--workspace`, dependencies have the same features as in the build of the test.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bin", name]);
    if release {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let output = command.output().context("cargo build")?;
    if !output.status.success() {
        bail!("{name}: {}", String::from_utf8_lossy(&output.stderr));
    }
    built.insert(name.to_owned());
    Ok(())
}
