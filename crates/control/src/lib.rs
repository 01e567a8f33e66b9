//! Control process of the fleet: keeps documents and keys in a replicated log, serves operators and
//! spreads the configuration to the witnesses.

pub mod command;
pub mod control_state;
pub mod diff;
pub mod distribution;
pub mod maintenance;
pub mod metrics;
pub mod operator_api;
mod parts;
pub mod peer_handler;
pub mod replica;
pub mod settings;

pub use settings::ControlSettings;
