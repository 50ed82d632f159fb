//! Parser of server-sent events.

use bytes::{Bytes, BytesMut};

use crate::BackendError;

/// Maximum bytes buffered, which bounds the size of an event.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Buffers pieces of a body and returns the data of each complete event.
#[derive(Default)]
pub(crate) struct EventStream {
    buf: BytesMut,
}

impl EventStream {
    /// Appends a piece of the body.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<(), BackendError> {
        self.buf.extend_from_slice(piece);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(BackendError::Broken);
        }
        Ok(())
    }

    /// Returns the data of the next complete event, if any.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buf.split_to(end + 2).freeze();
            let mut lines = event.split(|byte| *byte == b'\n');
            // An event without data is a keep-alive comment.
            if let Some(data) = lines.find_map(|line| line.strip_prefix(b"data: ")) {
                return Some(event.slice_ref(data));
            }
        }
    }
}
