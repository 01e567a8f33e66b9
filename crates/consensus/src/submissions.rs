//! State machine for the submissions of operators: a replicated configuration that is changed by
//! compare-and-set. The results are stored, so that a resent submission returns the first result.
//!
//! Every function is deterministic, so replicas that apply the same entries hold the same state.
//! The results are part of the state, like the completion records of RIFL (2015), and therefore
//! survive leader changes and snapshots. Documents are validated before a submission is proposed
//! and not when it is applied: a check that differs between two versions of the program would make
//! replicas diverge.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use radishpaddle_model::{
    Change, ChangeRecord, FleetConfig, KeyId, ResultCode, Revision, ServiceDocument, SubmissionId,
};
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};
use thiserror::Error;

/// Maximum number of results stored for resent submissions: two weeks at 750 changes a day
/// (design 1.4).
pub const MAX_STORED_RESULTS: usize = 10_000;

/// Maximum number of change records stored for deltas: six days at 750 changes a day (design 1.4).
pub const MAX_CHANGE_RECORDS: usize = 5_000;

/// Maximum encoded size of the stored change records, in bytes. Without this limit, large documents
/// would need up to [`MAX_CHANGE_RECORDS`] times the largest entry.
pub const MAX_CHANGE_RECORD_BYTES: usize = 64 << 20;

/// Maximum number of stored ids of withdrawn keys, so that a late resend cannot add a withdrawn key
/// again: two months if every change (design 1.4) was a withdrawal.
pub const MAX_WITHDRAWN_KEYS: usize = 50_000;

/// Format version of the snapshot encoding.
const SNAPSHOT_FORMAT: u32 = 1;

/// Change submitted by an operator.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Submission {
    /// Chosen by the operator; a resend has the same id.
    pub id: SubmissionId,
    /// Revision of the service that the change replaces; 0 for a new service and for keys.
    pub replaces: Revision,
    /// The change.
    pub change: Change,
}

/// Result of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum SubmissionResult {
    /// The change is committed.
    Committed {
        /// Revision of the configuration after the change.
        revision: Revision,
    },
    /// The submission replaces a revision other than the current one.
    RevisionConflict {
        /// Current revision of the service.
        current: Revision,
    },
    /// The key id, or the key itself, is or was in use.
    KeyNotNew,
    /// The service or key does not exist.
    NotFound,
    /// Another service already uses one of the hosts of the document.
    HostTaken,
    /// The submission id was already used for a submission with different content.
    IdReused,
}

/// Error returned when a submission or snapshot cannot be encoded, or cannot be read by this
/// version of the program.
#[derive(Debug)]
#[derive(Error)]
pub enum StateError {
    /// The JSON is malformed, or a value has no JSON form.
    #[error("malformed submission or snapshot: {0}")]
    Malformed(#[from] serde_json::Error),
    /// The snapshot was written in another format by another version of the program.
    #[error("the snapshot has format {0}; this version reads format {SNAPSHOT_FORMAT}")]
    Format(u32),
}

/// Result of a submission, with the fingerprint that identifies a resend.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct StoredResult {
    /// First 128 bits of the SHA-256 of the submission.
    fingerprint: [u64; 2],
    result: SubmissionResult,
}

/// Replicated configuration with the results of submissions.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Submissions {
    config: FleetConfig,
    /// Ids of the keys in `config`, which maps keys by hash.
    key_ids: BTreeSet<KeyId>,
    results: BTreeMap<SubmissionId, StoredResult>,
    /// Keys of `results`, oldest first.
    result_order: VecDeque<SubmissionId>,
    /// Most recent change records with their encoded sizes in bytes, oldest first.
    records: VecDeque<(ChangeRecord, usize)>,
    records_bytes: usize,
    withdrawn_key_ids: BTreeSet<KeyId>,
    /// Entries of `withdrawn_key_ids`, oldest first.
    withdrawn_key_order: VecDeque<KeyId>,
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
    /// Encodes the submission as the data of a log entry.
    ///
    /// # Errors
    ///
    /// Returns an error if the change contains a value that has no JSON form.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        Ok(serde_json::to_vec(self)?)
    }

    /// Decodes a submission that [`Submission::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded submission.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        Ok(serde_json::from_slice(bytes)?)
    }
}

