//! Settings of a control instance and their checks.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use radishpaddle_kernel::settings::ValidationReport;
use radishpaddle_kernel::{CommonSettings, ProcessSettings};
use radishpaddle_model::InstanceId;
use serde::{Deserialize, Serialize};

/// Contents of the settings file of `radishpaddle-control`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// Settings that every program has.
    pub common: CommonSettings,
    /// Address on which the operator API is served.
    pub operator_listen: SocketAddr,
    /// Address on which connections from other processes of the fleet are accepted.
    pub peer_listen: SocketAddr,
    /// Address that other processes connect to, if it differs from `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Directory of the control state. Only one process may use it at a time.
    pub data_directory: PathBuf,
    /// Peer addresses of all control instances; may include this one.
    pub controls: Vec<SocketAddr>,
    /// Witnesses of the fleet. Must be the same list as in the settings of the entry instances.
    pub witnesses: Vec<WitnessAddress>,
    /// Operators and their token digests.
    pub operators: Vec<OperatorSettings>,
    /// Number of voters that automatic repair maintains.
    #[serde(default = "default_target_voters")]
    pub target_voters: usize,
    /// Time, in milliseconds, for which a voter may be unreachable before a spare replaces it.
    #[serde(default = "default_repair_after_ms")]
    pub repair_after_ms: u64,
}

/// Address of one witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessAddress {
    /// Id of the entry instance that runs the witness.
    pub instance: InstanceId,
    /// Peer address of the instance.
    pub peer_address: SocketAddr,
}

/// Credentials of one operator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name under which the operator appears in the journal.
    pub name: Arc<str>,
    /// SHA-256 digest of the operator's token, as 64 hexadecimal digits.
    pub token_sha256: Arc<str>,
}

const fn default_target_voters() -> usize {
    3
}

const fn default_repair_after_ms() -> u64 {
    30_000
}

impl ControlSettings {
    /// Returns the address that other processes of the fleet connect to.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl ProcessSettings for ControlSettings {
    fn common(&self) -> &CommonSettings {
        &self.common
    }

    fn check(&self, report: &mut ValidationReport) {
        self.common.check(report);
        let mut addresses = vec![("peer_listen".to_owned(), self.peer_listen)];
        for (index, address) in self.controls.iter().enumerate() {
            addresses.push((format!("controls[{index}]"), *address));
        }
        for (index, witness) in self.witnesses.iter().enumerate() {
            let field = format!("witnesses[{index}].peer_address");
            addresses.push((field, witness.peer_address));
        }
        self.common.check_peer_addresses(report, &addresses);
        let count = self.witnesses.len();
        if count.is_multiple_of(2) || count > 7 {
            report.add("witnesses", &count, "1, 3, 5 or 7 witnesses");
        }
        report.range("target_voters", self.target_voters, 1, 7);
        report.range("repair_after_ms", self.repair_after_ms, 5_000, 3_600_000);
        for (index, operator) in self.operators.iter().enumerate() {
            let digits = operator.token_sha256.bytes();
            if digits.len() != 64 || !digits.into_iter().all(|byte| byte.is_ascii_hexdigit()) {
                let field = format!("operators[{index}].token_sha256");
                report.add(&field, &"(hidden)", "64 hexadecimal digits");
            }
        }
    }
}
