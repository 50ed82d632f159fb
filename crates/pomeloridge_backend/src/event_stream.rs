//! Splits the body of an event stream into the data of its events.

use bytes::{Bytes, BytesMut};

use crate::BackendError;

/// Bytes that one event may have.
const MAX_EVENT_BYTES: usize = 256 * 1024;

/// Gathers body pieces and gives the data of each whole event.
#[derive(Default)]
pub(crate) struct EventStream {
    buf: BytesMut,
}

impl EventStream {
    /// Adds a piece of the body.
    pub(crate) fn push(&mut self, piece: &[u8]) -> Result<(), BackendError> {
        self.buf.extend_from_slice(piece);
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(BackendError::Broken);
        }
        Ok(())
    }

    /// The data of the next whole event, if there is one.
    pub(crate) fn next(&mut self) -> Option<Bytes> {
        loop {
            let end = self.buf.windows(2).position(|pair| pair == b"\n\n")?;
            let event = self.buf.split_to(end + 2).freeze();
            let mut lines = event.split(|byte| *byte == b'\n');
            // An event without data is a comment that keeps the stream alive.
            if let Some(data) = lines.find_map(|line| line.strip_prefix(b"data: ")) {
                return Some(event.slice_ref(data));
            }
        }
    }
}
