//! Replicated configuration of the fleet, made up of documents and keys, and the changes that produce it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::document::ServiceDocument;
use crate::id::{KeyId, OrganisationId, Revision, ServiceId};
use crate::key::KeyHash;

/// State of the configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// Revision of the newest applied change.
    pub revision: Revision,
    /// Service documents by service name.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Valid organisation keys by their hash.
    pub keys: BTreeMap<KeyHash, KeyRecord>,
}

/// A document with the revision at which it was accepted.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Revision at which the document was accepted. The next submission for the service must name it as the
    /// revision that it replaces.
    pub revision: Revision,
    /// Accepted document.
    pub document: Arc<ServiceDocument>,
}

/// A valid organisation key.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRecord {
    /// Public name of the key.
    pub key_id: KeyId,
    /// Organisation that the key authenticates.
    pub organisation: OrganisationId,
}

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a document.
    PutService {
        /// New document; its service name decides which service it replaces.
        document: Arc<ServiceDocument>,
    },
    /// Removes a service.
    RemoveService {
        /// Service to remove.
        service: ServiceId,
    },
    /// Adds an organisation key.
    #[serde(rename = "give_key")]
    AddKey {
        /// Public name of the key.
        key_id: KeyId,
        /// Organisation that the key authenticates.
        organisation: OrganisationId,
        /// Hash of the key, the only form in which it is stored.
        hash: KeyHash,
    },
    /// Withdraws an organisation key; requests with it are refused afterwards.
    WithdrawKey {
        /// Public name of the key.
        key_id: KeyId,
    },
}

/// A change together with the revision that it produces.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision of the configuration after the change.
    pub revision: Revision,
    /// Change itself, serialized in the same object as the revision.
    #[serde(flatten)]
    pub change: Change,
}

impl FleetConfig {
    /// Applies a change whose revision directly follows the current one. Returns `false` and changes nothing if
    /// the record has any other revision.
    pub fn apply(&mut self, record: &ChangeRecord) -> bool {
        if record.revision != self.revision.next() {
            return false;
        }
        self.revision = record.revision;
        match &record.change {
            Change::PutService { document } => {
                let entry = ServiceEntry {
                    revision: record.revision,
                    document: Arc::clone(document),
                };
                self.services.insert(document.service.clone(), entry);
            }
            Change::RemoveService { service } => {
                self.services.remove(service);
            }
            Change::AddKey {
                key_id,
                organisation,
                hash,
            } => {
                let key = KeyRecord {
                    key_id: key_id.clone(),
                    organisation: organisation.clone(),
                };
                self.keys.insert(*hash, key);
            }
            Change::WithdrawKey { key_id } => {
                self.keys.retain(|_, key| &key.key_id != key_id);
            }
        }
        true
    }

    /// Returns the longest time limit of all routes.
    #[must_use]
    pub fn longest_timeout(&self) -> Duration {
        let documents = self.services.values().map(|entry| &entry.document);
        let routes = documents.flat_map(|document| &document.routes);
        let longest_ms = routes.map(|route| route.timeout_ms).max();
        Duration::from_millis(longest_ms.unwrap_or_default())
    }

    /// Returns the revision that the next submission for the service must replace, or 0 if the service has no
    /// document.
    #[must_use]
    pub fn service_revision(&self, service: &ServiceId) -> Revision {
        self.services
            .get(service)
            .map_or(Revision(0), |entry| entry.revision)
    }
}
