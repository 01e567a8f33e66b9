//! Calls to the witnesses, whether this instance is one of them or not.

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

/// A witness as this instance reaches it.
#[derive(Clone)]
pub enum WitnessPort {
    /// The witness of this process.
    Local(WitnessHandle),
    /// A witness in another process.
    Remote(PeerClient),
}

/// Every witness of the fleet by name.
#[derive(Clone)]
pub struct WitnessPorts(Arc<BTreeMap<InstanceId, WitnessPort>>);

impl WitnessPort {
    /// Sends a request and waits for its response for `limit` at most.
    ///
    /// # Errors
    ///
    /// Fails when the witness did not answer or refused.
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
    /// Fails when the witness did not answer, refused, or answered something else.
    pub async fn exchange<Q: Serialize + Sync, R: DeserializeOwned>(
        &self,
        wrap: fn(Vec<u8>) -> request::Kind,
        payload: &Q,
        limit: Duration,
    ) -> Result<R, WireError> {
        let response = self.call(wrap(encode(payload)?), limit).await?;
        decode_response(response)
    }
}

impl WitnessPorts {
    /// Ports to the witnesses of the settings.
    #[must_use]
    pub fn new(
        witnesses: &[WitnessSettings],
        local: Option<&(InstanceId, WitnessHandle)>,
        identity: &ClientIdentity,
    ) -> Self {
        let port = |witness: &WitnessSettings| match local {
            Some((instance, handle)) if *instance == witness.instance => {
                WitnessPort::Local(handle.clone())
            }
            _ => WitnessPort::Remote(PeerClient::spawn(witness.peer_address, identity.clone())),
        };
        let ports = witnesses
            .iter()
            .map(|witness| (witness.instance.clone(), port(witness)))
            .collect();
        Self(Arc::new(ports))
    }

    /// Port to one witness.
    #[must_use]
    pub fn get(&self, witness: &InstanceId) -> Option<&WitnessPort> {
        self.0.get(witness)
    }

    /// Every witness with its port.
    pub fn iter(&self) -> impl Iterator<Item = (&InstanceId, &WitnessPort)> {
        self.0.iter()
    }

    /// Number of witnesses.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no witnesses.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
