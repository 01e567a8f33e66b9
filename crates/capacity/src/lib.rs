//! Slopes of the control traffic, and the capacity page computed from them.

pub mod fixture;
pub mod measure;
pub mod page;
pub mod size;
pub mod slopes;

pub use size::FleetSize;
pub use slopes::Slopes;
