//! Clients for the witnesses. The witness in this process is called without the network.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use radishpaddle_model::InstanceId;
use radishpaddle_wire::message::{request, response};
use radishpaddle_wire::{ClientIdentity, PeerClient, WireError, decode_response, encode};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::settings::WitnessSettings;
use crate::witness_task::WitnessHandle;

/// Client for one witness.
#[derive(Clone)]
pub enum WitnessClient {
    /// Witness in this process.
    Local(WitnessHandle),
    /// Witness in another process.
    Remote(PeerClient),
}

/// Clients for all witnesses of the fleet by instance.
#[derive(Clone)]
pub struct WitnessClients(Arc<BTreeMap<InstanceId, WitnessClient>>);

impl WitnessClient {
    /// Sends a request and waits for the response. `limit` is the time limit of calls over the
    /// network; calls in this process have none.
    ///
    /// # Errors
    ///
    /// Fails when a witness in another process did not respond or refused. A refusal of the witness
    /// in this process is returned as a response.
    pub async fn call(
        &self,
        kind: request::Kind,
        limit: Duration,
    ) -> Result<response::Kind, WireError> {
        match self {
            Self::Local(handle) => Ok(handle.handle(kind).await),
            Self::Remote(client) => client.call(kind, limit).await,
        }
    }

    /// Sends an encoded payload and decodes the payload of the response.
    ///
    /// # Errors
    ///
    /// Fails when the witness did not respond, refused, or responded with another kind of message.
    pub async fn call_with_payload<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        wrap: fn(Vec<u8>) -> request::Kind,
        payload: &Q,
        limit: Duration,
    ) -> Result<R, WireError> {
        let response = self.call(wrap(encode(payload)?), limit).await?;
        decode_response(response)
    }
}

impl WitnessClients {
    /// Creates the clients for the witnesses of the settings.
    #[must_use]
    pub fn new(
        witnesses: &[WitnessSettings],
        local: Option<&(InstanceId, WitnessHandle)>,
        identity: &ClientIdentity,
    ) -> Self {
        let client = |witness: &WitnessSettings| match local {
            Some((instance, handle)) if *instance == witness.instance => {
                WitnessClient::Local(handle.clone())
            }
            _ => WitnessClient::Remote(PeerClient::spawn(witness.peer_address, identity.clone())),
        };
        let witnesses = witnesses
            .iter()
            .map(|witness| (witness.instance.clone(), client(witness)))
            .collect();
        Self(Arc::new(witnesses))
    }

    /// Returns the client for a witness.
    #[must_use]
    pub fn get(&self, witness: &InstanceId) -> Option<&WitnessClient> {
        self.0.get(witness)
    }

    /// Returns every witness with its client.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &WitnessClient)> {
        self.0.iter()
    }

    /// Returns the number of witnesses.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns whether there are no witnesses.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
