//! Connection of a caller that tells when the caller has closed it.
//!
//! An HTTP server finds the end of a connection by reading. While a request is in progress it stops reading once it holds
//! bytes of further requests, so it would run all of them for a caller that has left.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// Connection of a caller, whose end is reported by a [`CallerClose`].
#[derive(Debug)]
pub struct CallerStream {
    reader: Arc<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

/// Reports the end of a [`CallerStream`].
#[derive(Debug)]
pub struct CallerClose(Arc<OwnedReadHalf>);

impl CallerStream {
    /// Wraps a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> (Self, CallerClose) {
        let (reader, writer) = stream.into_split();
        let reader = Arc::new(reader);
        let close = CallerClose(Arc::clone(&reader));
        (Self { reader, writer }, close)
    }
}

impl CallerClose {
    /// Waits until the caller has closed or reset the connection, also while bytes that it sent are unread.
    pub async fn wait(&self) {
        // Readiness for priority data includes the end of the connection, but unlike that for reading no ordinary data.
        let ready = self.0.ready(Interest::PRIORITY).await;
        if ready.is_ok_and(|ready| !ready.is_read_closed()) {
            std::future::pending::<()>().await;
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream: &TcpStream = (*self.reader).as_ref();
        loop {
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => (),
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.writer).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.writer.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.writer).poll_shutdown(context)
    }
}
