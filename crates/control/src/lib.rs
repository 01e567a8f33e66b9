//! Control process of the fleet: keeps the service documents and API keys in a replicated log, serves the
//! operator API, and distributes the configuration to the witnesses.

pub mod command;
pub mod control_state;
pub mod diff;
pub mod distribution;
pub mod maintenance;
pub mod metrics;
pub mod operator_api;
pub mod peer_handler;
mod plugins;
pub mod replica;
pub mod settings;

pub use settings::ControlSettings;
