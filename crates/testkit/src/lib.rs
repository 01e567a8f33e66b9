//! Sample backend server, fault-injecting TCP proxy, test caller, history checker
//! and process control for tests.

pub mod backend;
pub mod caller;
pub mod clock;
mod control_port;
pub mod fault_proxy;
pub mod history;
pub mod http;
pub mod process;
