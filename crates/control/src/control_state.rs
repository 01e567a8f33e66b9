//! Replicated state machine of the control instances: submissions and the witness generation.

use std::collections::BTreeMap;

use radishpaddle_consensus::submissions::{StateError, Submission, SubmissionResult, Submissions};
use radishpaddle_model::{FleetConfig, Incarnation, InstanceId, Revision};
use radishpaddle_quorum::WitnessGroup;
use radishpaddle_replication::ReplicatedState;
use serde::{Deserialize, Serialize};

/// Command of the replicated log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCommand {
    /// Applies a submission of an operator.
    Submit(Submission),
    /// Starts a new generation of witnesses.
    StartGeneration(GenerationRecord),
}

/// Generation of witnesses. Records the incarnation with which each witness takes part from the start: a
/// later incarnation has lost its state in memory and recovers it from the other witnesses.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerationRecord {
    /// Number of the generation and its witnesses.
    pub group: WitnessGroup,
    /// Incarnations of the witnesses that take part without recovery.
    pub lives: BTreeMap<InstanceId, Incarnation>,
    /// Whether claims of an earlier generation may have been lost.
    pub claims_lost: bool,
}

/// Replicated state of the control instances.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControlState {
    /// Configuration, results of submissions, and recent changes for incremental updates.
    pub submissions: Submissions,
    /// Current generation of witnesses. `None` before the first generation and after a restore.
    pub generation: Option<GenerationRecord>,
    /// Whether the state was restored from an export. Witnesses of an unknown generation may be running then.
    pub restored: bool,
}

#[derive(Serialize, Deserialize)]
struct EncodedControlState {
    generation: Option<GenerationRecord>,
    restored: bool,
    submissions: String,
}

impl ControlState {
    /// Returns the newest committed configuration.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        self.submissions.config()
    }

    /// Applies a command of the log. Returns the result of a submission, and `None` for the start of a
    /// generation.
    ///
    /// # Errors
    ///
    /// Fails when the submission cannot be encoded. The state is then unchanged.
    pub fn apply(&mut self, command: &LogCommand) -> Result<Option<SubmissionResult>, StateError> {
        match command {
            LogCommand::Submit(submission) => {
                self.submissions.apply(&submission.encode()?).map(Some)
            }
            LogCommand::StartGeneration(record) => {
                let current = self.generation.as_ref();
                let current = current.map(|current| current.group.generation);
                if current < Some(record.group.generation) {
                    self.generation = Some(record.clone());
                    self.restored = false;
                }
                Ok(None)
            }
        }
    }

    /// Prepares a restored state: later revisions are higher than `revision`, and a new generation of witnesses
    /// has to be started.
    pub fn advance_revision_above(&mut self, revision: Revision) {
        self.submissions.advance_revision_above(revision);
        self.generation = None;
        self.restored = true;
    }

    /// Encodes the state as JSON, for snapshots and exports.
    ///
    /// # Errors
    ///
    /// Fails when a value cannot be represented in JSON.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        let submissions = self.submissions.encode()?;
        let encoded = EncodedControlState {
            generation: self.generation.clone(),
            restored: self.restored,
            submissions: String::from_utf8_lossy(&submissions).into_owned(),
        };
        Ok(serde_json::to_vec(&encoded)?)
    }

    /// Decodes the output of [`Self::encode`]. Empty input gives the initial state of a newly founded group.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a valid encoding of this version of the state.
    pub fn decode(bytes: &[u8]) -> Result<Self, StateError> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let encoded: EncodedControlState = serde_json::from_slice(bytes)?;
        Ok(Self {
            submissions: Submissions::decode(encoded.submissions.as_bytes())?,
            generation: encoded.generation,
            restored: encoded.restored,
        })
    }
}

impl ReplicatedState for ControlState {
    type Command = LogCommand;
    type Outcome = Option<SubmissionResult>;

    fn apply(&mut self, command: &LogCommand) -> anyhow::Result<Self::Outcome> {
        Ok(Self::apply(self, command)?)
    }

    fn encode(&self) -> anyhow::Result<Vec<u8>> {
        Ok(Self::encode(self)?)
    }

    fn decode(bytes: &[u8]) -> anyhow::Result<Self> {
        Ok(Self::decode(bytes)?)
    }
}
