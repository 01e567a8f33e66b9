//! Handler of peer requests from other coordinators and from gateways.

use prost::Message as _;
use radishpaddle_consensus::Message;
use radishpaddle_kernel::boot_clock;
use radishpaddle_replication::JoinRequest;
use radishpaddle_wire::message::{
    Empty, ExchangeExtension, PollExtension, failure, request, response,
};
use radishpaddle_wire::{
    FEATURES, GatewayPoll, PeerHandler, PeerIdentity, PollReply, PresenceExchange, WireError,
    decode, encode, failure_response,
};
use serde::Serialize;

use crate::coordinator::Coordinator;
use crate::state::Command;

/// Decodes peer requests and passes them to the coordinator.
pub struct CoordinatorPeerHandler {
    /// Coordinator that handles the requests.
    pub coordinator: Coordinator,
}

impl PeerHandler for CoordinatorPeerHandler {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        let result = match request {
            request::Kind::Consensus(bytes) => self.consensus(&bytes).await,
            request::Kind::Join(bytes) => self.join(&bytes).await,
            request::Kind::Propose(bytes) => self.propose(&bytes).await,
            request::Kind::ReadIndex(_) => self.read_index().await,
            _ => Ok(failure_response(
                failure::Reason::Unsupported,
                "a coordinator does not answer this request",
            )),
        };
        result.unwrap_or_else(|error| failure(&error))
    }

    async fn handle_extended(
        &self,
        peer: PeerIdentity,
        request: request::Kind,
        extension: Vec<u8>,
    ) -> (response::Kind, Vec<u8>) {
        let result = match request {
            request::Kind::GatewayPoll(bytes) => self.poll(&bytes, &extension).await,
            request::Kind::PresenceExchange(bytes) => self.exchange(&bytes, &extension),
            request => return (self.handle(peer, request).await, Vec::new()),
        };
        result.unwrap_or_else(|error| (failure(&error), Vec::new()))
    }
}

fn failure(error: &WireError) -> response::Kind {
    failure_response(failure::Reason::Malformed, error.to_string())
}

/// Response to a request. An error becomes a response with the reason `Malformed`.
type HandlerResult = Result<response::Kind, WireError>;

/// Response to a request with an extension, and the extension of the response.
type ExtendedResult = Result<(response::Kind, Vec<u8>), WireError>;

impl CoordinatorPeerHandler {
    async fn consensus(&self, bytes: &[u8]) -> HandlerResult {
        let message = Message::decode(bytes).map_err(malformed)?;
        self.coordinator.replica().receive(message).await;
        Ok(response::Kind::Empty(Empty {}))
    }

    async fn join(&self, bytes: &[u8]) -> HandlerResult {
        let join: JoinRequest = decode(bytes)?;
        self.coordinator.replica().receive_join(join).await;
        Ok(response::Kind::Empty(Empty {}))
    }

    async fn poll(&self, bytes: &[u8], extension: &[u8]) -> ExtendedResult {
        let poll: GatewayPoll = decode(bytes)?;
        let extension = PollExtension::decode(extension).map_err(malformed)?;
        match self.coordinator.poll(poll, &extension).await {
            Some((reply, extension)) => Ok((payload(&Some(reply))?, extension.encode_to_vec())),
            None => Ok((payload(&None::<PollReply>)?, Vec::new())),
        }
    }

    fn exchange(&self, bytes: &[u8], extension: &[u8]) -> ExtendedResult {
        let exchange: PresenceExchange = decode(bytes)?;
        let extension = ExchangeExtension::decode(extension).map_err(malformed)?;
        let missing = self
            .coordinator
            .soft_state()
            .merge(exchange, &extension, boot_clock::now());
        self.coordinator.notify_polls();
        let reply = ExchangeExtension {
            features: FEATURES,
            missing_gateways: missing,
            ..ExchangeExtension::default()
        };
        let incarnation = payload(&self.coordinator.incarnation())?;
        Ok((incarnation, reply.encode_to_vec()))
    }

    async fn propose(&self, bytes: &[u8]) -> HandlerResult {
        let command: Command = serde_json::from_slice(bytes).map_err(malformed)?;
        match self.coordinator.propose_locally(command).await {
            Ok(outcome) => payload(&outcome),
            Err(error) => Ok(failure_response(
                failure::Reason::Refused,
                format!("{error:?}"),
            )),
        }
    }

    async fn read_index(&self) -> HandlerResult {
        match self.coordinator.replica().read_confirmed().await {
            Ok(confirmed) => payload(&confirmed.index),
            Err(_) => Ok(failure_response(
                failure::Reason::NotLeader,
                "this coordinator does not lead",
            )),
        }
    }
}

fn payload<T: Serialize>(value: &T) -> HandlerResult {
    Ok(response::Kind::Payload(encode(value)?))
}

fn malformed(error: impl std::fmt::Display) -> WireError {
    WireError::Malformed(error.to_string())
}
