//! Process kernel: lifecycle, settings, logs, metrics and HTTP servers that all long-running processes
//! of the fleet share.
//!
//! A process consists of a [`Kernel`] and plugins. Each plugin registers a [`Plugin`] with `inventory`;
//! the kernel starts the plugins of its program in ascending order and stops them in reverse.

pub mod admin;
pub mod ambiguity;
pub mod arguments;
pub mod boot_clock;
pub mod caller_stream;
pub mod context;
pub mod decision_log;
pub mod file_watch;
pub mod head_limit;
pub mod http_errors;
pub mod http_headers;
pub mod http_server;
pub mod incarnation;
pub mod journal;
pub mod kernel;
pub mod logging;
pub mod peer_identity;
pub mod planned_stop;
pub mod plugin;
pub mod process;
pub mod processor_time;
pub mod settings;

pub use arguments::Arguments;
pub use context::Context;
pub use decision_log::{DecisionLog, LogSampling};
pub use file_watch::FileWatch;
pub use head_limit::HeadLimit;
pub use http_server::{HttpApi, HttpServer};
pub use journal::{Event, Journal};
pub use kernel::Kernel;
pub use planned_stop::PlannedStop;
pub use plugin::{Plugin, PluginHandle, Program};
pub use settings::{CommonSettings, ProcessSettings, SettingsError};

/// Re-exported so that plugins can register themselves without a dependency on `inventory`.
pub use inventory;
