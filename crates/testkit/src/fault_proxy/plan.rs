//! Faults of a TCP proxy, per direction.

use serde::{Deserialize, Serialize};

/// Faults in force. The default passes everything.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProxyPlan {
    /// Bytes from the client to the target.
    pub to_target: DirectionPlan,
    /// Bytes from the target to the client.
    pub to_client: DirectionPlan,
    /// Closes the listening port, so that new connections are refused.
    pub refuse_connections: bool,
}

/// Faults of one direction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct DirectionPlan {
    /// Delay of every byte, in milliseconds. Order is kept.
    pub delay_ms: u64,
    /// Bandwidth limit in bytes per second, at least 1.
    pub bytes_per_s: Option<u64>,
    /// Silent loss.
    pub loss: Loss,
    /// Ends the connection after this number of bytes in this direction.
    pub cut_after_bytes: Option<u64>,
    /// How the connection ends when it is cut.
    pub cut: Cut,
}

/// Silent loss in one direction; the other direction is not affected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Loss {
    /// Nothing is lost.
    #[default]
    None,
    /// Bytes are read and discarded, and the end of the stream is not passed on. A connection that
    /// has lost bytes delivers none in this direction afterwards, as TCP never delivers past a gap.
    Discard,
    /// Bytes are not read; they are delivered once the loss ends.
    Stall,
}

/// How a connection ends when it is cut.
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
    /// Loses every byte in both directions, without closing anything.
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
