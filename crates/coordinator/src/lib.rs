//! Coordinator: one of the few instances with persistent storage. It keeps the configuration and the
//! retirements of backend servers in a replicated log, tracks the live backend servers and gateways,
//! answers address lookups, and distributes the configuration in force to gateways.
//!
//! [`state`] is the replicated state machine, with the orders for zones in [`zone_orders`] and the roster of
//! gateways in [`roster`]. [`soft_state`], [`table`] and [`suspects`] hold soft state in memory, which
//! announcements and polls rebuild within seconds. [`directory`] selects the gateways that callers and other
//! gateways are sent to. [`confirm`] proves that the replicated state is current, and
//! [`coordinator::Coordinator`] is the handle used by the network adapters.

pub mod confirm;
pub mod coordinator;
pub mod directory;
mod evacuation;
pub mod exchange;
pub mod limit_levels;
pub mod metrics;
mod operator_api;
pub mod peer_handler;
pub mod peer_reports;
mod polls;
pub mod roster;
pub mod sent_totals;
pub mod settings;
pub mod soft_state;
pub mod state;
pub mod suspects;
pub mod table;
pub mod zone_orders;
mod zone_reports;

pub use coordinator::{AnnounceError, Coordinator, ReadError, STOP_TIMEOUT, SubmitError};
pub use evacuation::{ZoneOrderError, ZoneStatus};
pub use settings::CoordinatorSettings;
pub use state::{CoordinatorState, StoredConfig};
