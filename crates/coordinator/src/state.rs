//! State that every coordinator derives from the replicated log.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use anyhow::Result;
use radishpaddle_model::{Retirement, RoutingConfig, ServerPresence};
use radishpaddle_replication::ReplicatedState;
use serde::{Deserialize, Serialize};

/// Retirements that are kept. Each concerns one life of one backend server, which ends soon after.
const MAX_RETIREMENTS: usize = 4_096;

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Command {
    /// A configuration; it takes effect when its version is the highest.
    PutConfig(Arc<StoredConfig>),
    /// A backend server drains or left.
    Retire(Retirement),
}

/// A configuration with the text that the operator sent.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct StoredConfig {
    /// What the fleet acts on.
    pub config: RoutingConfig,
    /// What a read returns.
    pub document: String,
}

/// What a command did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Outcome {
    /// The state changed.
    Changed,
    /// The state already contained the command or something newer.
    Unchanged,
}

/// Configuration and retirements.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CoordinatorState {
    config: Option<Arc<StoredConfig>>,
    retired: BTreeMap<Arc<str>, Retirement>,
    order: VecDeque<Arc<str>>,
}

impl CoordinatorState {
    /// Configuration in force.
    #[must_use]
    pub const fn config(&self) -> Option<&Arc<StoredConfig>> {
        self.config.as_ref()
    }

    /// Version in force; 0 before the first one.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.config
            .as_ref()
            .map_or(0, |stored| stored.config.version)
    }

    /// Whether this life of the backend server was retired.
    #[must_use]
    pub fn retires(&self, server: &ServerPresence) -> bool {
        self.retirement(&server.id, server.started_at_ms).is_some()
    }

    /// Retirement of this life of a backend server or of a later one.
    #[must_use]
    pub fn retirement(&self, id: &str, started_at_ms: u64) -> Option<&Retirement> {
        let retirement = self.retired.get(id)?;
        (retirement.started_at_ms >= started_at_ms).then_some(retirement)
    }

    /// Retirements in force.
    pub fn retirements(&self) -> impl Iterator<Item = &Retirement> {
        self.retired.values()
    }

    fn put_config(&mut self, stored: &Arc<StoredConfig>) -> Outcome {
        if stored.config.version <= self.version() {
            return Outcome::Unchanged;
        }
        self.config = Some(Arc::clone(stored));
        Outcome::Changed
    }

    fn retire(&mut self, retirement: &Retirement) -> Outcome {
        let rank = |known: &Retirement| (known.started_at_ms, known.state);
        let known = self.retired.get(&retirement.id);
        if known.is_some_and(|known| rank(known) >= rank(retirement)) {
            return Outcome::Unchanged;
        }
        let id = Arc::clone(&retirement.id);
        if self
            .retired
            .insert(Arc::clone(&id), retirement.clone())
            .is_none()
        {
            self.order.push_back(id);
        }
        while self.order.len() > MAX_RETIREMENTS {
            if let Some(oldest) = self.order.pop_front() {
                self.retired.remove(&oldest);
            }
        }
        Outcome::Changed
    }
}

impl ReplicatedState for CoordinatorState {
    type Command = Command;
    type Outcome = Outcome;

    fn apply(&mut self, command: &Command) -> Result<Outcome> {
        Ok(match command {
            Command::PutConfig(stored) => self.put_config(stored),
            Command::Retire(retirement) => self.retire(retirement),
        })
    }

    fn encode(&self) -> Result<Vec<u8>> {
        Ok(serde_json::to_vec(self)?)
    }

    fn decode(bytes: &[u8]) -> Result<Self> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        Ok(serde_json::from_slice(bytes)?)
    }
}
