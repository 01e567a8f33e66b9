//! Runs binaries of this workspace as child processes in tests: starts and signals them, waits for
//! readiness and captures their output.

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
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};
use tempfile::TempDir;

/// Interval at which a process and its log are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Timeout of a single readiness request.
const READINESS_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

/// Bytes from the end of the log that an error message includes.
const LOG_TAIL_BYTES: usize = 4_096;

/// Lowest port that [`free_address`] tries.
const FIRST_TEST_PORT: u16 = 12_000;

/// Number of ports that [`free_address`] tries. The range ends below 32768, the start of the default
/// ephemeral port range of Linux.
const TEST_PORT_COUNT: u16 = 20_000;

/// Handle of a child process. Dropping it kills the process and removes its data directory.
#[derive(Debug)]
pub struct TestProcess {
    name: String,
    child: Child,
    directory: TempDir,
    /// Whether the process has been waited for, after which its process id may be reused.
    /// then.
    reaped: bool,
}

/// Program, arguments and data directory of a process to start.
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

    /// Returns the data directory, which exists until the builder or the [`TestProcess`] is dropped.
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

    /// Starts the process in its data directory; standard output and standard error go to `process.log`.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or its log cannot be opened.
    pub fn spawn(self) -> Result<TestProcess> {
        let child = spawn_child(&self.program, &self.arguments, self.directory.path())?;
        Ok(TestProcess {
            name: self.name,
            child,
            directory: self.directory,
            reaped: false,
        })
    }
}

/// Starts `program` with its output appended to `process.log`, so that the log spans restarts.
fn spawn_child(program: &Path, arguments: &[String], directory: &Path) -> Result<Child> {
    let log = File::options()
        .create(true)
        .append(true)
        .open(directory.join("process.log"))?;
    Command::new(program)
        .args(arguments)
        .current_dir(directory)
        // A backtrace would push the error message itself out of the log tail that failures show.
        .env("RUST_LIB_BACKTRACE", "0")
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
        .with_context(|| format!("start {}", program.display()))
}

impl TestProcess {
    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the data directory.
    #[must_use]
    pub fn directory(&self) -> &Path {
        self.directory.path()
    }

    /// Returns the standard output and standard error written so far, interleaved.
    ///
    /// # Errors
    ///
    /// Returns an error when the log cannot be read.
    pub fn log(&self) -> io::Result<String> {
        let mut text = Vec::new();
        File::open(self.directory().join("process.log"))?.read_to_end(&mut text)?;
        Ok(String::from_utf8_lossy(&text).into_owned())
    }

    /// Sends SIGTERM, which asks the process for an orderly shutdown.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has been waited for already.
    pub fn terminate(&self) -> Result<()> {
        self.signal(Signal::TERM)
    }

    /// Sends SIGSTOP: the process stops running and its sockets stay open.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has been waited for already.
    pub fn suspend(&self) -> Result<()> {
        self.signal(Signal::STOP)?;
        // The threads stop some time after the signal was sent, and go on answering until then.
        let options = WaitIdOptions::STOPPED | WaitIdOptions::NOWAIT;
        waitid(WaitId::Pid(self.pid()?), options)?;
        Ok(())
    }

    /// Sends SIGCONT to a suspended process.
    ///
    /// # Errors
    ///
    /// Returns an error when the process has been waited for already.
    pub fn resume(&self) -> Result<()> {
        self.signal(Signal::CONT)
    }

    /// Sends SIGKILL and waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be waited for.
    pub fn kill(&mut self) -> io::Result<ExitStatus> {
        self.child.kill()?;
        let status = self.child.wait()?;
        self.reaped = true;
        Ok(status)
    }

    /// Starts `program` with `arguments` in the same data directory, after the process has exited.
    ///
    /// # Errors
    ///
    /// Returns an error while the process is still running, or when the program cannot be started.
    pub fn restart(&mut self, program: &Path, arguments: &[String]) -> Result<()> {
        if self.try_wait()?.is_none() {
            bail!("{} is still running", self.name);
        }
        self.child = spawn_child(program, arguments, self.directory.path())?;
        self.reaped = false;
        Ok(())
    }

    /// Returns the exit status, or `None` while the process is running.
    ///
    /// # Errors
    ///
    /// Returns an error when the process cannot be waited for.
    pub fn try_wait(&mut self) -> io::Result<Option<ExitStatus>> {
        let status = self.child.try_wait()?;
        self.reaped |= status.is_some();
        Ok(status)
    }

