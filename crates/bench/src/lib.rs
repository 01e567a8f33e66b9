//! Discrete-event emulator that drives the decision code of `policy` and `quorum` with small fakes.
//!
//! There are no sockets, threads or real clocks. The same settings and seed give the same output.

pub mod admission;
pub mod backend_server;
pub mod caller;
pub mod claims;
pub mod dispatch;
pub mod ejection;
pub mod emulator;
pub mod entry;
pub mod fault;
pub mod figures;
pub mod leader;
pub mod measure;
pub mod number;
pub mod policy;
pub mod rate;
pub mod request;
pub mod run;
pub mod schedule;
pub mod server_side;
pub mod settings;
pub mod table;
pub mod user;
pub mod window;
