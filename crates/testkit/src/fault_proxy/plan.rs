//! Faults that the TCP proxy injects, for each direction.

use serde::{Deserialize, Serialize};

/// Faults that a proxy injects. The default injects none.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyPlan {
    /// Faults on bytes from the client to the target.
    pub to_target: DirectionPlan,
    /// Faults on bytes from the target to the client.
    pub to_client: DirectionPlan,
    /// Whether the listening port is closed, so that new connections are refused.
    pub refuse_connections: bool,
}

/// Faults in one direction of a connection.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectionPlan {
    /// Delay of every byte, in milliseconds; bytes are not reordered.
    pub delay_ms: u64,
    /// Bandwidth limit in bytes per second; 0 counts as 1.
    pub bytes_per_s: Option<u64>,
    /// Loss of bytes without closing the connection.
    pub loss: Loss,
    /// Ends the connection after delivering this number of bytes in this direction.
    pub cut_after_bytes: Option<u64>,
    /// How the connection ends once `cut_after_bytes` is reached.
    pub cut: Cut,
}

/// Loss of bytes in one direction without closing the connection; the other direction is not affected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// Nothing is lost.
    #[default]
    None,
    /// Bytes are read and discarded, and the end of the stream is not forwarded. A connection that has
    /// lost bytes delivers none in this direction afterwards, as TCP never delivers past a gap.
    Discard,
    /// Bytes are not read from the sender's socket; they are delivered once the stall ends.
    Stall,
}

/// How the proxy ends a connection.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cut {
    /// Orderly close (FIN) in both directions.
    #[default]
    Close,
    /// Reset (RST) in both directions.
    Reset,
}

impl ProxyPlan {
    /// Returns a plan that applies `loss` in both directions and closes no connection.
    #[must_use]
    pub fn partition(loss: Loss) -> Self {
        let direction = DirectionPlan {
            loss,
            ..DirectionPlan::default()
        };
        Self {
            to_target: direction.clone(),
            to_client: direction,
            refuse_connections: false,
        }
    }
}