    /// Waits for the process to exit.
    ///
    /// # Errors
    ///
    /// Returns an error with the log tail when the process does not exit within `timeout`.
    pub fn wait_for_exit(&mut self, timeout: Duration) -> Result<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.try_wait()? {
                return Ok(status);
            }
            if Instant::now() >= deadline {
                bail!(
                    "{} did not exit within {timeout:?}; {}",
                    self.name,
                    self.log_tail()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a GET request to `path` at `address` succeeds.
    ///
    /// # Errors
    ///
    /// Returns an error with the log tail when the process exits first or `timeout` passes.
    pub fn wait_ready(&mut self, address: SocketAddr, path: &str, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        let url = format!("http://{address}{path}");
        let agent = agent();
        loop {
            if agent.get(&url).call().is_ok() {
                return Ok(());
            }
            if let Some(status) = self.try_wait()? {
                bail!("{} exited with {status}; {}", self.name, self.log_tail());
            }
            if Instant::now() >= deadline {
                bail!(
                    "{} was not ready within {timeout:?}; {}",
                    self.name,
                    self.log_tail()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits until a complete line of the log contains `text` and returns the first such line.
    ///
    /// # Errors
    ///
    /// Returns an error with the log tail when `timeout` passes first.
    pub fn wait_log(&self, text: &str, timeout: Duration) -> Result<String> {
        let deadline = Instant::now() + timeout;
        loop {
            let log = self.log()?;
            let complete = log.rfind('\n').map_or("", |position| &log[..position]);
            if let Some(line) = complete.lines().find(|line| line.contains(text)) {
                return Ok(line.to_owned());
            }
            if Instant::now() >= deadline {
                bail!(
                    "{} did not log {text:?} within {timeout:?}; {}",
                    self.name,
                    self.log_tail()
                );
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    fn signal(&self, signal: Signal) -> Result<()> {
        if self.reaped {
            bail!("{} has already exited", self.name);
        }
        Ok(kill_process(self.pid()?, signal)?)
    }

    fn pid(&self) -> Result<Pid> {
        let id = i32::try_from(self.child.id())?;
        Pid::from_raw(id).context("the process id is not positive")
    }

    fn log_tail(&self) -> String {
        let log = self.log().unwrap_or_default();
        let mut tail_start = log.len().saturating_sub(LOG_TAIL_BYTES);
        while !log.is_char_boundary(tail_start) {
            tail_start += 1;
        }
        format!("log tail:\n{}", &log[tail_start..])
    }
}

impl Drop for TestProcess {
    fn drop(&mut self) {
        if !self.reaped {
            // Fails when the process has ended on its own or cannot be waited for; `drop` cannot report it.
            // report that.
            let _ = self.kill();
        }
    }
}

fn agent() -> ureq::Agent {
    let config = ureq::Agent::config_builder();
    config
        .timeout_global(Some(READINESS_REQUEST_TIMEOUT))
        .build()
        .into()
}

/// Returns a loopback address with a free port below the ephemeral range, so that no outgoing connection
/// takes the port before the test binds it. The search starts at a port derived from the process id, so
/// that test programs that run at the same time rarely try the same ports.
///
/// # Errors
///
/// Returns an error when no port can be bound.
pub fn free_address() -> io::Result<SocketAddr> {
    static NEXT_OFFSET: AtomicU16 = AtomicU16::new(0);

    let first_offset = std::process::id() % u32::from(TEST_PORT_COUNT);
    for _ in 0..TEST_PORT_COUNT {
        let step = u32::from(NEXT_OFFSET.fetch_add(1, Ordering::Relaxed));
        let offset = (first_offset + step) % u32::from(TEST_PORT_COUNT);
        let port = FIRST_TEST_PORT + u16::try_from(offset).unwrap_or(0);
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr();
        }
    }
    Err(io::Error::other("no free loopback port"))
}

/// Returns the path of a workspace binary of the same build profile as the running program. In a test,
/// the binary is built first, since `cargo test` does not build the binaries of other packages.
///
/// # Errors
///
/// Returns an error with Cargo's standard error when the build fails, or an error when the binary does
/// not exist.
pub fn workspace_binary(name: &str) -> Result<PathBuf> {
    let program = std::env::current_exe()?;
    let directory = program
        .parent()
        .context("the path of the running program has no parent directory")?;
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

/// Builds a workspace binary unless this process has built it before.
fn build_once(name: &str, release: bool) -> Result<()> {
    static BUILT: Mutex<BTreeSet<String>> = Mutex::new(BTreeSet::new());

    let mut built = BUILT.lock().unwrap_or_else(PoisonError::into_inner);
    if built.contains(name) {
        return Ok(());
    }
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let mut command = Command::new(cargo);
    // With `--workspace`, Cargo unifies the features of dependencies as in the build of the test.
    command.args(["build", "--quiet", "--locked", "--workspace", "--bin", name]);
    if release {
        command.arg("--release");
    }
    command.current_dir(env!("CARGO_MANIFEST_DIR"));
    let output = command.output().context("run cargo build")?;
    if !output.status.success() {
        bail!(
            "building {name} failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
    }
    built.insert(name.to_owned());
    Ok(())
}
