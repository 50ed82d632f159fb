//! Splits a byte stream into complete events, so that none is forwarded partially.

use bytes::{Bytes, BytesMut};

/// Most bytes that are buffered for one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// A complete event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number in the last `id` line, if any.
    pub id: Option<u64>,
    /// Bytes of the event as received.
    pub bytes: Bytes,
}

/// Buffers bytes until they form complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Number of buffered bytes that have been searched for the end of an event.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes; returns false if too many are buffered.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= MAX_EVENT_BYTES
    }

    /// Removes and returns the next complete event.
    pub fn next_event(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(3);
        let Some(end) = event_end(&self.buf, from) else {
            self.searched = self.buf.len();
            return None;
        };
        self.searched = 0;
        let bytes = self.buf.split_to(end).freeze();
        Some(Event {
            id: event_id(&bytes),
            bytes,
        })
    }

    /// Returns the number of buffered bytes.
    pub fn buffered(&self) -> usize {
        self.buf.len()
    }

    /// Whether no bytes are buffered, so that the input so far ends with a complete event.
    pub fn is_empty(&self) -> bool {
        self.buf.is_empty()
    }
}

/// Returns the offset behind the blank line that ends the first event.
fn event_end(buf: &[u8], from: usize) -> Option<usize> {
    let at = |index: usize| buf.get(index).copied();
    (from..buf.len()).find_map(|index| match (at(index), at(index + 1)) {
        (Some(b'\n'), Some(b'\n')) => Some(index + 2),
        (Some(b'\n'), Some(b'\r')) if at(index + 2) == Some(b'\n') => Some(index + 3),
        _ => None,
    })
}

fn event_id(event: &[u8]) -> Option<u64> {
    let lines = event.split(|byte| *byte == b'\n');
    let id = lines
        .filter_map(|line| line.strip_prefix(b"id:"))
        .next_back()?;
    std::str::from_utf8(id).ok()?.trim().parse().ok()
}
