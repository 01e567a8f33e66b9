//! Main function of the long-running programs.

use std::future::Future;
use std::process::ExitCode;
use std::sync::Arc;

use anyhow::{Context as _, Result};
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::arguments::Arguments;
use crate::kernel::Kernel;
use crate::logging;
use crate::plugin::Program;
use crate::settings::{self, ProcessSettings};

/// Runs a program until SIGTERM or SIGINT. A second signal forces the stop.
///
/// # Errors
///
/// Fails when arguments or settings cannot be used or a part cannot start.
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
        .context("starting the runtime")?
        .block_on(run_until_signal(program, Arc::new(settings)))
}

/// Runs a program on one thread: on machines where one thread runs at a time, further ones only cost
/// wake-ups.
///
/// # Errors
///
/// Fails when the runtime cannot start or the program fails.
pub fn run_single_threaded(program: impl Future<Output = Result<()>>) -> Result<()> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("starting the runtime")?
        .block_on(program)
}

/// Exit code of a program; an error is printed as one line.
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
    let mut signals = StopSignals::listen()?;
    let kernel = Kernel::spawn(program, settings).await?;
    signals.next().await;
    log::info!("kernel: planned stop begins");
    tokio::select! {
        () = kernel.stop() => Ok(()),
        () = signals.next() => {
            log::warn!("kernel: second signal, stopping at once");
            std::process::exit(1);
        }
    }
}

/// SIGTERM and SIGINT, and SIGHUP apart from them.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
    hangup: Signal,
}

/// What the operating system asks of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProcessSignal {
    /// End.
    Stop,
    /// Read the settings again.
    Reload,
}

impl StopSignals {
    /// Starts to listen.
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

    /// Waits for the next signal of any kind.
    pub async fn next_of_any(&mut self) -> ProcessSignal {
        tokio::select! {
            _ = self.terminate.recv() => ProcessSignal::Stop,
            _ = self.interrupt.recv() => ProcessSignal::Stop,
            _ = self.hangup.recv() => ProcessSignal::Reload,
        }
    }

    /// Waits for the next signal to stop.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => (),
            _ = self.interrupt.recv() => (),
        }
    }
}
