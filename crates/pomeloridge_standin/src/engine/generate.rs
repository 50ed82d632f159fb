//! Generations: admission, the event stream and its outcome.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, StatusCode};
use pomeloridge_base::http::{Fault, Request, Responder};
use serde::Deserialize;
use serde_json::{Value, json};

use super::Engine;
use super::batch::{Job, Phase, StreamKey};
use super::cache::{BLOCK_BYTES, block_hashes};
use crate::leak::{header_names, leaks_key};
use crate::listen::{Rejection, error, read_json, take_fault};
use crate::signal::Signal;
use crate::token::{prompt_hash, token_for_hash};

/// Bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Output tokens of a request without `max_tokens`.
const DEFAULT_TOKENS: usize = 16;

/// Body of `POST /generate`.
#[derive(Debug, Deserialize)]
pub(crate) struct GenerateBody {
    request_id: String,
    prompt: String,
    #[serde(default)]
    resume: Vec<String>,
    #[serde(default = "default_tokens")]
    max_tokens: usize,
    #[serde(default)]
    priority: i64,
}

fn default_tokens() -> usize {
    DEFAULT_TOKENS
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
enum Outcome {
    #[display("done")]
    Done,
    #[display("truncated")]
    Truncated,
    #[display("cancelled")]
    Cancelled,
}

/// An admitted generation; dropping it frees its slot.
struct Generation<'a> {
    engine: &'a Engine,
    key: StreamKey,
    signal: Rc<Signal>,
    body: GenerateBody,
    hash: String,
    /// The id in the response; a wrong one if the `cross` fault applies.
    response_id: String,
    /// Block hashes to store; empty once stored.
    blocks: Vec<u64>,
    /// Tokens found in the prefix cache.
    cached: u64,
    /// Index after the last token written.
    sent: usize,
    /// Token index at which the `truncate` fault ends the stream.
    truncate_at: Option<usize>,
    outcome: Outcome,
}

impl Drop for Generation<'_> {
    fn drop(&mut self) {
        self.engine.batch.borrow_mut().remove(self.key);
        let made = self.sent - self.body.resume.len();
        let fields = json!({
            "request_id": self.body.request_id,
            "prompt_hash": self.hash,
            "how": self.outcome.to_string(),
            "output_tokens": made,
        });
        self.engine.history.record("end", fields);
    }
}

/// Handles `POST /generate`.
pub(crate) async fn generate(
    engine: &Engine,
    request: &Request,
    responder: &mut Responder,
) -> Result<(), Fault> {
    match admit(engine, request) {
        Err(rejection) => responder.send(rejection.into()).await,
        Ok(mut generation) => {
            let result = generation.stream(responder).await;
            drop(generation);
            result
        }
    }
}

/// Admits a generation or returns why it is refused.
fn admit<'a>(engine: &'a Engine, request: &Request) -> Result<Generation<'a>, Rejection> {
    let body: GenerateBody = read_json(request)?;
    let refused = |status, why: &str| {
        let fields = json!({ "request_id": body.request_id, "status": status, "why": why });
        engine.history.record("refused", fields);
        error(status, why)
    };
    if engine.orders.borrow().is_out_of_service() {
        return Err(refused(503, "out of service").into());
    }
    if take_fault(&mut engine.faults.borrow_mut().refuse) {
        return Err(refused(429, "refused").into());
    }
    let text = format!("{}{}", body.prompt, body.resume.concat());
    let blocks = block_hashes(&text);
    let tokens = count_tokens(&text);
    let cached = engine.cache.borrow_mut().match_prefix(&blocks) * (BLOCK_BYTES / TOKEN_BYTES);
    // The last prompt token is always prefilled: it yields the first output token.
    let cached = (cached as u64).min(tokens - 1);
    let start = body.resume.len();
    let job = Job {
        priority: body.priority,
        prefill_tokens: tokens - cached,
        kv_tokens: tokens,
        start,
        end: body.max_tokens.max(start),
    };
    let admitted = engine.batch.borrow_mut().admit(job);
    let (key, signal) = admitted.ok_or_else(|| refused(429, "the queue is full"))?;
    record(engine, request, &body);
    let response_id = response_id(engine, &body.request_id);
    let truncated = take_fault(&mut engine.faults.borrow_mut().truncate);
    let left = body.max_tokens.saturating_sub(start);
    engine.wake.notify();
    Ok(Generation {
        engine,
        key,
        signal,
        hash: prompt_hash(&body.prompt),
        response_id,
        blocks,
        cached,
        sent: start,
        truncate_at: truncated.then_some(start + left / 2),
        outcome: Outcome::Cancelled,
        body,
    })
}

