//! Replica of the control state in this process.

use std::time::Duration;

use anyhow::Result;
pub use radishpaddle_replication::ReplicaError;
use radishpaddle_replication::{RepairPace, ReplicaSettings, VoterTarget};
use radishpaddle_wire::ClientIdentity;

use crate::control_state::ControlState;
use crate::settings::ControlSettings;

/// Handle to the control replica of this process.
pub type ReplicaHandle = radishpaddle_replication::ReplicaHandle<ControlState>;

/// Published view of the control replica.
pub type ReplicaView = radishpaddle_replication::ReplicaView<ControlState>;

/// Opens the data directory named in the settings and starts the replica. Never founds a group; the
/// maintenance commands do that.
///
/// # Errors
///
/// Fails when the data directory is in use, damaged, or not a data directory of this version.
pub fn open(settings: &ControlSettings, identity: ClientIdentity) -> Result<ReplicaHandle> {
    let settings = ReplicaSettings {
        data_directory: settings.data_directory.clone(),
        own_address: settings.peer_address(),
        contacts: settings.controls.clone(),
        voter_target: VoterTarget::Fixed(settings.target_voters),
        repair: RepairPace::After(Duration::from_millis(settings.repair_after_ms)),
        remove_after: Duration::from_millis(settings.repair_after_ms),
        found: false,
    };
    ReplicaHandle::open(settings, identity)
}
