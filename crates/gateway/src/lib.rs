//! Gateway: takes the requests of callers and sends each to a backend server of its service. It keeps no
//! state that must survive; coordinators tell it the configuration and the backend servers.
//!
//! [`health`], [`selection`], [`quota`] and [`retry_budget`] decide without I/O; [`request`] and
//! [`attempt`] carry a request out; [`poll_task`] follows the coordinators.

pub mod answer;
pub mod attempt;
pub mod backend_connection;
pub mod callers;
pub mod crash_watch;
pub mod forward;
pub mod gateway;
pub mod health;
pub mod metrics;
pub mod poll_task;
pub mod pool;
pub mod quota;
pub mod request;
pub mod retry_budget;
pub mod selection;
pub mod server;
pub mod settings;

pub use gateway::Gateway;
pub use settings::{GatewaySettings, HeaderNames};
