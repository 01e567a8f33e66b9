//! Messages between replicas.

use std::sync::Arc;

use crate::codec::{DecodeError, Reader, Writer};
use crate::entry::{Entry, ReplicaId, SnapshotMeta};

/// Maximum size of an encoded message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 1024 * 1024;

/// Maximum size of the entries in one message, in bytes. Leaves room for the other fields.
pub const MAX_BATCH_BYTES: usize = MAX_MESSAGE_BYTES - 1024;

/// Maximum size of the snapshot data in one message, in bytes. Leaves room for the largest
/// membership.
pub const MAX_CHUNK_BYTES: usize = 192 * 1024;

/// Message from one replica to another. Messages may be lost, delayed, reordered and duplicated.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Group of the sender. The receiver drops messages of other groups.
    pub group: u64,
    /// Term of the sender. In a pre-vote request and a granted pre-vote response, the term that the
    /// candidate would start.
    pub term: u64,
    /// Content of the message.
    pub body: Body,
}

/// Content of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Asks whether the receiver would grant its vote; does not change the term.
    PreVoteRequest {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Index of the newest membership known to the sender.
        membership_index: u64,
    },
    /// Response to [`Body::PreVoteRequest`].
    PreVoteResponse {
        /// Whether the sender would vote for the receiver.
        granted: bool,
    },
    /// Requests the vote in the term of the message.
    VoteRequest {
        /// Index of the sender's last entry.
        last_index: u64,
        /// Term of the sender's last entry.
        last_term: u64,
        /// Index of the newest membership known to the sender.
        membership_index: u64,
        /// Whether the current leader transfers its leadership to the sender.
        transfer: bool,
    },
    /// Response to [`Body::VoteRequest`].
    VoteResponse {
        /// Whether the sender voted for the receiver.
        granted: bool,
    },
    /// Replicates entries. Without entries it is a heartbeat.
    AppendEntries {
        /// Index before the first entry.
        prev_index: u64,
        /// Term of the entry at `prev_index`.
        prev_term: u64,
        /// Commit index of the sender.
        commit_index: u64,
        /// Number of the newest read round of the sender.
        read_round: u64,
        /// Consecutive entries from `prev_index + 1` on.
        entries: Vec<Entry>,
    },
    /// Acknowledges that the log of the receiver is durable on the sender up to `match_index`. Sent
    /// in response to entries and to the last chunk of a snapshot.
    Accepted {
        /// Highest index that is durable and equal in both logs.
        match_index: u64,
        /// `read_round` of the message that this one responds to.
        read_round: u64,
    },
    /// Rejects entries because the log of the sender does not contain `prev_index` with
    /// `prev_term`, or because the receiver's term is outdated.
    Rejected {
        /// `prev_index` of the rejected message.
        prev_index: u64,
        /// Highest index at which the logs may be equal.
        hint: u64,
        /// `read_round` of the message that this one responds to.
        read_round: u64,
    },
    /// Transfers a chunk of a snapshot.
    SnapshotChunk {
        /// Log position and membership of the snapshot.
        meta: SnapshotMeta,
        /// Size of the whole snapshot in bytes.
        total_bytes: u64,
        /// Offset of `data` in the snapshot, in bytes.
        offset: u64,
        /// Number of the newest read round of the sender.
        read_round: u64,
        /// Data of the chunk.
        data: Arc<[u8]>,
    },
    /// Response to a [`Body::SnapshotChunk`] while the snapshot is incomplete.
    SnapshotChunkAccepted {
        /// Index of the snapshot.
        index: u64,
        /// Offset of the next chunk that the sender needs, in bytes.
        next_offset: u64,
        /// `read_round` of the message that this one responds to.
        read_round: u64,
    },
    /// Requests that the receiver, whose log is complete, start an election immediately.
    TimeoutNow,
    /// Informs the receiver that a committed membership, newer than the one it knows, does not
    /// contain it.
    NotMember {
        /// Index of that membership.
        membership_index: u64,
    },
}

impl Message {
    /// Encodes the message for the network, with at most [`MAX_MESSAGE_BYTES`].
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

    /// Decodes a message that [`Message::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded message or exceed [`MAX_MESSAGE_BYTES`].
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
            Self::PreVoteRequest {
                last_index,
                last_term,
                membership_index,
            } => write_numbers(writer, 0, &[*last_index, *last_term, *membership_index]),
            Self::PreVoteResponse { granted } => {
                writer.u8(1);
                writer.bool(*granted);
            }
            Self::VoteRequest {
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
            Self::AppendEntries {
                prev_index,
                prev_term,
                commit_index,
                read_round,
                entries,
            } => {
                write_numbers(
                    writer,
                    4,
                    &[*prev_index, *prev_term, *commit_index, *read_round],
                );
                writer.length(entries.len());
                for entry in entries {
                    entry.write(writer);
                }
            }
            Self::Accepted {
                match_index,
                read_round,
            } => write_numbers(writer, 5, &[*match_index, *read_round]),
            Self::Rejected {
                prev_index,
                hint,
                read_round,
            } => write_numbers(writer, 6, &[*prev_index, *hint, *read_round]),
            Self::SnapshotChunk {
                meta,
                total_bytes,
                offset,
                read_round,
                data,
            } => {
                write_numbers(writer, 7, &[*total_bytes, *offset, *read_round]);
                meta.write(writer);
                writer.bytes(data);
            }
            Self::SnapshotChunkAccepted {
                index,
                next_offset,
                read_round,
            } => write_numbers(writer, 8, &[*index, *next_offset, *read_round]),
            Self::TimeoutNow => writer.u8(9),
            Self::NotMember { membership_index } => write_numbers(writer, 10, &[*membership_index]),
        }
    }

    fn read(reader: &mut Reader<'_>) -> Result<Self, DecodeError> {
        Ok(match reader.u8()? {
            0 => Self::PreVoteRequest {
                last_index: reader.u64()?,
                last_term: reader.u64()?,
                membership_index: reader.u64()?,
            },
            1 => Self::PreVoteResponse {
                granted: reader.bool()?,
            },
            2 => Self::VoteRequest {
                last_index: reader.u64()?,
                last_term: reader.u64()?,
                membership_index: reader.u64()?,
                transfer: reader.bool()?,
            },
            3 => Self::VoteResponse {
                granted: reader.bool()?,
            },
            4 => Self::AppendEntries {
                prev_index: reader.u64()?,
                prev_term: reader.u64()?,
                commit_index: reader.u64()?,
                read_round: reader.u64()?,
                entries: read_entries(reader)?,
            },
            5 => Self::Accepted {
                match_index: reader.u64()?,
                read_round: reader.u64()?,
            },
            6 => Self::Rejected {
                prev_index: reader.u64()?,
                hint: reader.u64()?,
                read_round: reader.u64()?,
            },
            7 => Self::SnapshotChunk {
                total_bytes: reader.u64()?,
                offset: reader.u64()?,
                read_round: reader.u64()?,
                meta: SnapshotMeta::read(reader)?,
                data: reader.bytes()?.into(),
            },
            8 => Self::SnapshotChunkAccepted {
                index: reader.u64()?,
                next_offset: reader.u64()?,
                read_round: reader.u64()?,
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
