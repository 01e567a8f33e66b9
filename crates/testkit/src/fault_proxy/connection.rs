//! Forwards one connection: each direction has its own faults, and a cut in one ends both.

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

/// Largest number of bytes per read.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// Largest number of chunks queued in one direction, which bounds memory while bytes are delayed.
const MAX_QUEUED_CHUNKS: usize = 256;

/// Function that selects the faults of one direction from the plan.
type DirectionSelector = fn(&ProxyPlan) -> &DirectionPlan;

/// Bytes and the time at which they were read; `None` marks the end of the stream.
type Chunk = (Instant, Option<Vec<u8>>);

/// How forwarding in one direction ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DirectionEnd {
    /// The end of the stream was forwarded; the other direction continues.
    Finished,
    /// The connection ends in both directions.
    Cut(Cut),
}

/// Forwarding state of one direction of a connection.
struct Direction {
    plan: watch::Receiver<ProxyPlan>,
    select: DirectionSelector,
    /// Bytes delivered in this direction over all connections.
    total_delivered: Arc<AtomicU64>,
}

/// Connects to the target and forwards both directions until the connection ends.
pub(super) async fn run(shared: &Arc<Shared>, client: TcpStream) {
    let Ok(target) = TcpStream::connect(shared.target).await else {
        reset_on_close(&client);
        return;
    };
    // Nagle's algorithm would delay small segments on top of the configured delay.
    let nodelay = client.set_nodelay(true).and(target.set_nodelay(true));
    if nodelay.is_err() {
        return;
    }
    let mut resets = shared.resets.subscribe();
    let to_target = Direction {
        plan: shared.plan.subscribe(),
        select: |plan| &plan.to_target,
        total_delivered: Arc::clone(&shared.bytes_to_target),
    };
    let to_client = Direction {
        plan: shared.plan.subscribe(),
        select: |plan| &plan.to_client,
        total_delivered: Arc::clone(&shared.bytes_to_client),
    };
    let ended = tokio::select! {
        _ = resets.changed() => DirectionEnd::Cut(Cut::Reset),
        ended = run_both(
            to_target.run(&client, &target),
            to_client.run(&target, &client),
        ) => ended,
    };
    if ended == DirectionEnd::Cut(Cut::Reset) {
        reset_on_close(&client);
        reset_on_close(&target);
    }
}

/// Runs both directions until both are finished or one cuts the connection.
async fn run_both(
    first: impl Future<Output = DirectionEnd>,
    second: impl Future<Output = DirectionEnd>,
) -> DirectionEnd {
    tokio::pin!(first, second);
    let (ended, first_is_running) = tokio::select! {
        ended = &mut first => (ended, false),
        ended = &mut second => (ended, true),
    };
    match (ended, first_is_running) {
        (DirectionEnd::Cut(_), _) => ended,
        (DirectionEnd::Finished, true) => first.await,
        (DirectionEnd::Finished, false) => second.await,
    }
}

/// Sets a zero linger time, so that closing the stream sends an RST instead of a FIN.
fn reset_on_close(stream: &TcpStream) {
    // Fails only on a socket that is already closed.
    let _ = stream.set_zero_linger();
}

impl Direction {
    async fn run(self, from: &TcpStream, to: &TcpStream) -> DirectionEnd {
        let (chunks, received) = mpsc::channel(MAX_QUEUED_CHUNKS);
        tokio::select! {
            ended = self.read(from, chunks) => ended,
            ended = self.write(to, received) => ended,
        }
    }

    /// Reads chunks into the queue and returns only when a read fails. After the end of the stream, or
    /// when the queue is closed, it waits forever, since `write` then decides how the direction ends.
    async fn read(&self, from: &TcpStream, chunks: mpsc::Sender<Chunk>) -> DirectionEnd {
        let mut has_lost_bytes = false;
        loop {
            let result = self.read_chunk(from).await;
            has_lost_bytes |= self.loss() == Loss::Discard;
            let chunk = match result {
                _ if has_lost_bytes => {
                    if !matches!(&result, Ok(bytes) if !bytes.is_empty()) {
                        std::future::pending::<()>().await;
                    }
                    continue;
                }
                Ok(bytes) => (!bytes.is_empty()).then_some(bytes),
                Err(_) => return DirectionEnd::Cut(Cut::Reset),
            };
            let finished = chunk.is_none();
            if chunks.send((Instant::now(), chunk)).await.is_err() || finished {
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until the direction is not stalled and reads the next bytes; empty at the end of the stream.
    async fn read_chunk(&self, from: &TcpStream) -> io::Result<Vec<u8>> {
        let mut plan = self.plan.clone();
        loop {
            let not_stalled = plan.wait_for(|plan| (self.select)(plan).loss != Loss::Stall);
            // Cannot fail: the sender outlives the connection.
            drop(not_stalled.await);
            from.readable().await?;
            if self.loss() == Loss::Stall {
                continue;
            }
            let mut buffer = vec![0; READ_BUFFER_BYTES];
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

    /// Delivers queued chunks to `to` after their delay, then forwards the end of the stream.
    async fn write(&self, to: &TcpStream, mut chunks: mpsc::Receiver<Chunk>) -> DirectionEnd {
        let mut delivered = 0;
        while let Some((read_at, chunk)) = chunks.recv().await {
            self.wait_for_delay(read_at).await;
            let Some(bytes) = chunk else { break };
            if let Some(ended) = self.deliver(to, &bytes, &mut delivered).await {
                return ended;
            }
        }
        match rustix::net::shutdown(to, Shutdown::Write) {
            Ok(()) => DirectionEnd::Finished,
            Err(_) => DirectionEnd::Cut(Cut::Close),
        }
    }

    /// Writes the bytes under the current cut and bandwidth limits. `delivered` counts the bytes
    /// delivered in this direction of the connection. Returns `Some` when the connection ends.
    async fn deliver(
        &self,
        to: &TcpStream,
        bytes: &[u8],
        delivered: &mut u64,
    ) -> Option<DirectionEnd> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let plan = self.current_plan();
            let left = plan
                .cut_after_bytes
                .map(|limit| limit.saturating_sub(*delivered));
            if left == Some(0) {
                return Some(DirectionEnd::Cut(plan.cut));
            }
            let allowed = left.map_or(rest.len(), |left| {
                rest.len().min(usize::try_from(left).unwrap_or(usize::MAX))
            });
            let Ok(written) = write_some(to, &rest[..allowed]).await else {
                return Some(DirectionEnd::Cut(Cut::Reset));
            };
            rest = &rest[written..];
            let written = written as u64;
            *delivered += written;
            self.total_delivered.fetch_add(written, Ordering::Relaxed);
            if let Some(bytes_per_s) = plan.bytes_per_s {
                let pause_us = written.saturating_mul(1_000_000) / bytes_per_s.max(1);
                sleep(Duration::from_micros(pause_us)).await;
            }
        }
        let plan = self.current_plan();
        let cut = plan
            .cut_after_bytes
            .is_some_and(|limit| *delivered >= limit);
        cut.then_some(DirectionEnd::Cut(plan.cut))
    }

    /// Waits until the current delay has passed since `read_at`. A change of the delay applies at once.
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

    fn current_plan(&self) -> DirectionPlan {
        (self.select)(&self.plan.borrow()).clone()
    }

    fn loss(&self) -> Loss {
        (self.select)(&self.plan.borrow()).loss
    }
}

/// Waits until the stream is writable and writes as many bytes as it accepts.
async fn write_some(to: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        to.writable().await?;
        match to.try_write(bytes) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return result,
        }
    }
}
