//! A fleet of real processes for tests: control and entry instances as binaries of this workspace,
//! fault proxies on every link between them, and backend servers and callers in the test process.

pub mod control_client;
pub mod fleet;
pub mod matrix;
mod matrix_changes;
mod matrix_requests;
pub mod observer;
pub mod operator;
pub mod plan;
pub mod scenario;
pub mod traffic;

pub use fleet::ProcessFleet;
pub use operator::Operator;
pub use plan::FleetPlan;
pub use scenario::Scenario;
pub use traffic::Traffic;

/// Whether the slow cells run too (`RADISHPADDLE_FULL_MATRIX=1`). Otherwise prints that the cell was
/// not run on standard error.
#[must_use]
pub fn full_matrix(cell: &str) -> bool {
    let full = std::env::var_os("RADISHPADDLE_FULL_MATRIX").is_some_and(|value| value == "1");
    if !full {
        eprintln!("not run without RADISHPADDLE_FULL_MATRIX=1: {cell}");
    }
    full
}