impl SubmissionResult {
    /// Returns the numeric result code that is reported to the operator.
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
    /// Returns the current configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        &self.config
    }

    /// Returns the result of an earlier submission, if it is still stored.
    #[must_use]
    pub fn result(&self, id: &SubmissionId) -> Option<&SubmissionResult> {
        self.results.get(id).map(|stored| &stored.result)
    }

    /// Applies the data of a committed entry. A resent submission returns its first result without
    /// being applied again.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded submission; the state is unchanged.
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
        let result = match self.rejection(&submission) {
            Some(rejection) => rejection,
            None => self.apply_change(submission.change, entry.len()),
        };
        let stored = StoredResult {
            fingerprint,
            result: result.clone(),
        };
        self.store_result(submission.id, stored);
        Ok(result)
    }

    /// Returns the result of a submission that cannot be applied; `None` if it can.
    fn rejection(&self, submission: &Submission) -> Option<SubmissionResult> {
        match &submission.change {
            Change::PutService { document } => {
                let current = self.config.service_revision(&document.service);
                let taken = || {
                    self.is_host_taken(document)
                        .then_some(SubmissionResult::HostTaken)
                };
                revision_conflict(current, submission.replaces).or_else(taken)
            }
            Change::RemoveService { service } => {
                if !self.config.services.contains_key(service) {
                    return Some(SubmissionResult::NotFound);
                }
                revision_conflict(self.config.service_revision(service), submission.replaces)
            }
            Change::AddKey { key_id, hash, .. } => {
                let taken = self.key_ids.contains(key_id)
                    || self.withdrawn_key_ids.contains(key_id)
                    || self.config.keys.contains_key(hash);
                taken.then_some(SubmissionResult::KeyNotNew)
            }
            Change::WithdrawKey { key_id } => {
                (!self.key_ids.contains(key_id)).then_some(SubmissionResult::NotFound)
            }
        }
    }

    /// Returns whether another service uses a host of the document, which would make the route of a
    /// request ambiguous.
    fn is_host_taken(&self, document: &ServiceDocument) -> bool {
        self.config.services.iter().any(|(service, entry)| {
            let hosts = &entry.document.hosts;
            *service != document.service && document.hosts.iter().any(|host| hosts.contains(host))
        })
    }

    fn apply_change(&mut self, change: Change, bytes: usize) -> SubmissionResult {
        let revision = self.config.revision.next();
        match &change {
            Change::AddKey { key_id, .. } => {
                self.key_ids.insert(key_id.clone());
            }
            Change::WithdrawKey { key_id } => {
                self.key_ids.remove(key_id);
                self.store_withdrawn_key(key_id.clone());
            }
            Change::PutService { .. } | Change::RemoveService { .. } => {}
        }
        let record = ChangeRecord { revision, change };
        self.config.apply(&record);
        self.store_record(record, bytes);
        SubmissionResult::Committed { revision }
    }

    fn store_result(&mut self, id: SubmissionId, stored: StoredResult) {
        self.results.insert(id.clone(), stored);
        self.result_order.push_back(id);
        if self.result_order.len() > MAX_STORED_RESULTS
            && let Some(oldest) = self.result_order.pop_front()
        {
            self.results.remove(&oldest);
        }
    }

    fn store_record(&mut self, record: ChangeRecord, bytes: usize) {
        self.records.push_back((record, bytes));
        self.records_bytes += bytes;
        while self.records.len() > MAX_CHANGE_RECORDS
            || self.records_bytes > MAX_CHANGE_RECORD_BYTES
        {
            let Some((_, bytes)) = self.records.pop_front() else {
                break;
            };
            self.records_bytes -= bytes;
        }
    }

    fn store_withdrawn_key(&mut self, key_id: KeyId) {
        self.withdrawn_key_ids.insert(key_id.clone());
        self.withdrawn_key_order.push_back(key_id);
        if self.withdrawn_key_order.len() > MAX_WITHDRAWN_KEYS
            && let Some(oldest) = self.withdrawn_key_order.pop_front()
        {
            self.withdrawn_key_ids.remove(&oldest);
        }
    }

    /// Returns the stored change records, newest first.
    pub fn recent_changes(&self) -> impl Iterator<Item = &ChangeRecord> {
        self.records.iter().rev().map(|(record, _)| record)
    }

    /// Returns the changes after a revision, oldest first. `None` if some of them are no longer
    /// stored or the revision is unknown; the receiver then needs the full configuration.
    #[must_use]
    pub fn delta_since(&self, revision: Revision) -> Option<Vec<ChangeRecord>> {
        let missing = self.config.revision.0.checked_sub(revision.0)?;
        let missing = usize::try_from(missing).ok()?;
        let first = self.records.len().checked_sub(missing)?;
        let newest = self.records.iter().skip(first);
        Some(newest.map(|(record, _)| record.clone()).collect())
    }

    /// Encodes the state as the data of a snapshot.
    ///
    /// # Errors
    ///
    /// Returns an error if the state contains a value that has no JSON form.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        let results = self.result_order.iter().filter_map(|id| {
            let stored = self.results.get(id)?;
            Some((id.clone(), stored.clone()))
        });
        let state = EncodedState {
            format: SNAPSHOT_FORMAT,
            config: self.config.clone(),
            results: results.collect(),
            records: self.records.iter().cloned().collect(),
            withdrawn: self.withdrawn_key_order.iter().cloned().collect(),
        };
        Ok(serde_json::to_vec(&state)?)
    }

    /// Decodes a state that [`Submissions::encode`] returned. Empty input decodes to the empty
    /// state, with which a new group starts.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a snapshot in the format of this version.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let state: EncodedState = serde_json::from_slice(bytes)?;
        if state.format != SNAPSHOT_FORMAT {
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
            withdrawn_key_ids: state.withdrawn.iter().cloned().collect(),
            withdrawn_key_order: state.withdrawn.into(),
        })
    }

    /// Prepares an exported state for a new group: its revision becomes higher than
    /// `highest_known`, the highest revision that any witness has stored, so that no instance
    /// considers it outdated (design 4.6). Deltas from earlier revisions are not available.
    pub fn advance_revision_above(&mut self, highest_known: Revision) {
        self.config.revision = self.config.revision.max(highest_known).next();
        self.records.clear();
        self.records_bytes = 0;
    }
}

fn revision_conflict(current: Revision, replaces: Revision) -> Option<SubmissionResult> {
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
