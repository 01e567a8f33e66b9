//! Replicated application of the simulation: a register with compare-and-set.

use std::sync::Arc;

/// Register state. `winners[n - 1]` is the id of the submission that committed revision n.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Machine {
    pub applied: u64,
    pub winners: Vec<u64>,
}

/// Compare-and-set operation that succeeds if the current revision is `expected`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Submission {
    pub id: u64,
    pub expected: u64,
}

impl Submission {
    pub fn encode(self) -> Arc<[u8]> {
        [self.id.to_le_bytes(), self.expected.to_le_bytes()]
            .concat()
            .into()
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let numbers = numbers(bytes);
        Self {
            id: numbers[0],
            expected: numbers[1],
        }
    }
}

fn numbers(bytes: &[u8]) -> Vec<u64> {
    let number = |chunk: &[u8]| u64::from_le_bytes(chunk.try_into().unwrap());
    bytes.chunks_exact(8).map(number).collect()
}

impl Machine {
    pub fn revision(&self) -> u64 {
        self.winners.len() as u64
    }

    /// Applies a submission and returns the new revision; `None` if another submission was faster.
    pub fn apply(&mut self, submission: Submission) -> Option<u64> {
        if submission.expected != self.revision() {
            return None;
        }
        self.winners.push(submission.id);
        Some(self.revision())
    }

    pub fn encode(&self) -> Arc<[u8]> {
        let numbers = std::iter::once(&self.applied).chain(&self.winners);
        let bytes: Vec<u8> = numbers.flat_map(|number| number.to_le_bytes()).collect();
        bytes.into()
    }

    pub fn decode(bytes: &[u8]) -> Self {
        let numbers = numbers(bytes);
        Self {
            applied: numbers.first().copied().unwrap_or(0),
            winners: numbers.get(1..).unwrap_or(&[]).to_vec(),
        }
    }
}
