//! Sample backend server, fault-injecting TCP proxy, caller, history checker and process control for tests.

pub mod backend;
pub mod clock;
mod control_port;
pub mod fault_proxy;
pub mod http;
