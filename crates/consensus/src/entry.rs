//! Log entries and snapshots.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::codec::{DecodeError, Reader, Writer};
use crate::membership::Membership;

/// Maximum payload of one entry, in bytes. A message with one entry of this size stays within
/// [`crate::message::MAX_MESSAGE_BYTES`].
pub const MAX_ENTRY_BYTES: usize = 1020 * 1024;

/// Maximum size of a snapshot, in bytes. A replica holds at most two snapshots in memory.
pub const MAX_SNAPSHOT_BYTES: usize = 256 << 20;

/// Identity of a replica and its disk, drawn at random when the data directory is created. A
/// replica that starts with an empty disk therefore never reuses an earlier identity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for ReplicaId {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// Entry of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Content of the entry.
    pub payload: Payload,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Payload {
    /// No content. A new leader commits such an entry to find the current commit index.
    Empty,
    /// Opaque command of the application.
    Data(Arc<[u8]>),
    /// Membership that is in force from this entry on.
    Membership(Membership),
}

/// Log position and membership of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotMeta {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Membership in force at that entry.
    pub membership: Membership,
    /// Index of the entry that set this membership.
    pub membership_index: u64,
}

/// Application state at one log position, with the metadata needed to continue the log from there.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Snapshot {
    /// Log position and membership.
    pub meta: SnapshotMeta,
    /// Encoded application state, opaque to the log.
    pub data: Arc<[u8]>,
}

impl Payload {
    /// Encodes the payload for storage.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        self.write(&mut writer);
        writer.finish()
    }

    /// Decodes a payload that [`Payload::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded payload.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut reader = Reader::new(bytes);
        let payload = Self::read(&mut reader)?;
        reader.end()?;
        Ok(payload)
    }

    /// Upper bound of the encoded size, in bytes.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Empty => 1,
            Self::Data(data) => 5 + data.len(),
            Self::Membership(membership) => 1 + membership.size(),
        }
    }

    pub(crate) fn write(&self, writer: &mut Writer) {
        match self {
            Self::Empty => writer.u8(0),
            Self::Data(data) => {
                writer.u8(1);
                writer.bytes(data);
            }
            Self::Membership(membership) => {
                writer.u8(2);
                membership.write(writer);
            }
        }
    }

    pub(crate) fn read(reader: &mut Reader<'_>) -> Result<Self, DecodeError> {
        match reader.u8()? {
            0 => Ok(Self::Empty),
            1 => Ok(Self::Data(reader.bytes()?.into())),
            2 => Ok(Self::Membership(Membership::read(reader)?)),
            _ => Err(DecodeError),
        }
    }
}

impl Entry {
    /// Upper bound of the encoded size, in bytes.
    pub(crate) fn size(&self) -> usize {
        16 + self.payload.size()
    }

    pub(crate) fn write(&self, writer: &mut Writer) {
        writer.u64(self.index);
        writer.u64(self.term);
        self.payload.write(writer);
    }

    pub(crate) fn read(reader: &mut Reader<'_>) -> Result<Self, DecodeError> {
        Ok(Self {
            index: reader.u64()?,
            term: reader.u64()?,
            payload: Payload::read(reader)?,
        })
    }
}

impl SnapshotMeta {
    pub(crate) fn write(&self, writer: &mut Writer) {
        writer.u64(self.index);
        writer.u64(self.term);
        writer.u64(self.membership_index);
        self.membership.write(writer);
    }

    pub(crate) fn read(reader: &mut Reader<'_>) -> Result<Self, DecodeError> {
        Ok(Self {
            index: reader.u64()?,
            term: reader.u64()?,
            membership_index: reader.u64()?,
            membership: Membership::read(reader)?,
        })
    }
}

impl Snapshot {
    /// Encodes the snapshot for storage.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut writer = Writer::default();
        self.meta.write(&mut writer);
        writer.bytes(&self.data);
        writer.finish()
    }

    /// Decodes a snapshot that [`Snapshot::encode`] returned.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an encoded snapshot.
    pub fn decode(bytes: &[u8]) -> Result<Self, DecodeError> {
        let mut reader = Reader::new(bytes);
        let meta = SnapshotMeta::read(&mut reader)?;
        let data = reader.bytes()?.into();
        reader.end()?;
        Ok(Self { meta, data })
    }
}
