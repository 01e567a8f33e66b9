//! Transfer of snapshots in chunks of bounded size.

use std::sync::Arc;

use crate::entry::{MAX_SNAPSHOT_BYTES, ReplicaId, Snapshot, SnapshotMeta};
use crate::message::Body;
use crate::progress::ReplicationMode;
use crate::replica::Replica;

/// Partially received snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    meta: SnapshotMeta,
    total_bytes: u64,
    data: Vec<u8>,
}

impl Replica {
    pub(crate) fn start_snapshot(&mut self, peer: ReplicaId) {
        let (Some(progress), Some(snapshot)) =
            (self.leadership.progress.get_mut(&peer), &self.snapshot)
        else {
            return;
        };
        progress.begin_snapshot(snapshot.clone());
        self.send_chunk(peer);
    }

    /// Sends the next chunk, unless one was already sent since the last response or heartbeat.
    pub(crate) fn send_chunk(&mut self, peer: ReplicaId) {
        let Some(progress) = self.leadership.progress.get_mut(&peer) else {
            return;
        };
        let (ReplicationMode::Snapshot { offset }, Some(snapshot)) =
            (progress.mode, &progress.outgoing_snapshot)
        else {
            return;
        };
        if std::mem::replace(&mut progress.awaiting_response, true) {
            return;
        }
        let total = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = total.min(start + self.config.max_chunk_bytes);
        let body = Body::SnapshotChunk {
            meta: snapshot.meta.clone(),
            total_bytes: total as u64,
            offset: start as u64,
            read_round: self.leadership.read_round,
            data: snapshot.data[start..end].into(),
        };
        self.send(peer, body);
    }

    pub(crate) fn on_chunk_accepted(&mut self, from: ReplicaId, index: u64, next_offset: u64) {
        let Some(progress) = self.leadership.progress.get_mut(&from) else {
            return;
        };
        let sending = matches!(progress.mode, ReplicationMode::Snapshot { .. });
        if sending && progress.outgoing_snapshot_index() == index {
            let offset = next_offset;
            progress.mode = ReplicationMode::Snapshot { offset };
            progress.awaiting_response = false;
        }
    }

    /// Processes a snapshot chunk. A snapshot whose position this log already contains is
    /// acknowledged without a transfer.
    pub(crate) fn on_chunk(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        total_bytes: u64,
        offset: u64,
        read_round: u64,
        data: &[u8],
    ) {
        let known = self.log.term(meta.index) == Some(meta.term);
        if meta.index <= self.commit_index || known {
            self.raise_commit_index(meta.index);
            let match_index = self.commit_index;
            self.send(
                from,
                Body::Accepted {
                    match_index,
                    read_round,
                },
            );
            return;
        }
        if total_bytes > MAX_SNAPSHOT_BYTES as u64 {
            return;
        }
        let index = meta.index;
        let next_offset = self.append_chunk(meta, total_bytes, offset, data);
        if next_offset == total_bytes {
            self.install_incoming_snapshot();
            let match_index = index;
            self.send(
                from,
                Body::Accepted {
                    match_index,
                    read_round,
                },
            );
        } else {
            let body = Body::SnapshotChunkAccepted {
                index,
                next_offset,
                read_round,
            };
            self.send(from, body);
        }
    }

    /// Appends a chunk if it is the next one and returns the offset of the chunk that is needed
    /// next. Chunks of another snapshot replace the partial one.
    fn append_chunk(
        &mut self,
        meta: SnapshotMeta,
        total_bytes: u64,
        offset: u64,
        data: &[u8],
    ) -> u64 {
        let matches_incoming = |incoming_snapshot: &IncomingSnapshot| {
            incoming_snapshot.meta == meta && incoming_snapshot.total_bytes == total_bytes
        };
        if !self
            .incoming_snapshot
            .as_ref()
            .is_some_and(matches_incoming)
        {
            self.incoming_snapshot = Some(IncomingSnapshot {
                meta,
                total_bytes,
                data: Vec::new(),
            });
        }
        let Some(incoming_snapshot) = &mut self.incoming_snapshot else {
            return 0;
        };
        let fits = incoming_snapshot.data.len() + data.len() <= MAX_SNAPSHOT_BYTES;
        if offset == incoming_snapshot.data.len() as u64 && fits {
            incoming_snapshot.data.extend_from_slice(data);
        }
        incoming_snapshot.data.len() as u64
    }

    fn install_incoming_snapshot(&mut self) {
        if let Some(incoming_snapshot) = self.incoming_snapshot.take() {
            self.reset_log_to_snapshot(Snapshot {
                meta: incoming_snapshot.meta,
                data: Arc::from(incoming_snapshot.data),
            });
        }
    }
}
