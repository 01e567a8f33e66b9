//! Applied configuration of this instance. Its revision never decreases.

use std::sync::Arc;

use radishpaddle_model::{
    ChangeRecord, FleetConfig, KeyHash, OrganisationId, Revision, ServiceDocument, ServiceId,
};
use radishpaddle_wire::message::ConfigReply;
use thiserror::Error;
use tokio::sync::watch;

/// Maximum number of changes retained for deltas to peers.
const MAX_RETAINED_CHANGES: usize = 2_000;

/// Error of applying a configuration from a peer.
#[derive(Debug)]
#[derive(Error)]
pub enum ApplyError {
    /// The bytes are not valid JSON of a configuration or a change.
    #[error("configuration is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The delta does not continue the applied revision.
    #[error("delta starts at revision {since}, applied is {applied}")]
    Gap {
        /// Revision that the delta starts from.
        since: Revision,
        /// Applied revision.
        applied: Revision,
    },
}

/// A configuration and the latest changes that led to it.
#[derive(Debug, Clone, Default)]
struct VersionedConfig {
    config: Arc<FleetConfig>,
    changes: Arc<Vec<ChangeRecord>>,
}

/// Shared configuration. Clones refer to the same one.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    current: watch::Sender<VersionedConfig>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        let (current, _) = watch::channel(VersionedConfig::default());
        Self { current }
    }
}

impl ConfigStore {
    /// Returns the applied configuration.
    #[must_use]
    pub fn current(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.current.borrow().config)
    }

    /// Returns the applied revision.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current.borrow().config.revision
    }

    /// Subscribes to newer configurations.
    #[must_use]
    pub fn subscribe(&self) -> ConfigSubscription {
        ConfigSubscription(self.current.subscribe())
    }

    /// Applies a configuration or a delta from a peer and returns the applied revision. Ignores
    /// revisions that are not newer.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are malformed or the delta leaves a gap.
    pub fn apply(&self, reply: &ConfigReply) -> Result<Revision, ApplyError> {
        if reply.state_json.is_empty() {
            self.apply_delta(reply)?;
        } else {
            let config: FleetConfig = serde_json::from_slice(&reply.state_json)?;
            self.replace(config);
        }
        Ok(self.revision())
    }

    /// Returns the update for a peer at the given revision: a delta if all changes since then are
    /// retained, else the whole configuration.
    ///
    /// # Errors
    ///
    /// Fails when the configuration cannot be serialized as JSON.
    pub fn since(&self, since: Revision) -> Result<ConfigReply, serde_json::Error> {
        let current = self.current.borrow().clone();
        let revision = current.config.revision;
        let mut reply = ConfigReply {
            revision: revision.0,
            since_revision: since.0,
            ..ConfigReply::default()
        };
        if since >= revision {
            return Ok(reply);
        }
        let first_known = current.changes.first().map(|record| record.revision);
        if first_known.is_some_and(|first| first <= since.next()) {
            reply.change_json = current
                .changes
                .iter()
                .filter(|record| record.revision > since)
                .map(serde_json::to_vec)
                .collect::<Result<_, _>>()?;
        } else {
            reply.state_json = serde_json::to_vec(&*current.config)?;
        }
        Ok(reply)
    }

    fn replace(&self, config: FleetConfig) {
        self.current.send_if_modified(|current| {
            if config.revision <= current.config.revision {
                return false;
            }
            *current = VersionedConfig {
                config: Arc::new(config),
                changes: Arc::default(),
            };
            true
        });
    }

    fn apply_delta(&self, reply: &ConfigReply) -> Result<(), ApplyError> {
        let records: Vec<ChangeRecord> = reply
            .change_json
            .iter()
            .map(|bytes| serde_json::from_slice(bytes))
            .collect::<Result<_, _>>()?;
        let mut gap = None;
        self.current.send_if_modified(|current| {
            let applied = current.config.revision;
            let mut next = VersionedConfig::clone(current);
            let config = Arc::make_mut(&mut next.config);
            let changes = Arc::make_mut(&mut next.changes);
            for record in records {
                if record.revision <= config.revision {
                    continue;
                }
                if !config.apply(&record) {
                    gap = Some((Revision(reply.since_revision), config.revision));
                    break;
                }
                changes.push(record);
            }
            let excess = changes.len().saturating_sub(MAX_RETAINED_CHANGES);
            changes.drain(..excess);
            let newer = config.revision > applied;
            if newer {
                *current = next;
            }
            newer
        });
        match gap {
            Some((since, applied)) => Err(ApplyError::Gap { since, applied }),
            None => Ok(()),
        }
    }
}

/// Subscription to newer configurations.
pub struct ConfigSubscription(watch::Receiver<VersionedConfig>);

impl ConfigSubscription {
    /// Waits for a newer configuration than the last one seen. Returns `None` when the store is
    /// dropped.
    pub async fn next(&mut self) -> Option<Arc<FleetConfig>> {
        self.0.changed().await.ok()?;
        Some(Arc::clone(&self.0.borrow_and_update().config))
    }
}

/// Returns the service that has the host.
#[must_use]
pub fn service_for_host<'a>(
    config: &'a FleetConfig,
    host: &str,
) -> Option<(&'a ServiceId, &'a Arc<ServiceDocument>)> {
    config
        .services
        .iter()
        .find(|(_, entry)| entry.document.hosts.iter().any(|known| &**known == host))
        .map(|(service, entry)| (service, &entry.document))
}

/// Returns the organisation that an active key belongs to.
#[must_use]
pub fn organisation_for_key<'a>(
    config: &'a FleetConfig,
    hash: &KeyHash,
) -> Option<&'a OrganisationId> {
    config.keys.get(hash).map(|record| &record.organisation)
}
