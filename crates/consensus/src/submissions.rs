//! State machine for the submissions of operators: a replicated configuration with
//! compare-and-set and with results that a resend finds again.
//!
//! Every function is deterministic, so replicas that apply the same entries hold the same state.
//! The results are a part of the state, as the completion records of RIFL (2015), and therefore
//! survive a change of the leader and a snapshot. Whether a document is valid is checked before a
//! submission is proposed: a check that differs between two versions of the program would let
//! replicas diverge.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use radishpaddle_model::{
    Change, ChangeRecord, FleetConfig, KeyId, ResultCode, Revision, ServiceDocument, SubmissionId,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// Results that are kept for resends: two weeks at 750 changes a day (design 1.4).
pub const MAX_RESULTS: usize = 10_000;

/// Change records that are kept for deltas: six days at 750 changes a day (design 1.4).
pub const MAX_RECORDS: usize = 5_000;

/// Encoded size of the change records that are kept, in bytes. Large documents would otherwise
/// need [`MAX_RECORDS`] times the largest entry.
pub const MAX_RECORDS_BYTES: usize = 64 << 20;

/// Ids of withdrawn keys that are kept, so that a late resend cannot put a withdrawn key in force
/// again: two months if every change (design 1.4) was a withdrawal.
pub const MAX_WITHDRAWN_KEYS: usize = 50_000;

/// Version of the snapshot encoding.
const FORMAT: u32 = 1;

/// One change as an operator submits it.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the operator; a resend carries the same id.
    pub id: SubmissionId,
    /// Revision of the service that the change replaces; 0 for a new service and for keys.
    pub replaces: Revision,
    /// The change.
    pub change: Change,
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubmissionResult {
    /// The change is committed.
    Committed {
        /// Revision that the change led to.
        revision: Revision,
    },
    /// The submission replaces another revision than the current one.
    RevisionConflict {
        /// Current revision of the service.
        current: Revision,
    },
    /// The key id, or the key itself, is or was in use.
    KeyNotNew,
    /// There is no such service or key.
    NotFound,
    /// Another service has one of the hosts of the document.
    HostTaken,
    /// The submission id belongs to a submission with other content.
    IdReused,
}

/// The entry or snapshot cannot be read by this version of the program.
#[derive(Debug)]
#[derive(Error)]
pub enum StateError {
    /// The bytes are not what was encoded.
    #[error("malformed submission or snapshot: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The snapshot was written by another version.
    #[error("the snapshot has format {0}; this version reads format {FORMAT}")]
    Format(u32),
}

/// Result of a submission, with what recognises a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredResult {
    /// First 128 bits of the SHA-256 of the submission.
    fingerprint: [u64; 2],
    result: SubmissionResult,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submissions {
    config: FleetConfig,
    /// Ids of the keys in `config`, which holds the keys by hash.
    key_ids: BTreeSet<KeyId>,
    results: BTreeMap<SubmissionId, StoredResult>,
    /// Ids of `results`, oldest first.
    result_order: VecDeque<SubmissionId>,
    /// Newest change records with their encoded sizes in bytes, oldest first.
    records: VecDeque<(ChangeRecord, usize)>,
    records_bytes: usize,
    withdrawn: BTreeSet<KeyId>,
    /// Ids of `withdrawn`, oldest first.
    withdrawn_order: VecDeque<KeyId>,
}

#[derive(Serialize, Deserialize)]
struct EncodedState {
    format: u32,
    config: FleetConfig,
    results: Vec<(SubmissionId, StoredResult)>,
    records: Vec<(ChangeRecord, usize)>,
    withdrawn: Vec<KeyId>,
}

impl Submission {
    /// Bytes of a log entry.
    ///
    /// # Errors
    ///
    /// The change holds a value that has no JSON form.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Reads what [`Submission::encode`] wrote.
    ///
    /// # Errors
    ///
    /// The bytes are not a submission.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

impl SubmissionResult {
    /// Numbered code for the operator.
    #[must_use]
    pub const fn code(&self) -> ResultCode {
        match self {
            Self::Committed { .. } => ResultCode::Committed,
            Self::RevisionConflict { .. } => ResultCode::RevisionConflict,
            Self::KeyNotNew => ResultCode::KeyNotNew,
            Self::HostTaken => ResultCode::HostTaken,
            Self::NotFound => ResultCode::NotFound,
            Self::IdReused => ResultCode::SubmissionIdReused,
        }
    }
}

impl Submissions {
    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Result of an earlier submission, while it is kept.
    #[must_use]
    pub fn result(&self, id: &SubmissionId) -> Option<&SubmissionResult> {
        self.results.get(id).map(|stored| &stored.result)
    }

    /// Applies the bytes of a committed entry.
    ///
    /// # Errors
    ///
    /// The bytes are not a submission; the state is unchanged.
    pub fn apply(&mut self, entry: &[u8]) -> Result<SubmissionResult, StateError> {
        let submission = Submission::decode(entry)?;
        let fingerprint = fingerprint(entry);
        if let Some(stored) = self.results.get(&submission.id) {
            let same = stored.fingerprint == fingerprint;
            return Ok(if same {
                stored.result.clone()
            } else {
                SubmissionResult::IdReused
            });
        }
        let result = match self.refusal(&submission) {
            Some(refusal) => refusal,
            None => self.accept(submission.change, entry.len()),
        };
        let stored = StoredResult {
            fingerprint,
            result: result.clone(),
        };
        self.keep_result(submission.id, stored);
        Ok(result)
    }

