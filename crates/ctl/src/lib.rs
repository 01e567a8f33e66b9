//! Implementation of `radishpaddlectl`, the command-line client of the operator API.

pub mod arguments;
pub mod client;
pub mod command;
pub mod evacuate;
pub mod output;
pub mod trace;
