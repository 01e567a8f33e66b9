//! Payloads of the messages between gateways and coordinators, and between coordinators.

use std::net::SocketAddr;
use std::sync::Arc;

use radishpaddle_model::{
    Fingerprint, GatewayPresence, OrganisationDemand, RequestCrash, Retirement, RoutingConfig,
    ServerEvidence, ServerPresence, SuspectRequest,
};
use serde::{Deserialize, Serialize};

/// Poll of a coordinator by a gateway. It contains the gateway's report and the positions up to
/// which the gateway knows the coordinator's state; the coordinator answers when that state has
/// changed, or after a time-out.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayPoll {
    /// Announcement of the gateway.
    pub presence: GatewayPresence,
    /// Results of requests by this gateway since its last poll that was answered.
    pub evidence: Vec<ServerEvidence>,
    /// Whether the poll only reports. The coordinator then answers immediately and without a
    /// [`PollReply`], because another poll of the gateway is already waiting.
    pub report_only: bool,
    /// Crashes that this gateway observed and that no coordinator has confirmed; all observed
    /// crashes when the coordinator is a new one.
    pub crashes: Vec<RequestCrash>,
    /// Suspect requests that a backend server has answered since the last report.
    pub answered: Vec<Fingerprint>,
    /// Position up to which the gateway knows the list of suspect requests.
    pub suspects_position: u64,
    /// Incarnation of the coordinator that issued the positions.
    pub coordinator: u64,
    /// Position up to which the gateway knows the table of backend servers; 0 requests the whole
    /// table.
    pub table_position: u64,
    /// Position up to which the gateway knows the request results of other gateways.
    pub evidence_position: u64,
    /// Version of the configuration that the gateway applies.
    pub config_version: u64,
    /// Log index up to which the gateway knows the retirements of backend servers.
    pub applied_index: u64,
}

/// Answer to a [`GatewayPoll`]: the changes since the positions in the poll.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PollReply {
    /// Incarnation of the answering coordinator.
    pub coordinator: u64,
    /// Time since the start of the newest successful freshness proof, in milliseconds. The answer
    /// contains every change that was acknowledged before the proof started. Absent when there is
    /// no proof.
    pub proof_age_ms: Option<u32>,
    /// Whether the coordinator has run long enough to have received an announcement from every
    /// backend server.
    pub complete: bool,
    /// Whether `servers` is the whole table and not only the changes.
    pub whole: bool,
    /// Position of the table of backend servers after this answer.
    pub table_position: u64,
    /// Backend servers that were added or changed.
    pub servers: Vec<ServerUpdate>,
    /// Backend servers that were removed.
    pub removed: Vec<Arc<str>>,
    /// All retirements of backend servers, when the log index differs from that in the poll.
    pub retired: Option<Vec<Retirement>>,
    /// Log index that the state in the answer reflects.
    pub applied_index: u64,
    /// Position of the request results after this answer.
    pub evidence_position: u64,
    /// Request results of other gateways, each with the key of the reporting gateway.
    pub evidence: Vec<(u32, ServerEvidence)>,
    /// All suspect requests, when the list has changed since the position in the poll.
    pub suspects: Option<Vec<SuspectRequest>>,
    /// Position of the list of suspect requests after this answer.
    pub suspects_position: u64,
    /// Version of the configuration in force.
    pub config_version: u64,
    /// The configuration in force, when the gateway applies an older version.
    pub config: Option<Arc<RoutingConfig>>,
    /// Demand of each organisation at all gateways together.
    pub demand: Vec<OrganisationDemand>,
    /// Part of `demand` that the polling gateway reported.
    pub own_demand: Vec<OrganisationDemand>,
    /// Number of gateways that reported recently, including the polling one.
    pub gateways: u32,
    /// Caller addresses of gateways that reach backend servers, in the order of preference. Filled
    /// only for a gateway that reports that it does not.
    pub relays: Vec<SocketAddr>,
    /// Number of the gateways in `gateways` whose newest reports are old, so that `demand` may miss what they admitted.
    pub unknown_gateways: u32,
    /// Peer address of each coordinator, with its availability zone if known.
    pub coordinators: Vec<(SocketAddr, Option<Arc<str>>)>,
}

/// State of a backend server in the answer to a gateway.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerUpdate {
    /// Newest announcement of the backend server.
    pub presence: ServerPresence,
    /// Whether the backend server has stopped sending announcements.
    pub silent: bool,
}

/// What one coordinator received since its last message to another one.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct PresenceExchange {
    /// Incarnation of the sender.
    pub sender: u64,
    /// Peer address of the sender.
    pub address: SocketAddr,
    /// Availability zone of the sender.
    pub zone: Arc<str>,
    /// Announcements of backend servers, each with its age in milliseconds.
    pub servers: Vec<(ServerPresence, u32)>,
    /// Gateways, each with the age of its last report in milliseconds.
    pub gateways: Vec<(GatewayPresence, u32)>,
    /// Request results, each with the key of the reporting gateway.
    pub evidence: Vec<(u32, ServerEvidence)>,
    /// Crashes of backend servers, with the requests that were in flight.
    pub crashes: Vec<RequestCrash>,
    /// Suspect requests that a backend server has answered.
    pub answered: Vec<Fingerprint>,
}

impl PresenceExchange {
    /// Creates a message from the same sender without any reports.
    #[must_use]
    pub fn empty_from_same_sender(&self) -> Self {
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

    /// Whether the message contains no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
            && self.gateways.is_empty()
            && self.evidence.is_empty()
            && self.crashes.is_empty()
            && self.answered.is_empty()
    }
}
