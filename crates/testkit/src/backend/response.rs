//! Response bodies of the sample backend server, including the faults that show on the wire.

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

use super::record::ExecutionGuard;

/// Delay before a connection is cut, so that bytes already buffered are sent.
const FLUSH_DELAY_BEFORE_CLOSE: Duration = Duration::from_millis(5);

/// How the transfer of a response body ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum BodyEnd {
    /// Normally, after the last byte.
    Complete,
    /// With the connection closed after the last byte.
    Cut,
    /// Never; the connection stays open after the last byte.
    Hang,
}

/// Response body that holds the slot of its execution until the last byte is handed to the connection, or
/// until the connection ends if the body is cut or hangs.
pub(super) struct ResponseBody {
    frames: VecDeque<Bytes>,
    end: BodyEnd,
    flush_delay: Option<Pin<Box<Sleep>>>,
    excess: Option<(Arc<ExcessBytes>, usize)>,
    execution: Option<RunningExecution>,
}

/// Record and slot of a running execution.
pub(super) struct RunningExecution {
    pub(super) guard: ExecutionGuard,
    pub(super) _permit: OwnedSemaphorePermit,
}

/// Bytes that a connection still has to send after the declared end of a response.
#[derive(Debug, Default)]
pub(super) struct ExcessBytes(Mutex<Vec<u8>>);

impl ResponseBody {
    pub(super) fn new(body: Bytes, end: BodyEnd, execution: Option<RunningExecution>) -> Self {
        let mut frames = VecDeque::new();
        if !body.is_empty() {
            frames.push_back(body);
        }
        Self {
            frames,
            end,
            flush_delay: None,
            excess: None,
            execution,
        }
    }

    /// Adds `count` bytes after the last byte of the body, which `pending` hands to the connection.
    pub(super) fn with_excess(mut self, pending: Arc<ExcessBytes>, count: usize) -> Self {
        self.excess = Some((pending, count));
        self
    }

    /// Queues the excess bytes and ends the execution of a complete response.
    fn on_last_frame(&mut self) {
        if let Some((pending, count)) = self.excess.take() {
            pending.lock().resize(count, b'#');
        }
        if self.end == BodyEnd::Complete
            && let Some(mut execution) = self.execution.take()
        {
            execution.guard.finish();
        }
    }

    /// Polls for the end of the body after its last frame.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        match self.end {
            BodyEnd::Complete => Poll::Ready(None),
            BodyEnd::Hang => Poll::Pending,
            BodyEnd::Cut => {
                let flush_delay = self
                    .flush_delay
                    .get_or_insert_with(|| Box::pin(sleep(FLUSH_DELAY_BEFORE_CLOSE)));
                ready!(flush_delay.as_mut().poll(context));
                let error = io::Error::other("response cut by an injected fault");
                Poll::Ready(Some(Err(error)))
            }
        }
    }
}

impl Body for ResponseBody {
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
            self.on_last_frame();
        }
        Poll::Ready(Some(Ok(Frame::data(frame))))
    }
}

impl ExcessBytes {
    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<u8>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// TCP stream that sends pending excess bytes before each flush. hyper writes its whole buffer before it
/// flushes, so the excess bytes follow the declared end of the response.
pub(super) struct ExcessByteStream {
    stream: TcpStream,
    excess: Arc<ExcessBytes>,
}

impl ExcessByteStream {
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

impl AsyncRead for ExcessByteStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for ExcessByteStream {
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
