//! Whole fleet embedded in one process: control, entry instances and sample backend servers on
//! loopback ports.

pub mod fleet;
pub mod layout;

pub use fleet::EmbeddedFleet;
pub use layout::FleetLayout;
