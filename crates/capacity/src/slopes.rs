//! Measured slopes. They are stored in a committed file, so that the page can be rendered without a new
//! measurement.

use serde::{Deserialize, Serialize};

/// Unit costs of the control traffic, per message, item or claim.
///
/// Traffic is the size of the encoded messages in bytes. Processor time is in microseconds of one core.
/// Memory is in bytes.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Size of a poll and of a reply without changes.
    pub poll_bytes: f64,
    /// Size of one changed member in the reply to a poll.
    pub poll_member_bytes: f64,
    /// Processor time of one poll at a witness whose table holds 17 members.
    pub poll_us: f64,
    /// Additional processor time of one poll per 1,000 members in the table of the witness.
    pub poll_us_per_1000_members: f64,
    /// Size of a request for backend server changes and of a reply without changes.
    pub delta_bytes: f64,
    /// Size of one changed backend server in the reply.
    pub delta_server_bytes: f64,
    /// Processor time of one request for backend server changes at a witness.
    pub delta_us: f64,
    /// Size of one exchange with the leader without evidence, request and reply.
    pub sync_bytes: f64,
    /// Size of one evidence cell.
    pub sync_cell_bytes: f64,
    /// Size of one backend server with its number of requests in flight, as listed in both the request and
    /// the reply.
    pub sync_in_flight_bytes: f64,
    /// Processor time of one exchange without evidence at the leader.
    pub sync_us: f64,
    /// Additional processor time of one exchange per evidence cell.
    pub sync_us_per_cell: f64,
    /// Processor time of outlier detection at the leader, per backend server and period of 250 ms.
    pub detect_us_per_server: f64,
    /// Size of a report about one rate limit and of the reply.
    pub limit_bytes: f64,
    /// Processor time of a report about one rate limit at the leader.
    pub limit_us: f64,
    /// Size of the messages that claim and complete one action at one witness, with an answer of 256 bytes.
    pub claim_bytes: f64,
    /// Processor time of claiming and completing one action at one witness.
    pub claim_us: f64,
    /// Memory of one claim at a witness, with an answer of 256 bytes.
    pub claim_memory_bytes: f64,
    /// Size of an announcement of a backend server to one witness.
    pub announce_bytes: f64,
    /// Processor time of an announcement at one witness.
    pub announce_us: f64,
    /// Size of a configuration change with a document of 14 routes and 30 organisations.
    pub change_bytes: f64,
    /// Processor time of applying this change to a configuration of the target size.
    pub change_us: f64,
    /// Size of the services of the configuration as JSON, per service.
    pub config_service_bytes: f64,
    /// Size of the keys of the configuration as JSON, per key.
    pub config_key_bytes: f64,
    /// Memory of a configuration of the target size.
    pub config_memory_bytes: f64,
    /// Memory of one backend server in an entry instance that is also a witness, all views included.
    pub server_memory_bytes: f64,
}
