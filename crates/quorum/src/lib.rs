//! Witness state, at-most-once claims, configuration freshness and rate allocation, without I/O.
//!
//! Every function takes the local time as a `Duration` since an arbitrary point that is fixed for the process. Messages
//! are plain data: functions return them, and the caller sends them. `docs/design.md`, sections 3 and 4, is the
//! reference.

pub mod address;
pub mod allocation;
pub mod claim;
pub mod freshness;
pub mod group;
pub mod lease;
pub mod table;
pub mod witness;

pub use group::{Epoch, Generation, InstanceIncarnation, WitnessGroup};
