//! Handler of peer requests from other processes of the fleet.

use radishpaddle_consensus::Message;
use radishpaddle_replication::JoinRequest;
use radishpaddle_wire::message::{Empty, failure, request, response};
use radishpaddle_wire::{PeerHandler, PeerIdentity, decode, failure_response};

use crate::replica::ReplicaHandle;

/// Passes consensus messages and join requests to the replica, and refuses all other requests.
pub struct ControlPeerHandler {
    /// Handle to the replica of this instance.
    pub replica: ReplicaHandle,
}

impl PeerHandler for ControlPeerHandler {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        match request {
            request::Kind::Consensus(bytes) => match Message::decode(&bytes) {
                Ok(message) => {
                    self.replica.receive(message).await;
                    response::Kind::Empty(Empty {})
                }
                Err(error) => failure_response(failure::Reason::Malformed, error.to_string()),
            },
            request::Kind::Join(bytes) => match decode::<JoinRequest>(&bytes) {
                Ok(join) => {
                    self.replica.receive_join(join).await;
                    response::Kind::Empty(Empty {})
                }
                Err(error) => failure_response(failure::Reason::Malformed, error.to_string()),
            },
            _ => failure_response(
                failure::Reason::Unsupported,
                "a control instance does not answer this request",
            ),
        }
    }
}
