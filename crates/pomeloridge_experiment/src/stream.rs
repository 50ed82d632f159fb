//! Reads the event stream of a completion, and compares it with what the
//! stand-in engine must have made.

use std::borrow::Cow;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pomeloridge_standin::token;
use serde::Deserialize;

/// One token of so many is compared besides the first and the last: each
/// comparison hashes the whole prompt.
const COMPARED: usize = 16;

#[derive(Deserialize)]
struct WireEvent<'a> {
    #[serde(borrow)]
    choices: [WireChoice<'a>; 1],
}

#[derive(Deserialize)]
struct WireChoice<'a> {
    #[serde(borrow)]
    text: Option<Cow<'a, str>>,
    #[serde(borrow)]
    delta: Option<WireDelta<'a>>,
}

#[derive(Deserialize)]
struct WireDelta<'a> {
    #[serde(borrow)]
    content: Cow<'a, str>,
}

#[derive(Deserialize)]
struct WireFailure {
    error: WireError,
}

/// The part of a refusal or failure that callers act on.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct WireError {
    /// Stable code.
    #[serde(default)]
    pub(crate) code: String,
    /// Whether it ran.
    #[serde(default)]
    pub(crate) run: String,
    /// When to come back, in ms.
    pub(crate) retry_after_ms: Option<u64>,
}

/// Reads the JSON of a refusal or failure.
pub(crate) fn read_error(body: &[u8]) -> WireError {
    let read = serde_json::from_slice::<WireFailure>(body);
    read.map(|wire| wire.error).unwrap_or_default()
}

/// A stream as far as it was read.
pub struct TokenStream<'a> {
    /// Arrival of each token.
    pub arrivals: Vec<Duration>,
    /// Whether the end event came.
    pub whole: bool,
    /// Whether each token is the next one of the right answer.
    pub right: bool,
    pub(crate) failure: Option<WireError>,
    prompt: &'a str,
    expected: usize,
    buf: BytesMut,
}

impl<'a> TokenStream<'a> {
    /// A stream that must hold `expected` tokens for `prompt`.
    pub fn new(prompt: &'a str, expected: usize) -> Self {
        Self {
            arrivals: Vec::with_capacity(expected),
            whole: false,
            right: true,
            failure: None,
            prompt,
            expected,
            buf: BytesMut::new(),
        }
    }

    /// Takes bytes that arrived `at` after the first sending.
    pub fn take(&mut self, bytes: &[u8], at: Duration) {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.buf.split_to(end + 2).freeze();
            self.take_event(&event, at);
        }
    }

    /// Judges the stream after its last byte.
    pub fn finish(&mut self) {
        if self.whole && self.arrivals.len() != self.expected {
            self.right = false;
        }
    }

    fn take_event(&mut self, event: &Bytes, at: Duration) {
        let line = |prefix: &[u8]| {
            let mut lines = event.split(|byte| *byte == b'\n');
            lines.find_map(|line| line.strip_prefix(prefix))
        };
        let Some(data) = line(b"data: ") else { return };
        if data == b"[DONE]" {
            self.whole = true;
        } else if line(b"event: ") == Some(b"error") {
            self.failure = Some(read_error(data));
        } else {
            let index = line(b"id: ").and_then(event_index);
            self.take_token(index, data, at);
        }
    }

    fn take_token(&mut self, index: Option<usize>, data: &[u8], at: Duration) {
        let place = self.arrivals.len();
        self.arrivals.push(at);
        let text = serde_json::from_slice::<WireEvent>(data)
            .ok()
            .and_then(|event| {
                let [choice] = event.choices;
                choice.text.or(choice.delta.map(|delta| delta.content))
            });
        let compared = place.is_multiple_of(COMPARED) || place + 1 == self.expected;
        let same = |text: Cow<str>| !compared || text == token(self.prompt, place);
        if index != Some(place) || self.whole || !text.is_some_and(same) {
            self.right = false;
        }
    }
}

/// The place of a token that an event id `REQUEST:INDEX` names.
fn event_index(id: &[u8]) -> Option<usize> {
    let (_, index) = std::str::from_utf8(id).ok()?.rsplit_once(':')?;
    index.parse().ok()
}
