//! Errors of the peer protocol.

use std::io;

use thiserror::Error;

use crate::message::Failure;

/// A call to a peer did not give the expected response.
#[derive(Debug)]
#[derive(Error)]
pub enum WireError {
    /// The connection could not be made or was lost.
    #[error("connection to the peer failed: {0}")]
    Connection(#[from] io::Error),
    /// The peer did not answer in time; it may have handled the request.
    #[error("peer did not answer in time")]
    Timeout,
    /// A frame is malformed or too large.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// The peer refused the request.
    #[error("peer refused the request: {}", .0.message)]
    Refused(Failure),
    /// The response is of another kind than the request asks for.
    #[error("unexpected kind of response")]
    UnexpectedResponse,
    /// A certificate or key cannot be used.
    #[error("TLS settings: {0}")]
    Tls(String),
    /// The task of the client has ended.
    #[error("peer client is stopped")]
    Stopped,
}
