//! What this instance knows of the fleet; read by the request path on each request.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_quorum::lease::Leader;
use radishpaddle_quorum::witness::{InstanceRecord, MembershipView};
use radishpaddle_quorum::{Life, WitnessGroup};
use tokio::sync::watch;

use crate::backend_info::BackendInfo;

/// State of the fleet as the polls of this instance show it.
#[derive(Debug, Clone, Default)]
pub struct FleetView {
    /// Local time until which requests may be admitted under the applied configuration.
    pub fresh_until: Option<Duration>,
    /// Witnesses whose answers count.
    pub group: Option<Arc<WitnessGroup>>,
    /// Witness leader, if one is known.
    pub leader: Option<Leader>,
    /// Members.
    pub members: Arc<BTreeMap<Life, InstanceRecord>>,
    /// What each witness said about the members.
    pub membership: Arc<MembershipView>,
    /// Announced backend servers.
    pub backend_servers: Arc<Vec<Arc<BackendInfo>>>,
}

impl FleetView {
    /// Every life that may hold a rate allocation; `None` until a majority of the witnesses answered
    /// a poll that was sent at `since` or later.
    #[must_use]
    pub fn lives_since(&self, since: Duration, group: &WitnessGroup) -> Option<BTreeSet<Life>> {
        self.membership.lives_since(since, group)
    }

    /// Whether requests may be admitted.
    #[must_use]
    pub fn is_fresh(&self, now: Duration) -> bool {
        self.fresh_until.is_some_and(|until| now <= until)
    }
}

/// Shared view of the fleet.
pub type FleetWatch = watch::Receiver<FleetView>;
