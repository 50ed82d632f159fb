//! Splits a stream into whole events, so that none is passed on in part.

use bytes::{Bytes, BytesMut};

/// Bytes of the longest event that is waited for.
const EVENT_BYTES: usize = 1024 * 1024;

/// A whole event with the blank line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Number, if it has one.
    pub id: Option<u64>,
    /// Bytes as they came.
    pub bytes: Bytes,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buf: BytesMut,
    /// Bytes that have been searched for an end.
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes; false if an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buf.extend_from_slice(bytes);
        self.buf.len() <= EVENT_BYTES
    }

    /// The next whole event.
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

    /// Whether the bytes so far end with a whole event.
    pub fn is_whole(&self) -> bool {
        self.buf.is_empty()
    }
}

/// The end of the first event, behind its blank line.
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
