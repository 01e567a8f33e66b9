//! Fixed-width little-endian encoding of messages and entries.

use thiserror::Error;

/// Error returned for bytes that are not a valid encoding of a message, entry or snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Error)]
#[error("malformed consensus message, entry or snapshot")]
pub struct DecodeError;

/// Encodes fields into a growing buffer.
#[derive(Debug, Default)]
pub(crate) struct Writer(Vec<u8>);

impl Writer {
    pub(crate) fn u8(&mut self, value: u8) {
        self.0.push(value);
    }

    pub(crate) fn bool(&mut self, value: bool) {
        self.u8(u8::from(value));
    }

    pub(crate) fn u64(&mut self, value: u64) {
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    pub(crate) fn length(&mut self, value: usize) {
        let value =
            u32::try_from(value).expect("encoded lengths are limited to far less than 4 GiB");
        self.0.extend_from_slice(&value.to_le_bytes());
    }

    pub(crate) fn bytes(&mut self, value: &[u8]) {
        self.length(value.len());
        self.0.extend_from_slice(value);
    }

    pub(crate) fn finish(self) -> Vec<u8> {
        self.0
    }
}

/// Decodes fields from a byte slice, in the order in which they were written.
#[derive(Debug)]
pub(crate) struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    pub(crate) fn new(bytes: &'a [u8]) -> Self {
        Self(bytes)
    }

    pub(crate) fn u8(&mut self) -> Result<u8, DecodeError> {
        Ok(self.take(1)?[0])
    }

    pub(crate) fn bool(&mut self) -> Result<bool, DecodeError> {
        match self.u8()? {
            0 => Ok(false),
            1 => Ok(true),
            _ => Err(DecodeError),
        }
    }

    pub(crate) fn u64(&mut self) -> Result<u64, DecodeError> {
        let bytes = self.take(8)?.try_into().map_err(|_| DecodeError)?;
        Ok(u64::from_le_bytes(bytes))
    }

    pub(crate) fn length(&mut self) -> Result<usize, DecodeError> {
        let bytes = self.take(4)?.try_into().map_err(|_| DecodeError)?;
        usize::try_from(u32::from_le_bytes(bytes)).map_err(|_| DecodeError)
    }

    pub(crate) fn bytes(&mut self) -> Result<&'a [u8], DecodeError> {
        let length = self.length()?;
        self.take(length)
    }

    /// Returns an error unless all bytes have been read.
    pub(crate) fn end(&self) -> Result<(), DecodeError> {
        if self.0.is_empty() {
            Ok(())
        } else {
            Err(DecodeError)
        }
    }

    fn take(&mut self, count: usize) -> Result<&'a [u8], DecodeError> {
        let (head, tail) = self.0.split_at_checked(count).ok_or(DecodeError)?;
        self.0 = tail;
        Ok(head)
    }
}
