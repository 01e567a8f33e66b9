//! Response bodies of the sample backend server, with faults on the wire.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Sleep, sleep};

use super::record::Guard;

/// Time that already buffered bytes get to leave before the connection is cut.
const FLUSH_BEFORE_CUT: Duration = Duration::from_millis(5);

/// How a response body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    /// After its last byte.
    Complete,
    /// With the connection closed.
    Cut,
    /// Never.
    Hang,
}

/// A response body that holds its slot until it is sent.
pub(super) struct AnswerBody {
    frames: VecDeque<Bytes>,
    end: End,
    pause: Option<Pin<Box<Sleep>>>,
    excess: Option<(Arc<ExcessBytes>, usize)>,
    work: Option<Work>,
}

/// What an execution occupies.
pub(super) struct Work {
    pub(super) guard: Guard,
    pub(super) _permit: OwnedSemaphorePermit,
}

/// Bytes that a connection sends after the declared end of a response.
#[derive(Debug, Default)]
pub(super) struct ExcessBytes(Mutex<Vec<u8>>);

impl AnswerBody {
    pub(super) fn new(body: Bytes, end: End, work: Option<Work>) -> Self {
        let mut frames = VecDeque::new();
        if !body.is_empty() {
            frames.push_back(body);
        }
        Self {
            frames,
            end,
            pause: None,
            excess: None,
            work,
        }
    }

    /// Sends `count` additional bytes after the last one.
    pub(super) fn with_excess(mut self, target: Arc<ExcessBytes>, count: usize) -> Self {
        self.excess = Some((target, count));
        self
    }

    fn last_frame_leaves(&mut self) {
        if let Some((target, count)) = self.excess.take() {
            target.lock().resize(count, b'#');
        }
        if self.end == End::Complete
            && let Some(mut work) = self.work.take()
        {
            work.guard.finish();
        }
    }

    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.end {
            End::Complete => Poll::Ready(None),
            End::Hang => Poll::Pending,
            End::Cut => {
                let pause = self
                    .pause
                    .get_or_insert_with(|| Box::pin(sleep(FLUSH_BEFORE_CUT)));
                ready!(pause.as_mut().poll(context));
                let error = io::Error::other("response cut by an injected fault");
                Poll::Ready(Some(Err(error)))
            }
        }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let Some(frame) = self.frames.pop_front() else {
            return self.poll_end(context);
        };
        if self.frames.is_empty() {
            self.last_frame_leaves();
        }
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }
}

impl ExcessBytes {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A TCP stream that sends pending excess bytes after everything written before a flush. `hyper`
/// writes its whole buffer before it flushes, so the bytes follow the declared end of the response.
pub(super) struct ExcessIo {
    stream: TcpStream,
    excess: Arc<ExcessBytes>,
}

impl ExcessIo {
    pub(super) fn new(stream: TcpStream, excess: Arc<ExcessBytes>) -> Self {
        Self { stream, excess }
    }

    fn poll_excess(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut pending = self.excess.lock();
        while !pending.is_empty() {
            let written = ready!(Pin::new(&mut self.stream).poll_write(context, &pending))?;
            pending.drain(..written);
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for ExcessIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ExcessIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_excess(context))?;
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
