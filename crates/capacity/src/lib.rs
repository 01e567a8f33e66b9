//! Measures the unit costs (slopes) of the control traffic and computes the capacity page from them.

pub mod fixture;
pub mod measure;
pub mod page;
pub mod size;
pub mod slopes;

pub use size::FleetSize;
pub use slopes::Slopes;
