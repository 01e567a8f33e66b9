//! Gray-failure detection, ejection, routing and retry decisions without I/O.

pub mod budget;
pub mod fair_queue;
pub mod hedge;
