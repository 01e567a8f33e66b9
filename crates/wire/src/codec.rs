//! Framing of the peer protocol: a 4-byte big-endian length, followed by one protobuf `Frame`.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::WireError;
use crate::message::Frame;

/// Largest frame that is sent or accepted, without its length field, in bytes (4 MiB).
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Encodes and decodes frames. After any error the connection must be closed.
#[derive(Debug)]
pub struct FrameCodec {
    length_delimited: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Creates a codec that refuses frames larger than [`MAX_FRAME_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let length_delimited = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { length_delimited }
    }
}

impl Default for FrameCodec {
    fn default() -> Self {
        Self::new()
    }
}

impl Decoder for FrameCodec {
    type Item = Frame;
    type Error = WireError;

    fn decode(&mut self, source: &mut BytesMut) -> Result<Option<Frame>, WireError> {
        let Some(bytes) = self.length_delimited.decode(source)? else {
            return Ok(None);
        };
        let frame =
            Frame::decode(bytes).map_err(|error| WireError::Malformed(error.to_string()))?;
        Ok(Some(frame))
    }
}

impl Encoder<Frame> for FrameCodec {
    type Error = WireError;

    fn encode(&mut self, frame: Frame, target: &mut BytesMut) -> Result<(), WireError> {
        let bytes = Bytes::from(frame.encode_to_vec());
        self.length_delimited.encode(bytes, target)?;
        Ok(())
    }
}
