//! The replicated configuration: documents and keys, and the changes that lead to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::document::ServiceDocument;
use crate::id::{KeyId, OrganisationId, Revision, ServiceId};
use crate::key::KeyHash;

/// State of the configuration at one revision.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetConfig {
    /// Revision of the newest change that is applied.
    pub revision: Revision,
    /// Documents by service.
    pub services: BTreeMap<ServiceId, ServiceEntry>,
    /// Keys by hash.
    pub keys: BTreeMap<KeyHash, KeyRecord>,
}

/// A document with the revision at which it was accepted.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Revision that a next submission has to name as the one it replaces.
    pub revision: Revision,
    /// The document.
    pub document: Arc<ServiceDocument>,
}

/// A key that is in force.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyRecord {
    /// Public name of the key.
    pub key_id: KeyId,
    /// Organisation that the key proves.
    pub organisation: OrganisationId,
}

/// One accepted change of the configuration.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum Change {
    /// Adds or replaces a document.
    PutService {
        /// The new document.
        document: Arc<ServiceDocument>,
    },
    /// Removes a service.
    RemoveService {
        /// The service.
        service: ServiceId,
    },
    /// Puts a key in force.
    GiveKey {
        /// Public name of the key.
        key_id: KeyId,
        /// Organisation that the key proves.
        organisation: OrganisationId,
        /// Hash of the key.
        hash: KeyHash,
    },
    /// Takes a key out of force.
    WithdrawKey {
        /// Public name of the key.
        key_id: KeyId,
    },
}

/// A change with its revision.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ChangeRecord {
    /// Revision that the change leads to.
    pub revision: Revision,
    /// The change.
    #[serde(flatten)]
    pub change: Change,
}

impl FleetConfig {
    /// Applies the change that follows the current revision. Returns `false` and does nothing
    /// when the record has another revision.
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
            Change::GiveKey {
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

    /// Revision that a submission about the service has to replace; 0 when there is none.
    #[must_use]
    pub fn service_revision(&self, service: &ServiceId) -> Revision {
        self.services
            .get(service)
            .map_or(Revision(0), |entry| entry.revision)
    }
}