fn record(engine: &Engine, request: &Request, body: &GenerateBody) {
    let fields = json!({
        "request_id": body.request_id,
        "prompt_hash": prompt_hash(&body.prompt),
        "resumed": body.resume.len(),
        "max_tokens": body.max_tokens,
        "priority": body.priority,
        "header_names": header_names(&request.headers),
        "leaks_key": leaks_key(&request.headers, &body.prompt),
        "leaving": engine.faults.borrow().leaving,
    });
    engine.history.record("generate", fields);
}

/// Returns the id for the response, which is a wrong one if the `cross` fault applies.
fn response_id(engine: &Engine, id: &str) -> String {
    if take_fault(&mut engine.faults.borrow_mut().cross) {
        return format!("{id}-other");
    }
    id.to_owned()
}

/// Returns the number of tokens in a text, at least 1.
fn count_tokens(text: &str) -> u64 {
    (text.len() / TOKEN_BYTES).max(1) as u64
}

impl Generation<'_> {
    async fn stream(&mut self, responder: &mut Responder) -> Result<(), Fault> {
        let mut headers = HeaderMap::new();
        headers.insert(
            "content-type",
            HeaderValue::from_static("text/event-stream"),
        );
        if let Ok(id) = HeaderValue::from_str(&self.response_id) {
            headers.insert("x-request-id", id);
        }
        self.crash_if_poisoned();
        responder.start(StatusCode::OK, &headers).await?;
        loop {
            let seen = self.signal.count();
            self.crash_if_poisoned();
            let Some(progress) = self.engine.batch.borrow().progress(self.key) else {
                return Ok(());
            };
            if matches!(progress.phase, Phase::Decode(_) | Phase::Done) {
                self.store_blocks();
            }
            let end = self.truncate_at.filter(|end| *end <= progress.generated);
            self.write_tokens(responder, end.unwrap_or(progress.generated))
                .await?;
            if end.is_some() {
                self.outcome = Outcome::Truncated;
                return responder.finish().await;
            }
            if progress.phase == Phase::Done {
                return self.finish(responder).await;
            }
            monoio::select! {
                () = self.signal.wait(seen) => {}
                _ = responder.closed() => return Ok(()),
            }
        }
    }

    async fn write_tokens(&mut self, responder: &mut Responder, end: usize) -> Result<(), Fault> {
        while self.sent < end {
            let event = json!({
                "request_id": self.response_id,
                "index": self.sent,
                "text": token_for_hash(&self.hash, self.sent),
            });
            self.write(responder, &event).await?;
            self.sent += 1;
        }
        Ok(())
    }

    async fn finish(&mut self, responder: &mut Responder) -> Result<(), Fault> {
        let prompt_tokens = count_tokens(&self.body.prompt);
        let event = json!({
            "request_id": self.response_id,
            "done": true,
            "prompt_tokens": prompt_tokens,
            "output_tokens": self.sent - self.body.resume.len(),
            "cached_tokens": self.cached.min(prompt_tokens),
        });
        self.write(responder, &event).await?;
        self.outcome = Outcome::Done;
        responder.finish().await
    }

    async fn write(&self, responder: &mut Responder, event: &Value) -> Result<(), Fault> {
        if self.engine.faults.borrow().silent {
            responder.closed().await;
            return Err(Fault::Closed);
        }
        let text = format!("data: {event}\n\n");
        responder.send_chunk(text.as_bytes()).await
    }

    /// Stores the blocks of the prompt in the prefix cache, once.
    fn store_blocks(&mut self) {
        let blocks = std::mem::take(&mut self.blocks);
        if !blocks.is_empty() {
            let now = self.engine.clock.unix_ms();
            self.engine.cache.borrow_mut().store(&blocks, now);
        }
    }

    /// Crashes once a prompt with the poison text has a slot.
    fn crash_if_poisoned(&self) {
        let progress = self.engine.batch.borrow().progress(self.key);
        let is_running = progress.is_some_and(|progress| progress.phase != Phase::Queued);
        let faults = self.engine.faults.borrow();
        let poison = faults.poison.as_deref();
        if is_running && poison.is_some_and(|text| self.body.prompt.contains(text)) {
            self.engine.crash("poison");
        }
    }
}
