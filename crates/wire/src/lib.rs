//! Peer protocol between the processes of the fleet.
//!
//! A connection carries length-delimited protobuf frames. A response has the id of its request, so
//! that several requests can be in progress on one connection. Each [`PeerClient`] and
//! [`PeerServer`] is the handle to a task that owns the socket.

pub mod client;
pub mod codec;
pub mod demand;
pub mod error;
pub mod payload;
pub mod poll;
pub mod server;
pub mod tls;

/// Message types, generated from `proto/peer.proto`.
#[allow(
    missing_docs,
    clippy::pedantic,
    clippy::doc_markdown,
    clippy::derive_partial_eq_without_eq
)]
#[rustfmt::skip]
pub mod message {
    include!("generated.rs");
}

pub use client::{ClientIdentity, PeerClient, decode_response};
pub use codec::{FrameCodec, MAX_FRAME_BYTES};
pub use error::WireError;
pub use payload::{
    FEATURE_DEMAND_CHANGES, FEATURE_ROSTER, FEATURE_ZONE_ORDERS, FEATURES, PROTOCOL_VERSION,
    WitnessStatus, decode, encode,
};
pub use poll::{GatewayPoll, PollReply, PresenceExchange, ServerUpdate};
pub use server::{PeerHandler, PeerIdentity, PeerServer, ServerIdentity, failure_response};
pub use tls::{PeerSecurity, TlsFiles};
