//! Handler for requests of other processes of the fleet.

use radishpaddle_model::Revision;
use radishpaddle_wire::message::{failure, request, response};
use radishpaddle_wire::{PeerHandler, PeerIdentity, failure_response};

use crate::config_store::ConfigStore;
use crate::witness_task::WitnessHandle;

/// Serves configuration requests itself and passes all others to the witness.
pub struct EntryPeerHandler {
    /// Applied configuration, served to peers with an older revision.
    pub config: ConfigStore,
    /// Witness of this process, if the instance is one.
    pub witness: Option<WitnessHandle>,
}

impl PeerHandler for EntryPeerHandler {
    async fn handle(&self, _peer: PeerIdentity, request: request::Kind) -> response::Kind {
        if let request::Kind::FetchConfig(fetch) = &request {
            let since = Revision(fetch.since_revision);
            return match self.config.since(since) {
                Ok(reply) => response::Kind::Config(reply),
                Err(error) => failure_response(failure::Reason::Refused, error.to_string()),
            };
        }
        match &self.witness {
            Some(witness) => witness.handle(request).await,
            None => failure_response(
                failure::Reason::Unsupported,
                "this instance is not a witness",
            ),
        }
    }
}
