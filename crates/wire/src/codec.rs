//! Frames: a 4-byte big-endian length, then one protobuf `Frame`.

use bytes::{Bytes, BytesMut};
use prost::Message as _;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

use crate::error::WireError;
use crate::message::Frame;

/// Largest frame that is sent or accepted.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Turns frames into bytes and back. Any error is final for the connection.
#[derive(Debug)]
pub struct FrameCodec {
    lengths: LengthDelimitedCodec,
}

impl FrameCodec {
    /// Codec with the frame limit of [`MAX_FRAME_BYTES`].
    #[must_use]
    pub fn new() -> Self {
        let lengths = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self { lengths }
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
        let Some(bytes) = self.lengths.decode(source)? else {
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
        self.lengths.encode(bytes, target)?;
        Ok(())
    }
}
