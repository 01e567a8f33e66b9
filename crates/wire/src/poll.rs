//! Messages between gateways and coordinators, and between coordinators.

use std::net::SocketAddr;
use std::sync::Arc;

use radishpaddle_model::{
    Fingerprint, GatewayPresence, OrganisationDemand, RequestCrash, Retirement, RoutingConfig,
    ServerEvidence, ServerPresence, SuspectRequest,
};
use serde::{Deserialize, Serialize};

/// A gateway reports, names what it knows, and waits for news.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayPoll {
    /// The gateway.
    pub presence: GatewayPresence,
    /// Results of its requests since the last poll that was answered.
    pub evidence: Vec<ServerEvidence>,
    /// Whether the gateway has another poll waiting and needs no answer to this one.
    pub report_only: bool,
    /// Crashes that this gateway saw and no coordinator is known to have, or all of them when the coordinator is new.
    pub crashes: Vec<RequestCrash>,
    /// Suspect requests that a backend server answered since.
    pub answered: Vec<Fingerprint>,
    /// Position in the list of suspect requests.
    pub suspects_position: u64,
    /// Life of the coordinator that the positions belong to.
    pub coordinator: u64,
    /// Position in the table of backend servers; 0 asks for the whole table.
    pub table_position: u64,
    /// Position in the evidence of other gateways.
    pub evidence_position: u64,
    /// Version of the configuration that the gateway applies.
    pub config_version: u64,
    /// Index of the log whose retirements the gateway knows.
    pub applied_index: u64,
}

/// What a gateway does not know yet.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PollReply {
    /// Life of the answering coordinator.
    pub coordinator: u64,
    /// Age of the newest proof that the answer contains everything acknowledged before the proof
    /// began, in milliseconds; absent when there is none.
    pub proof_age_ms: Option<u32>,
    /// Whether the coordinator has run long enough to have heard every backend server.
    pub complete: bool,
    /// Whether `servers` is the whole table.
    pub whole: bool,
    /// Position of this answer in the table.
    pub table_position: u64,
    /// Backend servers that changed.
    pub servers: Vec<ServerNews>,
    /// Backend servers that are gone.
    pub removed: Vec<Arc<str>>,
    /// All retirements, when the log moved since the position of the poll.
    pub retired: Option<Vec<Retirement>>,
    /// Index of the log up to which the answer is applied.
    pub applied_index: u64,
    /// Position of this answer in the evidence.
    pub evidence_position: u64,
    /// Results at other gateways, with a key of the gateway that saw them.
    pub evidence: Vec<(u32, ServerEvidence)>,
    /// Suspect requests, when the list changed since the position of the poll.
    pub suspects: Option<Vec<SuspectRequest>>,
    /// Position of this answer in the list of suspect requests.
    pub suspects_position: u64,
    /// Version in force.
    pub config_version: u64,
    /// The configuration, when the gateway has an older one.
    pub config: Option<Arc<RoutingConfig>>,
    /// Demand of organisations at all gateways.
    pub demand: Vec<OrganisationDemand>,
    /// What this gateway contributed to `demand`.
    pub own_demand: Vec<OrganisationDemand>,
    /// Gateways that were heard lately, this one included.
    pub gateways: u32,
    /// Peer addresses of the coordinators with their availability zones, as far as known.
    pub coordinators: Vec<(SocketAddr, Option<Arc<str>>)>,
}

/// A backend server in the answer to a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerNews {
    /// Newest announcement.
    pub presence: ServerPresence,
    /// Whether announcements have stopped.
    pub silent: bool,
}

/// What one coordinator heard since its last message to another one.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PresenceExchange {
    /// Life of the sender.
    pub sender: u64,
    /// Peer address of the sender.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: Arc<str>,
    /// Announcements with their age in milliseconds.
    pub servers: Vec<(ServerPresence, u32)>,
    /// Gateways with the age of their report in milliseconds.
    pub gateways: Vec<(GatewayPresence, u32)>,
    /// Results of requests, with a key of the gateway that saw them.
    pub evidence: Vec<(u32, ServerEvidence)>,
    /// Crashes with their requests.
    pub crashes: Vec<RequestCrash>,
    /// Suspect requests that a backend server answered.
    pub answered: Vec<Fingerprint>,
}

impl PresenceExchange {
    /// An empty message of the same sender.
    #[must_use]
    pub fn without_content(&self) -> Self {
        Self {
            sender: self.sender,
            address: self.address,
            zone: Arc::clone(&self.zone),
            servers: Vec::new(),
            gateways: Vec::new(),
            evidence: Vec::new(),
            crashes: Vec::new(),
            answered: Vec::new(),
        }
    }

    /// Whether there is nothing to tell.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
            && self.gateways.is_empty()
            && self.evidence.is_empty()
            && self.crashes.is_empty()
            && self.answered.is_empty()
    }
}
