//! Transfer of a snapshot in parts of bounded size.

use std::sync::Arc;

use crate::entry::{MAX_SNAPSHOT_BYTES, ReplicaId, Snapshot, SnapshotMeta};
use crate::message::Body;
use crate::progress::Flow;
use crate::replica::Replica;

/// A snapshot of which the first parts have arrived.
#[derive(Debug)]
pub(crate) struct Incoming {
    meta: SnapshotMeta,
    total_bytes: u64,
    data: Vec<u8>,
}

impl Replica {
    pub(crate) fn start_snapshot(&mut self, peer: ReplicaId) {
        let (Some(progress), Some(snapshot)) = (self.lead.progress.get_mut(&peer), &self.snapshot)
        else {
            return;
        };
        progress.start_snapshot(snapshot.clone());
        self.send_chunk(peer);
    }

    /// Sends the next part, once per answer or heartbeat.
    pub(crate) fn send_chunk(&mut self, peer: ReplicaId) {
        let Some(progress) = self.lead.progress.get_mut(&peer) else {
            return;
        };
        let (Flow::Snapshot { offset }, Some(snapshot)) = (progress.flow, &progress.outgoing)
        else {
            return;
        };
        if std::mem::replace(&mut progress.probe_sent, true) {
            return;
        }
        let total = snapshot.data.len();
        let start = usize::try_from(offset).unwrap_or(total).min(total);
        let end = total.min(start + self.config.max_chunk_bytes);
        let body = Body::Chunk {
            meta: snapshot.meta.clone(),
            total_bytes: total as u64,
            offset: start as u64,
            round: self.lead.round,
            data: snapshot.data[start..end].into(),
        };
        self.send(peer, body);
    }

    pub(crate) fn on_chunk_accepted(&mut self, from: ReplicaId, index: u64, next_offset: u64) {
        let Some(progress) = self.lead.progress.get_mut(&from) else {
            return;
        };
        let sending = matches!(progress.flow, Flow::Snapshot { .. });
        if sending && progress.outgoing_index() == index {
            let offset = next_offset;
            progress.flow = Flow::Snapshot { offset };
            progress.probe_sent = false;
        }
    }

    pub(crate) fn on_chunk(
        &mut self,
        from: ReplicaId,
        meta: SnapshotMeta,
        total_bytes: u64,
        offset: u64,
        round: u64,
        data: &[u8],
    ) {
        let known = self.log.term(meta.index) == Some(meta.term);
        if meta.index <= self.commit || known {
            self.set_commit(meta.index);
            let matched = self.commit;
            self.send(from, Body::Accepted { matched, round });
            return;
        }
        if total_bytes > MAX_SNAPSHOT_BYTES as u64 {
            return;
        }
        let index = meta.index;
        let next_offset = self.collect(meta, total_bytes, offset, data);
        if next_offset == total_bytes {
            self.install_incoming();
            let matched = index;
            self.send(from, Body::Accepted { matched, round });
        } else {
            let body = Body::ChunkAccepted {
                index,
                next_offset,
                round,
            };
            self.send(from, body);
        }
    }

    /// Adds a part and returns the offset of the next one that is needed.
    fn collect(&mut self, meta: SnapshotMeta, total_bytes: u64, offset: u64, data: &[u8]) -> u64 {
        let same =
            |incoming: &Incoming| incoming.meta == meta && incoming.total_bytes == total_bytes;
        if !self.incoming.as_ref().is_some_and(same) {
            self.incoming = Some(Incoming {
                meta,
                total_bytes,
                data: Vec::new(),
            });
        }
        let Some(incoming) = &mut self.incoming else {
            return 0;
        };
        let fits = incoming.data.len() + data.len() <= MAX_SNAPSHOT_BYTES;
        if offset == incoming.data.len() as u64 && fits {
            incoming.data.extend_from_slice(data);
        }
        incoming.data.len() as u64
    }

    fn install_incoming(&mut self) {
        if let Some(incoming) = self.incoming.take() {
            self.restore_log(Snapshot {
                meta: incoming.meta,
                data: Arc::from(incoming.data),
            });
        }
    }
}
