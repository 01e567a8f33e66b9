//! Process kernel: what every long-running process of the fleet shares.
//!
//! A process is a [`Kernel`] with plug-ins. Each part of a process registers a [`Plugin`] with
//! `inventory`; the kernel starts the plug-ins of its program in their order and stops them in reverse.

pub mod admin;
pub mod arguments;
pub mod boot_clock;
pub mod context;
pub mod decision_log;
pub mod http_headers;
pub mod http_server;
pub mod incarnation;
pub mod journal;
pub mod kernel;
pub mod logging;
pub mod peer_identity;
pub mod plugin;
pub mod process;
pub mod settings;

pub use arguments::Arguments;
pub use context::Context;
pub use decision_log::{DecisionLog, Keep};
pub use http_server::{HttpApi, HttpServer};
pub use journal::{Event, Journal};
pub use kernel::Kernel;
pub use plugin::{Plugin, Program, Running};
pub use settings::{CommonSettings, ProcessSettings, SettingsError};

/// Lets plug-ins register themselves without naming the registry crate.
pub use inventory;
