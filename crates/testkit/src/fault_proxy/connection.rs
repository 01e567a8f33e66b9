//! One proxied connection: two independent directions that end together.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rustix::net::Shutdown;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};
use tokio::time::{Instant, sleep, sleep_until};

use super::Shared;
use super::plan::{Cut, DirectionPlan, Loss, ProxyPlan};

/// Size of one read, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// Chunks under way in one direction. It bounds memory while bytes are delayed.
const CHUNKS_UNDER_WAY: usize = 256;

/// Selects the faults of one direction.
type Select = fn(&ProxyPlan) -> &DirectionPlan;

/// Bytes with the time they were read; `None` is the end of the stream.
type Chunk = (Instant, Option<Vec<u8>>);

/// Why a direction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Ended {
    /// The end of the stream was passed on; the other direction continues.
    Finished,
    /// The whole connection ends.
    Cut(Cut),
}

/// One direction of a connection.
struct Direction {
    plan: watch::Receiver<ProxyPlan>,
    select: Select,
    delivered: Arc<AtomicU64>,
}

pub(super) async fn run(shared: &Arc<Shared>, client: TcpStream) {
    let Ok(target) = TcpStream::connect(shared.target).await else {
        reset(&client);
        return;
    };
    // Without it, the proxy itself would delay small segments.
    let nodelay = client.set_nodelay(true).and(target.set_nodelay(true));
    if nodelay.is_err() {
        return;
    }
    let mut resets = shared.resets.subscribe();
    let to_target = Direction {
        plan: shared.plan.subscribe(),
        select: |plan| &plan.to_target,
        delivered: Arc::clone(&shared.bytes_to_target),
    };
    let to_client = Direction {
        plan: shared.plan.subscribe(),
        select: |plan| &plan.to_client,
        delivered: Arc::clone(&shared.bytes_to_client),
    };
    let ended = tokio::select! {
        _ = resets.changed() => Ended::Cut(Cut::Reset),
        ended = both(
            to_target.run(&client, &target),
            to_client.run(&target, &client),
        ) => ended,
    };
    if ended == Ended::Cut(Cut::Reset) {
        reset(&client);
        reset(&target);
    }
}

/// Runs both directions until both are finished or one cuts the connection.
async fn both(first: impl Future<Output = Ended>, second: impl Future<Output = Ended>) -> Ended {
    tokio::pin!(first, second);
    let (ended, first_is_left) = tokio::select! {
        ended = &mut first => (ended, false),
        ended = &mut second => (ended, true),
    };
    match (ended, first_is_left) {
        (Ended::Cut(_), _) => ended,
        (Ended::Finished, true) => first.await,
        (Ended::Finished, false) => second.await,
    }
}

/// Makes the close of the stream a reset.
fn reset(stream: &TcpStream) {
    // A stream that is already closed needs no reset.
    let _ = stream.set_zero_linger();
}

impl Direction {
    async fn run(self, from: &TcpStream, to: &TcpStream) -> Ended {
        let (chunks, received) = mpsc::channel(CHUNKS_UNDER_WAY);
        tokio::select! {
            ended = self.read(from, chunks) => ended,
            ended = self.write(to, received) => ended,
        }
    }

    /// Reads until the stream fails. After its end it waits for the writing side to finish.
    async fn read(&self, from: &TcpStream, chunks: mpsc::Sender<Chunk>) -> Ended {
        let mut gap = false;
        loop {
            let result = self.read_chunk(from).await;
            gap |= self.loss() == Loss::Discard;
            let chunk = match result {
                _ if gap => {
                    if !matches!(&result, Ok(bytes) if !bytes.is_empty()) {
                        std::future::pending::<()>().await;
                    }
                    continue;
                }
                Ok(bytes) => (!bytes.is_empty()).then_some(bytes),
                Err(_) => return Ended::Cut(Cut::Reset),
            };
            let finished = chunk.is_none();
            if chunks.send((Instant::now(), chunk)).await.is_err() || finished {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Next bytes of the stream while it is not stalled; empty at its end.
    async fn read_chunk(&self, from: &TcpStream) -> io::Result<Vec<u8>> {
        let mut plan = self.plan.clone();
        loop {
            let flowing = plan.wait_for(|plan| (self.select)(plan).loss != Loss::Stall);
            // The sender outlives the connection.
            drop(flowing.await);
            from.readable().await?;
            if self.loss() == Loss::Stall {
                continue;
            }
            let mut buffer = vec![0; CHUNK_BYTES];
            match from.try_read(&mut buffer) {
                Ok(count) => {
                    buffer.truncate(count);
                    return Ok(buffer);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error),
            }
        }
    }

    async fn write(&self, to: &TcpStream, mut chunks: mpsc::Receiver<Chunk>) -> Ended {
        let mut delivered = 0;
        while let Some((read_at, chunk)) = chunks.recv().await {
            self.wait_for_delay(read_at).await;
            let Some(bytes) = chunk else { break };
            if let Some(ended) = self.deliver(to, &bytes, &mut delivered).await {
                return ended;
            }
        }
        match rustix::net::shutdown(to, Shutdown::Write) {
            Ok(()) => Ended::Finished,
            Err(_) => Ended::Cut(Cut::Close),
        }
    }

    /// Writes the bytes within the limits in force. Returns how the connection ends, if it does.
    async fn deliver(&self, to: &TcpStream, bytes: &[u8], delivered: &mut u64) -> Option<Ended> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let plan = self.current();
            let left = plan
                .cut_after_bytes
                .map(|limit| limit.saturating_sub(*delivered));
            if left == Some(0) {
                return Some(Ended::Cut(plan.cut));
            }
            let allowed = left.map_or(rest.len(), |left| {
                rest.len().min(usize::try_from(left).unwrap_or(usize::MAX))
            });
            let Ok(written) = write_some(to, &rest[..allowed]).await else {
                return Some(Ended::Cut(Cut::Reset));
            };
            rest = &rest[written..];
            let written = written as u64;
            *delivered += written;
            self.delivered.fetch_add(written, Ordering::Relaxed);
            if let Some(bytes_per_s) = plan.bytes_per_s {
                let pause_us = written.saturating_mul(1_000_000) / bytes_per_s.max(1);
                sleep(Duration::from_micros(pause_us)).await;
            }
        }
        let plan = self.current();
        let cut = plan
            .cut_after_bytes
            .is_some_and(|limit| *delivered >= limit);
        cut.then_some(Ended::Cut(plan.cut))
    }

    /// Waits until the delay in force has passed since `read_at`; a shorter delay applies at once.
    async fn wait_for_delay(&self, read_at: Instant) {
        let mut plan = self.plan.clone();
        loop {
            let delay = Duration::from_millis((self.select)(&plan.borrow_and_update()).delay_ms);
            tokio::select! {
                () = sleep_until(read_at + delay) => return,
                _ = plan.changed() => {}
            }
        }
    }

    fn current(&self) -> DirectionPlan {
        (self.select)(&self.plan.borrow()).clone()
    }

    fn loss(&self) -> Loss {
        (self.select)(&self.plan.borrow()).loss
    }
}

async fn write_some(to: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        to.writable().await?;
        match to.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}
