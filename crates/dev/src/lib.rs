//! Development fleet embedded in one process: a control instance, entry instances and sample backend
//! servers on loopback ports.

pub mod fleet;
pub mod layout;

pub use fleet::EmbeddedFleet;
pub use layout::FleetLayout;
