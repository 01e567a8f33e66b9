//! Settings of a control instance.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use radishpaddle_kernel::settings::Report;
use radishpaddle_kernel::{CommonSettings, ProcessSettings};
use radishpaddle_model::InstanceId;
use serde::{Deserialize, Serialize};

/// Settings file of `radishpaddle-control`.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ControlSettings {
    /// What every program has.
    pub common: CommonSettings,
    /// Address of the operator API.
    pub operator_listen: SocketAddr,
    /// Address for other processes of the fleet.
    pub peer_listen: SocketAddr,
    /// Address that other processes use, where it differs from the bound one.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Directory of the control state; used by one process at a time.
    pub data_directory: PathBuf,
    /// Peer addresses of all control instances, this one included or not.
    pub controls: Vec<SocketAddr>,
    /// Witnesses of the fleet, the same list as on the entry instances.
    pub witnesses: Vec<WitnessAddress>,
    /// Operators with their tokens.
    pub operators: Vec<OperatorSettings>,
    /// Voters that automatic repair aims for.
    #[serde(default = "default_target_voters")]
    pub target_voters: usize,
    /// Time after which an unreachable voter is replaced by a spare.
    #[serde(default = "default_repair_after_ms")]
    pub repair_after_ms: u64,
}

/// One witness.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WitnessAddress {
    /// Instance that is the witness.
    pub instance: InstanceId,
    /// Its address for peers.
    pub peer_address: SocketAddr,
}

/// One operator.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorSettings {
    /// Name in the journal.
    pub name: Arc<str>,
    /// SHA-256 of the operator's token in hexadecimal digits.
    pub token_sha256: Arc<str>,
}

const fn default_target_voters() -> usize {
    3
}

const fn default_repair_after_ms() -> u64 {
    30_000
}

impl ControlSettings {
    /// Address for other processes of the fleet.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }
}

impl ProcessSettings for ControlSettings {
    fn common(&self) -> &CommonSettings {
        &self.common
    }

    fn check(&self, report: &mut Report) {
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
