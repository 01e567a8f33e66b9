//! Entry proxy of the fleet. It forwards requests of callers to backend servers, accepts the
//! announcements of backend servers, and runs a witness if the settings list the instance as one.

pub mod addresses;
pub mod admission_task;
pub mod attempts;
pub mod backend_connection;
pub mod backend_info;
pub mod backend_listener;
pub mod caller_listener;
pub mod caller_response;
pub mod claims;
pub mod clock;
pub mod config_store;
pub mod fleet_view;
pub mod forward;
pub mod idle_connections;
pub mod leader_state;
pub mod metrics;
pub mod peer_handler;
mod plugins;
pub mod poison_task;
pub mod poll_task;
pub mod refusal_log;
pub mod request_handler;

pub mod server_intake;
pub mod service_handle;
pub mod service_task;
pub mod services;
pub mod settings;
mod status;
pub mod sync_message;
pub mod sync_task;
pub mod witness_client;
pub mod witness_task;

pub use settings::EntrySettings;
