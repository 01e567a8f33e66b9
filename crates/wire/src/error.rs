//! Errors of the peer protocol.

use std::io;

use thiserror::Error;

use crate::message::Failure;

/// A failed call to a peer, a failed connection or invalid TLS files.
#[derive(Debug)]
#[derive(Error)]
pub enum WireError {
    /// The connection could not be opened or was lost.
    #[error("connection to the peer failed: {0}")]
    Connection(#[from] io::Error),
    /// The peer did not answer in time; it may have handled the request.
    #[error("peer did not answer in time")]
    Timeout,
    /// A frame or payload is malformed.
    #[error("malformed frame: {0}")]
    Malformed(String),
    /// The peer refused the request.
    #[error("peer refused the request: {}", .0.message)]
    Refused(Failure),
    /// The kind of the response does not match the request.
    #[error("unexpected kind of response")]
    UnexpectedResponse,
    /// A certificate or private key cannot be read or used.
    #[error("invalid TLS certificate or key: {0}")]
    Tls(String),
    /// The task of the client has ended or its queue is full, or the peer closed the connection
    /// before its first request.
    #[error("peer client is stopped")]
    Stopped,
}
