//! Witness state, claims, freshness and rate allocation without I/O.
//!
//! Every function takes the local time as a `Duration` since an arbitrary start of the process. Messages are plain data;
//! the caller sends what is returned. `docs/design.md`, sections 3 and 4, is the reference.

pub mod address;
pub mod allocation;
pub mod claim;
pub mod freshness;
pub mod group;
pub mod lease;
pub mod table;
pub mod witness;

pub use group::{Epoch, Generation, Life, WitnessGroup};
