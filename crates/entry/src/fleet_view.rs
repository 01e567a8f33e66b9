//! State of the fleet as this instance knows it from its polls. The request path reads it on each
//! request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_quorum::lease::Leader;
use radishpaddle_quorum::witness::{InstanceRecord, MembershipView};
use radishpaddle_quorum::{InstanceIncarnation, WitnessGroup};
use tokio::sync::watch;

use crate::backend_info::BackendInfo;

/// State of the fleet as of the last replies to polls.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Process time until which requests may be admitted under the applied configuration.
    pub fresh_until: Option<Duration>,
    /// Current witness group; `None` until a witness has reported one.
    pub group: Option<Arc<WitnessGroup>>,
    /// Witness leader with the highest known epoch.
    pub leader: Option<Leader>,
    /// Entry instances of the fleet.
    pub members: Arc<BTreeMap<InstanceIncarnation, InstanceRecord>>,
    /// Reports of each witness about the members.
    pub membership: Arc<MembershipView>,
    /// Announced backend servers.
    pub backend_servers: Arc<Vec<Arc<BackendInfo>>>,
}

impl FleetView {
    /// Returns every instance incarnation that may hold a rate allocation; `None` until a majority
    /// of the witnesses has replied to polls that were sent at `since` or later.
    #[must_use]
    pub fn lives_since(
        &self,
        since: Duration,
        group: &WitnessGroup,
    ) -> Option<BTreeSet<InstanceIncarnation>> {
        self.membership.lives_since(since, group)
    }

    /// Returns whether requests may be admitted at `now`.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fresh_until.is_some_and(|until| now <= until)
    }
}

/// Receiver of the latest state of the fleet.
pub type FleetViewReceiver = watch::Receiver<FleetView>;
