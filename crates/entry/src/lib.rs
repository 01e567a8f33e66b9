//! Entry proxy of the fleet: serves callers, takes announcements of backend servers, and may be a
//! witness.

pub mod addresses;
pub mod admission_task;
pub mod answer;
pub mod attempts;
pub mod backend_connection;
pub mod backend_info;
pub mod backend_listener;
pub mod caller_listener;
pub mod claims;
pub mod clock;
pub mod config_store;
pub mod fleet_view;
pub mod forward;
pub mod leader_state;
pub mod metrics;
mod parts;
pub mod peer_handler;
pub mod poison_task;
pub mod poll_task;
pub mod refusal_log;
pub mod request;
pub mod service_handle;
pub mod service_task;
pub mod services;
pub mod settings;
mod status;
pub mod sync_message;
pub mod sync_task;
pub mod witness_port;
pub mod witness_task;

pub use settings::EntrySettings;
