//! Connection of a caller that tells when the caller has closed it.
//!
//! An HTTP server finds the end of a connection by reading. While a request is in progress it stops reading once it holds
//! bytes of further requests, so it would run all of them for a caller that has left.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use hyper_util::server::graceful::GracefulConnection;
use tokio::io::{AsyncRead, Interest, Join, ReadBuf, join};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio_util::sync::CancellationToken;

/// Connection of a caller, whose end is reported by a [`CallerClose`].
pub type CallerStream = Join<CallerReader, OwnedWriteHalf>;

/// Reading half of a [`CallerStream`].
#[derive(Debug)]
pub struct CallerReader(Arc<OwnedReadHalf>);

/// Reports the end of a [`CallerStream`].
#[derive(Debug)]
pub struct CallerClose(Arc<OwnedReadHalf>);

/// Wraps the connection of a caller.
#[must_use]
pub fn watch(stream: TcpStream) -> (CallerStream, CallerClose) {
    let (reader, writer) = stream.into_split();
    let reader = Arc::new(reader);
    let close = CallerClose(Arc::clone(&reader));
    (join(CallerReader(reader), writer), close)
}

/// Serves the requests of a caller until the connection ends or the caller has left. When `stop` is cancelled, the
/// connection ends after the request in progress.
pub async fn serve(
    connection: impl GracefulConnection,
    stop: &CancellationToken,
    close: &CallerClose,
) {
    tokio::pin!(connection);
    let serving = async {
        tokio::select! {
            // An error of one connection affects only its caller and is not reported.
            _ = &mut connection => return,
            () = stop.cancelled() => connection.as_mut().graceful_shutdown(),
        }
        let _ = connection.await;
    };
    tokio::select! {
        () = serving => (),
        () = close.wait() => (),
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

impl AsyncRead for CallerReader {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream: &TcpStream = (*self.0).as_ref();
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