    /// Why a submission is not carried out, if so.
    fn refusal(&self, submission: &Submission) -> Option<SubmissionResult> {
        match &submission.change {
            Change::PutService { document } => {
                let current = self.config.service_revision(&document.service);
                let taken = || {
                    self.has_host_of(document)
                        .then_some(SubmissionResult::HostTaken)
                };
                conflict(current, submission.replaces).or_else(taken)
            }
            Change::RemoveService { service } => {
                if !self.config.services.contains_key(service) {
                    return Some(SubmissionResult::NotFound);
                }
                conflict(self.config.service_revision(service), submission.replaces)
            }
            Change::GiveKey { key_id, hash, .. } => {
                let taken = self.key_ids.contains(key_id)
                    || self.withdrawn.contains(key_id)
                    || self.config.keys.contains_key(hash);
                taken.then_some(SubmissionResult::KeyNotNew)
            }
            Change::WithdrawKey { key_id } => {
                (!self.key_ids.contains(key_id)).then_some(SubmissionResult::NotFound)
            }
        }
    }

    /// Whether another service has a host of the document, so that a request would have two routes.
    fn has_host_of(&self, document: &ServiceDocument) -> bool {
        self.config.services.iter().any(|(service, entry)| {
            let hosts = &entry.document.hosts;
            *service != document.service && document.hosts.iter().any(|host| hosts.contains(host))
        })
    }

    fn accept(&mut self, change: Change, bytes: usize) -> SubmissionResult {
        let revision = self.config.revision.next();
        match &change {
            Change::GiveKey { key_id, .. } => {
                self.key_ids.insert(key_id.clone());
            }
            Change::WithdrawKey { key_id } => {
                self.key_ids.remove(key_id);
                self.keep_withdrawn(key_id.clone());
            }
            Change::PutService { .. } | Change::RemoveService { .. } => {}
        }
        let record = ChangeRecord { revision, change };
        self.config.apply(&record);
        self.keep_record(record, bytes);
        SubmissionResult::Committed { revision }
    }

    fn keep_result(&mut self, id: SubmissionId, stored: StoredResult) {
        self.results.insert(id.clone(), stored);
        self.result_order.push_back(id);
        if self.result_order.len() > MAX_RESULTS
            && let Some(oldest) = self.result_order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    fn keep_record(&mut self, record: ChangeRecord, bytes: usize) {
        self.records.push_back((record, bytes));
        self.records_bytes += bytes;
        while self.records.len() > MAX_RECORDS || self.records_bytes > MAX_RECORDS_BYTES {
            let Some((_, bytes)) = self.records.pop_front() else {
                break;
            };
            self.records_bytes -= bytes;
        }
    }

    fn keep_withdrawn(&mut self, key_id: KeyId) {
        self.withdrawn.insert(key_id.clone());
        self.withdrawn_order.push_back(key_id);
        if self.withdrawn_order.len() > MAX_WITHDRAWN_KEYS
            && let Some(oldest) = self.withdrawn_order.pop_front()
        {
            self.withdrawn.remove(&oldest);
        }
    }

    /// Newest changes, the latest first.
    pub fn recent_changes(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.iter().rev().map(|(record, _)| record)
    }

    /// Changes after a revision, in order. `None` when some of them are no longer kept or the
    /// revision is unknown; the receiver then needs the whole configuration.
    #[must_use]
    pub fn delta_since(&self, revision: Revision) -> Option<Vec<ChangeRecord>> {
        let missing = self.config.revision.0.checked_sub(revision.0)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.records.len().checked_sub(missing)?;
        let newest = self.records.iter().skip(first);
        Some(newest.map(|(record, _)| record.clone()).collect())
    }

    /// Bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// The state holds a value that has no JSON form.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        let results = self.result_order.iter().filter_map(|id| {
            let stored = self.results.get(id)?;
            Some((id.clone(), stored.clone()))
        });
        let state = EncodedState {
            format: FORMAT,
            config: self.config.clone(),
            results: results.collect(),
            records: self.records.iter().cloned().collect(),
            withdrawn: self.withdrawn_order.iter().cloned().collect(),
        };
        Ok(serde_json::to_vec(&state)?)
    }

    /// Reads what [`Submissions::encode`] wrote. No bytes are the empty state, with which a group
    /// is founded.
    ///
    /// # Errors
    ///
    /// The bytes are not a snapshot of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let state: EncodedState = serde_json::from_slice(bytes)?;
        if state.format != FORMAT {
            return Err(StateError::Format(state.format));
        }
        let records_bytes = state.records.iter().map(|(_, bytes)| bytes).sum();
        let keys = state.config.keys.values();
        Ok(Self {
            key_ids: keys.map(|key| key.key_id.clone()).collect(),
            config: state.config,
            result_order: state.results.iter().map(|(id, _)| id.clone()).collect(),
            results: state.results.into_iter().collect(),
            records: state.records.into(),
            records_bytes,
            withdrawn: state.withdrawn.iter().cloned().collect(),
            withdrawn_order: state.withdrawn.into(),
        })
    }

    /// Prepares the state of an export for a new group: its revision becomes higher than
    /// `highest_known`, the highest revision that any witness has stored, so that no instance
    /// takes it for old (design 4.6). There is no delta from earlier revisions to it.
    pub fn continue_above(&mut self, highest_known: Revision) {
        self.config.revision = self.config.revision.max(highest_known).next();
        self.records.clear();
        self.records_bytes = 0;
    }
}

fn conflict(current: Revision, replaces: Revision) -> Option<SubmissionResult> {
    (current != replaces).then_some(SubmissionResult::RevisionConflict { current })
}

fn fingerprint(entry: &[u8]) -> [u64; 2] {
    let digest = Sha256::digest(entry);
    let word = |range: std::ops::Range<usize>| {
        let bytes = &digest[range];
        bytes
            .iter()
            .fold(0, |word, byte| (word << 8) | u64::from(*byte))
    };
    [word(0..8), word(8..16)]
}
