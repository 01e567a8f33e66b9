//! Bodies of answers to callers, which count against the budget of bytes until they are written.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Buf, Bytes};
use hyper::body::{Body, Frame, SizeHint};
use radishpaddle_kernel::caller_stream::CallerStream;
use radishpaddle_policy::{ByteBudget, HeldBytes, LinkPace};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep, sleep};

/// Size from which a body is large.
const LARGE_BODY_BYTES: usize = 32 << 10;

/// Size of a part of a body. The smallest links carry it in about 20 ms.
const PART_BYTES: usize = 8 << 10;

/// Period between two checks of a caller that does not read.
const STALL_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Pace of large bodies, shared by the connections of a process.
#[derive(Debug, Clone)]
pub struct SharedPace {
    pace: Arc<Mutex<LinkPace>>,
    started_at: Instant,
}

impl SharedPace {
    /// Creates the pace on a link of this bandwidth.
    #[must_use]
    pub fn new(link_bytes_per_s: u64) -> Self {
        Self {
            pace: Arc::new(Mutex::new(LinkPace::new(link_bytes_per_s))),
            started_at: Instant::now(),
        }
    }

    fn send(&self, part: &Bytes) -> Duration {
        let bytes = u32::try_from(part.len()).unwrap_or(u32::MAX);
        let mut pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner);
        pace.send(bytes, self.started_at.elapsed())
    }
}

/// Body of an answer to a caller.
#[derive(Debug)]
pub struct CallerBody {
    rest: Bytes,
    held: Option<Arc<HeldBytes>>,
    pace: Option<SharedPace>,
    /// Time before the next part.
    pause: Option<Pin<Box<Sleep>>>,
}

impl CallerBody {
    /// Creates the body; `pace` applies if it is large.
    #[must_use]
    pub fn new(body: Bytes, held: Option<Arc<HeldBytes>>, pace: Option<SharedPace>) -> Self {
        let is_large = body.len() >= LARGE_BODY_BYTES;
        Self {
            rest: body,
            held,
            pace: pace.filter(|_| is_large),
            pause: None,
        }
    }
}

impl Body for CallerBody {
    type Data = BodyPart;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<BodyPart>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(context));
            self.pause = None;
        }
        let length = self.rest.len().min(PART_BYTES);
        let part = self.rest.split_to(length);
        self.pause = self
            .pace
            .as_ref()
            .map(|pace| Box::pin(sleep(pace.send(&part))));
        let part = BodyPart {
            bytes: part,
            _held: self.held.clone(),
        };
        Poll::Ready(Some(Ok(Frame::data(part))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}

/// Part of a body. The memory of the whole body is in use until its last part is written.
#[derive(Debug)]
pub struct BodyPart {
    bytes: Bytes,
    _held: Option<Arc<HeldBytes>>,
}

impl Buf for BodyPart {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

/// Connection of a caller, whose writes fail after the caller has not read for long. The answer is then shorter than its
/// `Content-Length`, so it never looks complete.
pub struct StallLimitedStream {
    stream: CallerStream,
    budget: ByteBudget,
    stall: Option<Stall>,
}

/// Time in which a write has made no progress.
struct Stall {
    began_at: Instant,
    next_check: Pin<Box<Sleep>>,
}

impl StallLimitedStream {
    /// Wraps a connection; the budget states for how long a caller may not read.
    #[must_use]
    pub const fn new(stream: CallerStream, budget: ByteBudget) -> Self {
        Self {
            stream,
            budget,
            stall: None,
        }
    }

    /// Passes on the result of a write, or an error if the caller has not read for too long.
    fn check<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.stall = None;
            return written;
        }
        let stall = self.stall.get_or_insert_with(|| Stall {
            began_at: Instant::now(),
            next_check: Box::pin(sleep(STALL_CHECK_PERIOD)),
        });
        while stall.next_check.as_mut().poll(context).is_ready() {
            if stall.began_at.elapsed() >= self.budget.max_stall() {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            stall.next_check = Box::pin(sleep(STALL_CHECK_PERIOD));
        }
        Poll::Pending
    }
}

impl AsyncRead for StallLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for StallLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.check(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.check(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
