//! Text generation on a model engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use pomeloridge_base::http::{ConnectOptions, Connection, OutgoingRequest};

use crate::BackendError;
use crate::event_stream::EventStream;
use crate::wire::{WireEvent, WireGenerate};

/// A generation to run or resume.
#[derive(Clone, Debug)]
pub struct GenerationRequest {
    /// Request ID, which the engine echoes in every event.
    pub id: String,
    /// Prompt.
    pub prompt: String,
    /// Texts of the tokens that the caller has already received.
    pub resume: Vec<String>,
    /// Maximum output tokens, including those in `resume`.
    pub max_tokens: u32,
    /// Priority in the engine's queue; higher values run first.
    pub priority: i32,
}

/// An event of a running generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The next token.
    Token {
        /// Index in the generation, from 0 and including resumed tokens.
        index: u32,
        /// Text.
        text: String,
    },
    /// The end of the generation.
    Done {
        /// Prompt tokens.
        prompt_tokens: u64,
        /// Output tokens of this run.
        output_tokens: u64,
        /// Prompt tokens found in the engine's KV cache.
        cached_tokens: u64,
    },
}

/// A generation running on an engine; dropping it cancels the stream.
pub struct Generation {
    connection: Connection,
    events: EventStream,
    id: String,
    next_index: u32,
    end_index: u32,
}

impl Generation {
    /// Sends the request and waits for the response head.
    pub async fn start(
        address: SocketAddr,
        request: &GenerationRequest,
        connect: Duration,
        deadline: Instant,
    ) -> Result<Self, BackendError> {
        let options = ConnectOptions {
            timeout: connect,
            ..ConnectOptions::default()
        };
        let mut connection = Connection::open(address, options).await?;
        let body = WireGenerate {
            request_id: &request.id,
            prompt: &request.prompt,
            resume: &request.resume,
            max_tokens: request.max_tokens,
            priority: request.priority,
        };
        let message = OutgoingRequest::new(http::Method::POST, "/generate")
            .with_header("x-request-id", &request.id)
            .json(&body);
        connection.send(&message, deadline).await?;
        let head = connection.read_head(deadline).await?;
        match head.status.as_u16() {
            200 => {}
            429 | 503 => return Err(BackendError::Refused),
            400..500 => return Err(BackendError::Rejected),
            _ => return Err(BackendError::Broken),
        }
        let echoed = head.headers.get("x-request-id");
        if echoed.is_some_and(|id| id.as_bytes() != request.id.as_bytes()) {
            return Err(BackendError::Crossed);
        }
        Ok(Self {
            connection,
            events: EventStream::default(),
            id: request.id.clone(),
            next_index: request.resume.len() as u32,
            end_index: request.max_tokens,
        })
    }

    /// Waits for the next event.
    ///
    /// A stream that ends without [`Event::Done`] is never complete, and an unexpected
    /// index makes the response malformed.
    pub async fn next(&mut self, deadline: Instant) -> Result<Event, BackendError> {
        loop {
            if let Some(data) = self.events.next() {
                return self.parse_event(&data);
            }
            match self.connection.read_chunk(deadline).await? {
                Some(piece) => self.events.push(&piece)?,
                // The server terminated the body itself, so it is still up.
                None => return Err(BackendError::Broken),
            }
        }
    }

    fn parse_event(&mut self, data: &[u8]) -> Result<Event, BackendError> {
        let event: WireEvent = serde_json::from_slice(data).map_err(|_| BackendError::Broken)?;
        if event.request_id != self.id {
            return Err(BackendError::Crossed);
        }
        if event.done {
            return Ok(Event::Done {
                prompt_tokens: event.prompt_tokens,
                output_tokens: event.output_tokens,
                cached_tokens: event.cached_tokens,
            });
        }
        match (event.index, event.text) {
            (Some(index), Some(text)) if index == self.next_index && index < self.end_index => {
                self.next_index += 1;
                Ok(Event::Token { index, text })
            }
            _ => Err(BackendError::Broken),
        }
    }
}
