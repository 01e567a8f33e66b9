//! Gateway that accepts the requests of callers and forwards each to a backend server of its service. It
//! stores nothing durably and gets the configuration and the list of backend servers from coordinators.
//!
//! [`health`], [`selection`], [`quota`], [`retry_budget`] and [`crash_watch`] decide without I/O; [`request`]
//! and [`attempt`] serve a request; [`poll_task`] polls the coordinators.

mod admission_queue;
pub mod answer_check;
pub mod answer_progress;
mod answered_ids;
pub mod attempt;
pub mod attempt_record;
mod availability;
pub mod backend_connection;
pub mod caller_body;
pub mod callers;
mod classification;
mod cold;
mod crash_check;
pub mod crash_watch;
pub mod demand_reports;
pub mod forward;
pub mod gateway;
pub mod health;
mod hedging;
pub mod left_out;
pub mod metrics;
mod next_step;
mod outcomes;
pub mod path_check;
mod placement;
pub mod poll_task;
pub mod pool;
mod pool_intake;
mod pool_sampling;
mod received_details;
pub mod relay;
pub mod request;
pub mod response;
mod retirements;
pub mod selection;
pub mod server;
pub mod server_intake;
mod service_times;
pub mod settings;
pub mod zones;

pub use gateway::Gateway;
pub use radishpaddle_policy::{quota, retry_budget};
pub use settings::{GatewaySettings, HeaderNames};
