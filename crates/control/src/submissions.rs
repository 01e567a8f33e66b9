//! Deterministic state machine of the control group: operator submissions over the configuration.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use radishpaddle_model::{
    Change, ChangeRecord, FleetConfig, Incarnation, InstanceId, ResultCode, Revision, SubmissionId,
};
use radishpaddle_quorum::WitnessGroup;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Results kept for resends.
const KEPT_RESULTS: usize = 10_000;

/// Changes kept for deltas.
const KEPT_CHANGES: usize = 5_000;

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCommand {
    /// An operator's submission.
    Submit(Submission),
    /// A new generation of witnesses.
    StartGeneration(GenerationRecord),
}

/// A change that an operator submits.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the operator; a resend carries the same one.
    pub id: SubmissionId,
    /// Operator that submitted.
    pub operator: Arc<str>,
    /// Revision of the service that the change replaces; 0 for a new one. Unused for keys.
    pub replaces: Revision,
    /// The change.
    pub change: Change,
}

/// Witnesses that form a generation, each in the life in which it takes part from the start. A later
/// life has lost its memory and recovers from the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationRecord {
    /// The group.
    pub group: WitnessGroup,
    /// Lives that start the generation.
    pub lives: BTreeMap<InstanceId, Incarnation>,
    /// Whether claims of an earlier generation may be lost.
    pub claims_lost: bool,
}

/// What became of a submission.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum SubmissionResult {
    /// Committed with this revision.
    Accepted(Revision),
    /// The submission names another revision than the current one.
    RevisionConflict(Revision),
    /// There is no service or key by that name.
    NotFound,
    /// The key id or the key is in use.
    KeyExists,
    /// The id was used for other content.
    SubmissionIdReused,
    /// The document claims a host of another service.
    HostTaken,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct KeptResult {
    id: SubmissionId,
    content_hash: [u8; 32],
    result: SubmissionResult,
}

/// State that every control replica derives from the log.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ControlState {
    /// Configuration.
    pub config: FleetConfig,
    /// Witnesses; absent before the first generation.
    pub generation: Option<GenerationRecord>,
    changes: VecDeque<ChangeRecord>,
    results: VecDeque<KeptResult>,
}

impl SubmissionResult {
    /// Result code for the operator; `None` for an accepted submission.
    #[must_use]
    pub const fn refusal(self) -> Option<ResultCode> {
        match self {
            Self::Accepted(_) => None,
            Self::RevisionConflict(_) | Self::KeyExists | Self::HostTaken => {
                Some(ResultCode::RevisionConflict)
            }
            Self::NotFound => Some(ResultCode::NotFound),
            Self::SubmissionIdReused => Some(ResultCode::SubmissionIdReused),
        }
    }
}

impl ControlState {
    /// Applies a command of the log. Generations give no result.
    pub fn apply(&mut self, command: &LogCommand) -> Option<SubmissionResult> {
        match command {
            LogCommand::Submit(submission) => Some(self.submit(submission)),
            LogCommand::StartGeneration(record) => {
                let current = self.generation.as_ref().map(|known| known.group.generation);
                if current < Some(record.group.generation) {
                    self.generation = Some(record.clone());
                }
                None
            }
        }
    }

    /// Changes after a revision; `None` when some of them are not kept any more.
    #[must_use]
    pub fn changes_since(&self, since: Revision) -> Option<Vec<&ChangeRecord>> {
        if since >= self.config.revision {
            return Some(Vec::new());
        }
        let first = self.changes.front()?.revision;
        (first <= since.next()).then(|| {
            let newer = self.changes.iter();
            newer.filter(|record| record.revision > since).collect()
        })
    }

    /// Newest changes first, for operators.
    pub fn recent_changes(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.changes.iter().rev()
    }

    /// Continues above a revision after a restore, so that no instance refuses the state as old.
    pub fn continue_above(&mut self, revision: Revision) {
        self.config.revision = self.config.revision.max(revision).next();
        self.changes.clear();
        self.generation = None;
    }

    fn submit(&mut self, submission: &Submission) -> SubmissionResult {
        let content_hash = content_hash(submission);
        if let Some(known) = self.results.iter().find(|kept| kept.id == submission.id) {
            return if known.content_hash == content_hash {
                known.result
            } else {
                SubmissionResult::SubmissionIdReused
            };
        }
        let result = self
            .check(submission)
            .unwrap_or_else(|| self.commit(submission));
        self.results.push_back(KeptResult {
            id: submission.id.clone(),
            content_hash,
            result,
        });
        if self.results.len() > KEPT_RESULTS {
            self.results.pop_front();
        }
        result
    }

    fn check(&self, submission: &Submission) -> Option<SubmissionResult> {
        let config = &self.config;
        match &submission.change {
            Change::PutService { document } => {
                let current = config.service_revision(&document.service);
                if current != submission.replaces {
                    return Some(SubmissionResult::RevisionConflict(current));
                }
                let taken = config.services.iter().any(|(service, entry)| {
                    let hosts = &entry.document.hosts;
                    *service != document.service
                        && document.hosts.iter().any(|host| hosts.contains(host))
                });
                taken.then_some(SubmissionResult::HostTaken)
            }
            Change::RemoveService { service } => {
                let current = config.service_revision(service);
                if current == Revision(0) {
                    return Some(SubmissionResult::NotFound);
                }
                (current != submission.replaces)
                    .then_some(SubmissionResult::RevisionConflict(current))
            }
            Change::GiveKey { key_id, hash, .. } => {
                let known = config.keys.contains_key(hash)
                    || config.keys.values().any(|key| key.key_id == *key_id);
                known.then_some(SubmissionResult::KeyExists)
            }
            Change::WithdrawKey { key_id } => {
                let known = config.keys.values().any(|key| key.key_id == *key_id);
                (!known).then_some(SubmissionResult::NotFound)
            }
        }
    }

    fn commit(&mut self, submission: &Submission) -> SubmissionResult {
        let record = ChangeRecord {
            revision: self.config.revision.next(),
            change: submission.change.clone(),
        };
        self.config.apply(&record);
        self.changes.push_back(record);
        if self.changes.len() > KEPT_CHANGES {
            self.changes.pop_front();
        }
        SubmissionResult::Accepted(self.config.revision)
    }
}

/// Hash of what makes two submissions with one id the same one.
fn content_hash(submission: &Submission) -> [u8; 32] {
    let content = (&submission.replaces, &submission.change);
    let bytes = serde_json::to_vec(&content).unwrap_or_default();
    Sha256::digest(bytes).into()
}
