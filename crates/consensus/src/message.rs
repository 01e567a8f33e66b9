//! Messages between replicas.

use std::sync::Arc;

use crate::codec::{DecodeError, Reader, Writer};
use crate::entry::{Entry, ReplicaId, SnapshotMeta};

/// Largest encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Entry bytes in one message; leaves room for the fields around them.
pub const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES - 1024;

/// Snapshot bytes in one message; leaves room for the largest membership.
pub const MAX_CHUNK_BYTES: usize = 192 * 1024;

/// A message from one replica to another. Messages may be lost, delayed, reordered and duplicated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Group of the sender; messages of another group are dropped.
    pub group: u64,
    /// Term of the sender; in pre-votes the term that the sender would start.
    pub term: u64,
    /// Content.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether an election could succeed; changes no term.
    PreVote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Index of the membership that the sender knows.
        membership_index: u64,
    },
    /// Answers [`Body::PreVote`].
    PreVoteResponse {
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Asks for the vote in the term of the message.
    Vote {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Index of the membership that the sender knows.
        membership_index: u64,
        /// Whether the current leader asked the sender to take over.
        transfer: bool,
    },
    /// Answers [`Body::Vote`].
    VoteResponse {
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Replicates entries; without entries it is a heartbeat.
    Append {
        /// Index before the first entry.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Index up to which the sender knows entries to be committed.
        commit: u64,
        /// Number of the sender's newest read round.
        round: u64,
        /// Consecutive entries from `prev_index + 1` on.
        entries: Vec<Entry>,
    },
    /// The sender's disk holds the receiver's log up to `matched`.
    Accepted {
        /// Last index that is durable and equal to the receiver's log.
        matched: u64,
        /// Read round of the message that is answered.
        round: u64,
    },
    /// The sender's log does not hold `prev_index` and `prev_term` of an append.
    Rejected {
        /// `prev_index` of the append.
        prev_index: u64,
        /// Last index at which the logs may agree.
        hint: u64,
        /// Read round of the message that is answered.
        round: u64,
    },
    /// One part of a snapshot.
    Chunk {
        /// Position and membership of the snapshot.
        meta: SnapshotMeta,
        /// Size of the whole snapshot in bytes.
        total_bytes: u64,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// Number of the sender's newest read round.
        round: u64,
        /// Bytes of the part.
        data: Arc<[u8]>,
    },
    /// Answers [`Body::Chunk`].
    ChunkAccepted {
        /// Index of the snapshot.
        index: u64,
        /// Offset in bytes of the next part that the sender needs.
        next_offset: u64,
        /// Read round of the message that is answered.
        round: u64,
    },
    /// The leader asks the receiver, whose log is complete, to start an election at once.
    TimeoutNow,
    /// A committed membership newer than the receiver's does not contain the receiver.
    NotMember {
        /// Index of that membership.
        membership_index: u64,
    },
}

impl Message {
    /// Bytes for the network, at most [`MAX_MESSAGE_BYTES`].
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        writer.u64(self.from.0);
        writer.u64(self.to.0);
        writer.u64(self.group);
        writer.u64(self.term);
        self.body.write(&mut writer);
        writer.finish()
    }

    /// Reads what [`Message::encode`] wrote.
    ///
    /// # Errors
    ///
    /// The bytes are not a message, or are more than [`MAX_MESSAGE_BYTES`].
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(DecodeError);
        }
        let mut reader = Reader::new(bytes);
        let message = Self {
            from: ReplicaId(reader.u64()?),
            to: ReplicaId(reader.u64()?),
            group: reader.u64()?,
            term: reader.u64()?,
            body: Body::read(&mut reader)?,
        };
        reader.end()?;
        Ok(message)
    }
}

