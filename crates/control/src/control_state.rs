//! State that every control replica derives from the replicated log: submissions and witnesses.

use std::collections::BTreeMap;

use radishpaddle_consensus::submissions::{StateError, Submission, SubmissionResult, Submissions};
use radishpaddle_model::{FleetConfig, Incarnation, InstanceId, Revision};
use radishpaddle_quorum::WitnessGroup;
use radishpaddle_replication::ReplicatedState;
use serde::{Deserialize, Serialize};

/// One entry of the replicated log.
#[derive(Debug, Clone, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogCommand {
    /// An operator's submission.
    Submit(Submission),
    /// A new generation of witnesses.
    StartGeneration(GenerationRecord),
}

/// Witnesses that form a generation, each in the life in which it takes part from the start. A later
/// life has lost its memory and recovers from the others.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerationRecord {
    /// The group.
    pub group: WitnessGroup,
    /// Lives that start the generation.
    pub lives: BTreeMap<InstanceId, Incarnation>,
    /// Whether claims of an earlier generation may be lost.
    pub claims_lost: bool,
}

/// The replicated state.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ControlState {
    /// Configuration, results of submissions and changes for deltas.
    pub submissions: Submissions,
    /// Witnesses; absent before the first generation and after a restore.
    pub generation: Option<GenerationRecord>,
    /// Whether the state comes from an export, so that witnesses of an unknown generation may run.
    pub restored: bool,
}

#[derive(Serialize, Deserialize)]
struct EncodedControlState {
    generation: Option<GenerationRecord>,
    restored: bool,
    submissions: String,
}

impl ControlState {
    /// Configuration in force.
    #[must_use]
    pub fn config(&self) -> &FleetConfig {
        self.submissions.config()
    }

    /// Applies a command of the log. Generations give no result.
    ///
    /// # Errors
    ///
    /// Fails when the submission cannot be encoded; the state is unchanged then.
    pub fn apply(&mut self, command: &LogCommand) -> Result<Option<SubmissionResult>, StateError> {
        match command {
            LogCommand::Submit(submission) => {
                self.submissions.apply(&submission.encode()?).map(Some)
            }
            LogCommand::StartGeneration(record) => {
                let current = self.generation.as_ref().map(|known| known.group.generation);
                if current < Some(record.group.generation) {
                    self.generation = Some(record.clone());
                    self.restored = false;
                }
                Ok(None)
            }
        }
    }

    /// Continues above a revision after a restore, with a new generation of witnesses.
    pub fn continue_above(&mut self, revision: Revision) {
        self.submissions.continue_above(revision);
        self.generation = None;
        self.restored = true;
    }

    /// Bytes of a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when a value has no JSON form.
    pub fn encode(&self) -> Result<Vec<u8>, StateError> {
        let submissions = self.submissions.encode()?;
        let encoded = EncodedControlState {
            generation: self.generation.clone(),
            restored: self.restored,
            submissions: String::from_utf8_lossy(&submissions).into_owned(),
        };
        Ok(serde_json::to_vec(&encoded)?)
    }

    /// Reads what [`Self::encode`] wrote. No bytes are the empty state, with which a group is
    /// founded.
    ///
    /// # Errors
    ///
    /// Fails when the bytes are not a state of this version.
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
