//! The copy of the configuration that requests are served from. It never moves to an older revision.

use std::sync::Arc;

use radishpaddle_model::{
    ChangeRecord, FleetConfig, KeyHash, OrganisationId, Revision, ServiceDocument, ServiceId,
};
use radishpaddle_wire::message::ConfigReply;
use thiserror::Error;
use tokio::sync::watch;

/// Changes kept for peers that ask for a delta.
const KEPT_CHANGES: usize = 2_000;

/// A configuration from a peer cannot be applied.
#[derive(Debug)]
#[derive(Error)]
pub enum ApplyError {
    /// The bytes are not what they should be.
    #[error("configuration is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The delta starts after the applied revision.
    #[error("delta starts at revision {since}, applied is {applied}")]
    Gap {
        /// Revision that the delta starts from.
        since: Revision,
        /// Revision that is applied.
        applied: Revision,
    },
}

/// A configuration with the changes that led to it.
#[derive(Debug, Clone, Default)]
struct Versioned {
    config: Arc<FleetConfig>,
    changes: Arc<Vec<ChangeRecord>>,
}

/// Shared configuration; clones see the same one.
#[derive(Debug, Clone)]
pub struct ConfigStore {
    current: watch::Sender<Versioned>,
}

impl Default for ConfigStore {
    fn default() -> Self {
        let (current, _) = watch::channel(Versioned::default());
        Self { current }
    }
}

impl ConfigStore {
    /// Configuration in force on this instance.
    #[must_use]
    pub fn current(&self) -> Arc<FleetConfig> {
        Arc::clone(&self.current.borrow().config)
    }

    /// Revision that is applied.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.current.borrow().config.revision
    }

    /// Wakes when a newer configuration is applied.
    #[must_use]
    pub fn changes(&self) -> ConfigWatch {
        ConfigWatch(self.current.subscribe())
    }

    /// Applies what a peer sent and returns the revision that is applied then. Anything that is not
    /// newer is ignored.
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

    /// What a peer at the given revision lacks: a delta when the changes are known, else the state.
    ///
    /// # Errors
    ///
    /// Fails when the state cannot be written as JSON.
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
            *current = Versioned {
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
            let mut next = Versioned::clone(current);
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
            let excess = changes.len().saturating_sub(KEPT_CHANGES);
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

/// Wakes its owner on newer configurations.
pub struct ConfigWatch(watch::Receiver<Versioned>);

impl ConfigWatch {
    /// Waits for a newer configuration than the one seen last. Returns `None` at the end.
    pub async fn next(&mut self) -> Option<Arc<FleetConfig>> {
        self.0.changed().await.ok()?;
        Some(Arc::clone(&self.0.borrow_and_update().config))
    }
}

/// Service that a host belongs to.
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

/// Organisation that a key proves.
#[must_use]
pub fn organisation_for_key<'a>(
    config: &'a FleetConfig,
    hash: &KeyHash,
) -> Option<&'a OrganisationId> {
    config.keys.get(hash).map(|record| &record.organisation)
}
