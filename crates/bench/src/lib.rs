//! Discrete-event emulator that runs the decision code of the crates `policy` and `quorum` against
//! simulated callers, networks and backend servers.
//!
//! The emulator uses no sockets, threads or real clocks: the same settings and seed give the same
//! output.

pub mod admission;
pub mod backend_server;
pub mod caller;
pub mod claims;
pub mod deployment;
pub mod dispatch;
pub mod ejection;
pub mod emulator;
pub mod entry;
pub mod event_queue;
pub mod fault;
pub mod figures;
pub mod leader;
pub mod measure;
pub mod number;
pub mod policy;
pub mod rate;
pub mod request;
pub mod run;
pub mod server_side;
pub mod settings;
pub mod table;
pub mod window;