impl Body {
    fn write(&self, writer: &mut Writer) {
        match self {
            Self::PreVote {
                last_index,
                last_term,
                membership_index,
            } => write_numbers(writer, 0, &[*last_index, *last_term, *membership_index]),
            Self::PreVoteResponse { granted } => {
                writer.u8(1);
                writer.bool(*granted);
            }
            Self::Vote {
                last_index,
                last_term,
                membership_index,
                transfer,
            } => {
                write_numbers(writer, 2, &[*last_index, *last_term, *membership_index]);
                writer.bool(*transfer);
            }
            Self::VoteResponse { granted } => {
                writer.u8(3);
                writer.bool(*granted);
            }
            Self::Append {
                prev_index,
                prev_term,
                commit,
                round,
                entries,
            } => {
                write_numbers(writer, 4, &[*prev_index, *prev_term, *commit, *round]);
                writer.length(entries.len());
                for entry in entries {
                    entry.write(writer);
                }
            }
            Self::Accepted { matched, round } => write_numbers(writer, 5, &[*matched, *round]),
            Self::Rejected {
                prev_index,
                hint,
                round,
            } => write_numbers(writer, 6, &[*prev_index, *hint, *round]),
            Self::Chunk {
                meta,
                total_bytes,
                offset,
                round,
                data,
            } => {
                write_numbers(writer, 7, &[*total_bytes, *offset, *round]);
                meta.write(writer);
                writer.bytes(data);
            }
            Self::ChunkAccepted {
                index,
                next_offset,
                round,
            } => write_numbers(writer, 8, &[*index, *next_offset, *round]),
            Self::TimeoutNow => writer.u8(9),
            Self::NotMember { membership_index } => write_numbers(writer, 10, &[*membership_index]),
        }
    }

    fn read(reader: &mut Reader<'_>) -> Result<Self, DecodeError> {
        Ok(match reader.u8()? {
            0 => Self::PreVote {
                last_index: reader.u64()?,
                last_term: reader.u64()?,
                membership_index: reader.u64()?,
            },
            1 => Self::PreVoteResponse {
                granted: reader.bool()?,
            },
            2 => Self::Vote {
                last_index: reader.u64()?,
                last_term: reader.u64()?,
                membership_index: reader.u64()?,
                transfer: reader.bool()?,
            },
            3 => Self::VoteResponse {
                granted: reader.bool()?,
            },
            4 => Self::Append {
                prev_index: reader.u64()?,
                prev_term: reader.u64()?,
                commit: reader.u64()?,
                round: reader.u64()?,
                entries: read_entries(reader)?,
            },
            5 => Self::Accepted {
                matched: reader.u64()?,
                round: reader.u64()?,
            },
            6 => Self::Rejected {
                prev_index: reader.u64()?,
                hint: reader.u64()?,
                round: reader.u64()?,
            },
            7 => Self::Chunk {
                total_bytes: reader.u64()?,
                offset: reader.u64()?,
                round: reader.u64()?,
                meta: SnapshotMeta::read(reader)?,
                data: reader.bytes()?.into(),
            },
            8 => Self::ChunkAccepted {
                index: reader.u64()?,
                next_offset: reader.u64()?,
                round: reader.u64()?,
            },
            9 => Self::TimeoutNow,
            10 => Self::NotMember {
                membership_index: reader.u64()?,
            },
            _ => return Err(DecodeError),
        })
    }
}

fn write_numbers(writer: &mut Writer, tag: u8, numbers: &[u64]) {
    writer.u8(tag);
    for number in numbers {
        writer.u64(*number);
    }
}

fn read_entries(reader: &mut Reader<'_>) -> Result<Vec<Entry>, DecodeError> {
    let count = reader.length()?;
    let mut entries = Vec::new();
    for _ in 0..count {
        entries.push(Entry::read(reader)?);
    }
    let consecutive = |pair: &[Entry]| pair[1].index.checked_sub(1) == Some(pair[0].index);
    if entries.windows(2).all(consecutive) {
        Ok(entries)
    } else {
        Err(DecodeError)
    }
}
