//! Coordinator: one of the few instances with a disk. It keeps the configuration and the retirements of
//! backend servers in a replicated log, knows which backend servers and gateways are there, answers
//! address lookups, and tells gateways what is in force.
//!
//! The parts are separate: [`state`] is what the log derives, [`table`] and [`board`] are soft state
//! that announcements rebuild within seconds, [`confirm`] proves that the state is current, and
//! [`coordinator::Coordinator`] is the handle that adapters call.

pub mod board;
pub mod confirm;
pub mod coordinator;
pub mod exchange;
pub mod metrics;
pub mod peer_handler;
mod polls;
pub mod settings;
pub mod state;
pub mod suspects;
pub mod table;

pub use coordinator::{AnnounceError, Coordinator, ReadError, SubmitError};
pub use settings::CoordinatorSettings;
pub use state::{CoordinatorState, StoredConfig};
