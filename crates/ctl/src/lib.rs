//! Operator command line.

pub mod arguments;
pub mod client;
pub mod command;
pub mod output;
pub mod trace;
