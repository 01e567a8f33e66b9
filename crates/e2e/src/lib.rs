//! A fleet of real processes for tests: control and entry instances as binaries of this workspace,
//! fault proxies on every link between them, and backend servers and callers in the test process.

pub mod fleet;
pub mod operator;
pub mod plan;
pub mod traffic;

pub use fleet::ProcessFleet;
pub use operator::Operator;
pub use plan::FleetPlan;
pub use traffic::Traffic;
