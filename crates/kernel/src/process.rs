//! Entry point and signal handling of the long-running programs.

use std::future::Future;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::arguments::Arguments;
use crate::file_watch::FileWatch;
use crate::kernel::Kernel;
use crate::logging;
use crate::plugin::Program;
use crate::settings::{self, ProcessSettings};

/// Runs a program until SIGTERM or SIGINT, then shuts it down gracefully. A second signal exits at once.
///
/// # Errors
///
/// Fails when the arguments or settings are invalid or a plugin cannot start.
pub fn run<S: ProcessSettings>(program: Program, name: &str) -> Result<()> {
    let arguments = Arguments::parse(name, lexopt::Parser::from_env())?;
    let settings: S = settings::load(&arguments.settings)?;
    if arguments.check {
        println!("{}: settings are valid", arguments.settings.display());
        return Ok(());
    }
    let _logger = logging::start(&settings.common().log)?;
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?
        .block_on(run_until_signal(program, Arc::new(settings)))
}

/// Runs a program on a single-threaded runtime. On machines where one thread runs at a time, further
/// threads only add wake-ups.
///
/// # Errors
///
/// Fails when the runtime cannot start or the program fails.
pub fn run_single_threaded(program: impl Future<Output = Result<()>>) -> Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the async runtime")?
        .block_on(program)
}

/// Converts the result of a program to its exit code and prints an error as one line on standard error.
#[must_use]
pub fn exit_code(name: &str, result: Result<()>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{name}: {error:#}");
            ExitCode::FAILURE
        }
    }
}

async fn run_until_signal<S: ProcessSettings>(program: Program, settings: Arc<S>) -> Result<()> {
    let mut signals = ProcessSignals::listen()?;
    let kernel = Kernel::spawn(program, settings).await?;
    signals.next_stop().await;
    log::info!("kernel: stop signal received, shutting down gracefully");
    tokio::select! {
        () = kernel.stop() => Ok(()),
        () = signals.next_stop() => {
            log::warn!("kernel: second stop signal received, exiting without waiting for requests in flight");
            std::process::exit(1);
        }
    }
}

/// Handlers for the stop signals SIGTERM and SIGINT and the reload signal SIGHUP.
pub struct ProcessSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// Action that a received signal requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// Shut down (SIGTERM or SIGINT).
    Stop,
    /// Reload the settings (SIGHUP).
    Reload,
}

impl ProcessSignals {
    /// Installs the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails when the handlers cannot be installed.
    pub fn listen() -> Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next stop or reload signal.
    pub async fn next_of_any(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }

    /// Waits for the next stop or reload signal, or for a change of the settings file, which requests a reload too.
    pub async fn next_or_change(&mut self, settings_file: &mut FileWatch) -> ProcessSignal {
        tokio::select! {
            signal = self.next_of_any() => signal,
            () = settings_file.changed() => ProcessSignal::Reload,
        }
    }

    /// Waits for the next stop signal.
    pub async fn next_stop(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}
