//! Causes of errors of the HTTP library.

use std::error::Error;
use std::io;

/// Whether an answer ended early because its connection did, rather than because of its content.
#[must_use]
pub fn is_connection_end(error: &hyper::Error) -> bool {
    if error.is_incomplete_message() || error.is_closed() {
        return true;
    }
    let mut cause = error.source();
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return matches!(
                error.kind(),
                io::ErrorKind::UnexpectedEof
                    | io::ErrorKind::ConnectionReset
                    | io::ErrorKind::ConnectionAborted
                    | io::ErrorKind::BrokenPipe
            );
        }
        cause = error.source();
    }
    false
}
