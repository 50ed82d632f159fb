//! Reads the event stream of a completion and compares it with the stand-in
//! engine's expected output.

use std::borrow::Cow;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use pomeloridge_standin::token;
use serde::Deserialize;

/// Every n-th token is compared, and the last one; not all, because each
/// comparison hashes the whole prompt.
const COMPARE_INTERVAL: usize = 16;

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

/// Fields of an error body that callers act on.
#[derive(Debug, Default, Deserialize)]
pub(crate) struct WireError {
    /// Error code.
    #[serde(default)]
    pub(crate) code: String,
    /// Run status of the request, such as `not run`.
    #[serde(default)]
    pub(crate) run: String,
    /// Delay before a retry, in ms.
    pub(crate) retry_after_ms: Option<u64>,
}

/// Parses the body of a refusal or failure; every field is empty if it can't be parsed.
pub(crate) fn parse_error(body: &[u8]) -> WireError {
    let parsed = serde_json::from_slice::<WireFailure>(body);
    parsed.map(|wire| wire.error).unwrap_or_default()
}

/// A completion stream as far as it was read.
pub struct TokenStream<'a> {
    /// Arrival of each token, since the first attempt.
    pub arrivals: Vec<Duration>,
    /// Whether the end event arrived.
    pub complete: bool,
    /// Whether the tokens match the expected answer.
    pub correct: bool,
    pub(crate) failure: Option<WireError>,
    prompt: &'a str,
    expected: usize,
    buf: BytesMut,
}

impl<'a> TokenStream<'a> {
    /// Creates a reader that expects `expected` tokens for `prompt`.
    pub fn new(prompt: &'a str, expected: usize) -> Self {
        Self {
            arrivals: Vec::with_capacity(expected),
            complete: false,
            correct: true,
            failure: None,
            prompt,
            expected,
            buf: BytesMut::new(),
        }
    }

    /// Processes bytes that arrived `at` after the first attempt.
    pub fn push(&mut self, bytes: &[u8], at: Duration) {
        self.buf.extend_from_slice(bytes);
        while let Some(end) = self.buf.windows(2).position(|pair| pair == b"\n\n") {
            let event = self.buf.split_to(end + 2).freeze();
            self.handle_event(&event, at);
        }
    }

    /// Checks the number of tokens after the last byte.
    pub fn finish(&mut self) {
        if self.complete && self.arrivals.len() != self.expected {
            self.correct = false;
        }
    }

    fn handle_event(&mut self, event: &Bytes, at: Duration) {
        let line = |prefix: &[u8]| {
            let mut lines = event.split(|byte| *byte == b'\n');
            lines.find_map(|line| line.strip_prefix(prefix))
        };
        let Some(data) = line(b"data: ") else { return };
        if data == b"[DONE]" {
            self.complete = true;
        } else if line(b"event: ") == Some(b"error") {
            self.failure = Some(parse_error(data));
        } else {
            let index = line(b"id: ").and_then(event_index);
            self.handle_token(index, data, at);
        }
    }

    fn handle_token(&mut self, index: Option<usize>, data: &[u8], at: Duration) {
        let position = self.arrivals.len();
        self.arrivals.push(at);
        let text = serde_json::from_slice::<WireEvent>(data)
            .ok()
            .and_then(|event| {
                let [choice] = event.choices;
                choice.text.or(choice.delta.map(|delta| delta.content))
            });
        let compared = position.is_multiple_of(COMPARE_INTERVAL) || position + 1 == self.expected;
        let matches = |text: Cow<str>| !compared || text == token(self.prompt, position);
        if index != Some(position) || self.complete || !text.is_some_and(matches) {
            self.correct = false;
        }
    }
}

/// Parses the token index of an event id `REQUEST:INDEX`.
fn event_index(id: &[u8]) -> Option<usize> {
    let (_, index) = std::str::from_utf8(id).ok()?.rsplit_once(':')?;
    index.parse().ok()
}
