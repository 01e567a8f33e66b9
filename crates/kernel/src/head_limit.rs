//! Limit of the bytes that a server sends before the head of its response is complete.
//!
//! hyper skips interim responses without limit, and parses all that have arrived before it lets another task run.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may arrive before the head of a response is known. It exceeds the read buffer of hyper several times, because
/// the beginning of a body arrives with the head.
const MAX_BYTES: usize = 2 << 20;

/// Bytes that a connection reads before other tasks run. A server that sends without a pause would keep its connection busy
/// for as long as its bytes arrive faster than they are parsed.
const BYTES_PER_TURN: usize = 64 << 10;

/// Value of a limit that does not apply.
const UNLIMITED: usize = usize::MAX;

/// Limit of a connection, which applies between [`Self::apply`] and [`Self::lift`].
#[derive(Debug, Clone)]
pub struct HeadLimit {
    bytes_left: Arc<AtomicUsize>,
}

impl HeadLimit {
    /// Wraps the stream of a connection. The limit does not apply yet.
    pub fn wrap<S>(stream: S) -> (Self, HeadLimitedStream<S>) {
        let limit = Self {
            bytes_left: Arc::new(AtomicUsize::new(UNLIMITED)),
        };
        let limited = HeadLimitedStream {
            stream,
            limit: limit.clone(),
            turn_bytes: 0,
        };
        (limit, limited)
    }

    /// Applies the limit to the bytes that arrive from now on.
    pub fn apply(&self) {
        self.bytes_left.store(MAX_BYTES, Ordering::Relaxed);
    }

    /// Lifts the limit once the head of the response has arrived.
    pub fn lift(&self) {
        self.bytes_left.store(UNLIMITED, Ordering::Relaxed);
    }

    /// Counts bytes that arrived. Returns whether they are within the limit.
    fn count(&self, bytes: usize) -> bool {
        let left = self.bytes_left.load(Ordering::Relaxed);
        if left == UNLIMITED {
            return true;
        }
        let rest = left.saturating_sub(bytes);
        // A limit that was lifted meanwhile stays lifted.
        let _ = self
            .bytes_left
            .compare_exchange(left, rest, Ordering::Relaxed, Ordering::Relaxed);
        rest > 0
    }
}

/// Stream whose reads fail once the limit is exceeded.
#[derive(Debug)]
pub struct HeadLimitedStream<S> {
    stream: S,
    limit: HeadLimit,
    /// Bytes read since other tasks could run.
    turn_bytes: usize,
}

impl<S: AsyncRead + Unpin> AsyncRead for HeadLimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes >= BYTES_PER_TURN {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_pending() {
            self.turn_bytes = 0;
        }
        ready!(read)?;
        let bytes = buffer.filled().len() - filled_before;
        self.turn_bytes += bytes;
        let is_within_limit = self.limit.count(bytes);
        Poll::Ready(if is_within_limit {
            Ok(())
        } else {
            Err(io::ErrorKind::InvalidData.into())
        })
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for HeadLimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
