//! Requests of other coordinators and of gateways.

use radishpaddle_consensus::Message;
use radishpaddle_kernel::boot_clock;
use radishpaddle_replication::JoinRequest;
use radishpaddle_wire::message::{Empty, failure, request, response};
use radishpaddle_wire::{
    GatewayPoll, PeerHandler, PeerIdentity, PresenceExchange, WireError, decode, encode,
    failure as refusal,
};
use serde::Serialize;

use crate::coordinator::Coordinator;
use crate::state::Command;

/// Hands requests to the coordinator.
pub struct CoordinatorPeerHandler {
    /// The coordinator.
    pub coordinator: Coordinator,
}

impl PeerHandler for CoordinatorPeerHandler {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        let answered = match request {
            request::Kind::Consensus(bytes) => self.consensus(&bytes).await,
            request::Kind::Join(bytes) => self.join(&bytes).await,
            request::Kind::GatewayPoll(bytes) => self.poll(&bytes).await,
            request::Kind::PresenceExchange(bytes) => self.exchange(&bytes),
            request::Kind::Propose(bytes) => self.propose(&bytes).await,
            request::Kind::ReadIndex(_) => self.read_index().await,
            _ => Ok(refusal(
                failure::Reason::Unsupported,
                "a coordinator does not answer this request",
            )),
        };
        answered.unwrap_or_else(|error| refusal(failure::Reason::Malformed, error.to_string()))
    }
}

type Answered = Result<response::Kind, WireError>;

impl CoordinatorPeerHandler {
    async fn consensus(&self, bytes: &[u8]) -> Answered {
        let message = Message::decode(bytes).map_err(malformed)?;
        self.coordinator.replica().receive(message).await;
        Ok(response::Kind::Empty(Empty {}))
    }

    async fn join(&self, bytes: &[u8]) -> Answered {
        let join: JoinRequest = decode(bytes)?;
        self.coordinator.replica().receive_join(join).await;
        Ok(response::Kind::Empty(Empty {}))
    }

    async fn poll(&self, bytes: &[u8]) -> Answered {
        let poll: GatewayPoll = decode(bytes)?;
        payload(&self.coordinator.poll(poll).await)
    }

    fn exchange(&self, bytes: &[u8]) -> Answered {
        let exchange: PresenceExchange = decode(bytes)?;
        self.coordinator.board().merge(exchange, boot_clock::now());
        self.coordinator.notify();
        payload(&self.coordinator.incarnation())
    }

    async fn propose(&self, bytes: &[u8]) -> Answered {
        let command: Command = serde_json::from_slice(bytes).map_err(malformed)?;
        match self.coordinator.propose_here(command).await {
            Ok(outcome) => payload(&outcome),
            Err(error) => Ok(refusal(failure::Reason::Refused, format!("{error:?}"))),
        }
    }

    async fn read_index(&self) -> Answered {
        match self.coordinator.replica().read_confirmed().await {
            Ok(confirmed) => payload(&confirmed.index),
            Err(_) => Ok(refusal(
                failure::Reason::NotLeader,
                "this coordinator does not lead",
            )),
        }
    }
}

fn payload<T: Serialize>(value: &T) -> Answered {
    Ok(response::Kind::Payload(encode(value)?))
}

fn malformed(error: impl std::fmt::Display) -> WireError {
    WireError::Malformed(error.to_string())
}
