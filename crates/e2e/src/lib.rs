//! Test harness that runs a fleet as real processes: the control and entry binaries of this workspace
//! with a fault proxy on every link between them, and backend servers and callers inside the test
//! process.

pub mod control_client;
pub mod fleet;
pub mod matrix;
mod matrix_changes;
pub mod matrix_reports;
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

/// Returns whether the slow cells of the fault matrix are enabled (`RADISHPADDLE_FULL_MATRIX=1`). If
/// they are not, reports on standard error that this cell was not run.
#[must_use]
pub fn full_matrix_enabled(cell: &str) -> bool {
    let full = std::env::var_os("RADISHPADDLE_FULL_MATRIX").is_some_and(|value| value == "1");
    if !full {
        eprintln!("not run without RADISHPADDLE_FULL_MATRIX=1: {cell}");
    }
    full
}
