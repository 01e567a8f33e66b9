//! Measured slopes. The page is computed from the committed file, so that it can be recomputed
//! without a new measurement.

use serde::{Deserialize, Serialize};

/// Cost of the control traffic per unit of what causes it.
///
/// Bytes are those of the encoded messages. Microseconds are processor time of one core.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slopes {
    /// Poll and its answer without changes.
    pub poll_bytes: f64,
    /// One changed member in an answer to a poll.
    pub poll_member_bytes: f64,
    /// Handling one poll at the witness, with a small table.
    pub poll_us: f64,
    /// The same per 1,000 members in the table.
    pub poll_us_per_1000_members: f64,
    /// Request for backend server changes and an answer without changes.
    pub delta_bytes: f64,
    /// One changed backend server in an answer.
    pub delta_server_bytes: f64,
    /// Handling one request for backend server changes.
    pub delta_us: f64,
    /// Exchange with the leader without evidence.
    pub sync_bytes: f64,
    /// One evidence cell.
    pub sync_cell_bytes: f64,
    /// One backend server in flight, in request and answer.
    pub sync_in_flight_bytes: f64,
    /// Handling one exchange at the leader without evidence.
    pub sync_us: f64,
    /// The same per evidence cell.
    pub sync_us_per_cell: f64,
    /// Detection at the leader, per backend server and period of 250 ms.
    pub detect_us_per_server: f64,
    /// Report about one rate limit and its answer.
    pub limit_bytes: f64,
    /// Handling one report about a rate limit at the leader.
    pub limit_us: f64,
    /// Claim, votes and completion of one action at one witness, with an answer of 256 bytes.
    pub claim_bytes: f64,
    /// Handling them at one witness.
    pub claim_us: f64,
    /// Memory of one claim with an answer of 256 bytes.
    pub claim_memory_bytes: f64,
    /// Announcement of a backend server to one witness.
    pub announce_bytes: f64,
    /// Handling it.
    pub announce_us: f64,
    /// One configuration change with a document of 14 routes and 30 organisations.
    pub change_bytes: f64,
    /// Applying it to a configuration of the target size.
    pub change_us: f64,
    /// Whole configuration as JSON, per service.
    pub config_service_bytes: f64,
    /// Whole configuration as JSON, per key.
    pub config_key_bytes: f64,
    /// Memory of the configuration of the target size.
    pub config_memory_bytes: f64,
    /// Memory of one backend server in an entry instance, all views included.
    pub server_memory_bytes: f64,
}
