//! One generation: admission, the event stream and its end.

use std::rc::Rc;

use http::{HeaderMap, HeaderValue, StatusCode};
use pomeloridge_base::http::{Fault, Request, Responder};
use serde::Deserialize;
use serde_json::{Value, json};

use super::Engine;
use super::batch::{Job, Phase, StreamKey};
use super::cache::{BLOCK_BYTES, blocks};
use crate::leak::{header_names, leaks_key};
use crate::listen::{Refused, error, read_json, take_one};
use crate::signal::Signal;
use crate::token::{prompt_hash, token_of};

/// Bytes of text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Tokens made where the request names no number.
const DEFAULT_TOKENS: usize = 16;

/// A generation as it is asked for.
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
enum End {
    #[display("done")]
    Done,
    #[display("truncated")]
    Truncated,
    #[display("cancelled")]
    Cancelled,
}

/// A generation that was admitted; dropping it frees its slot.
struct Running<'a> {
    engine: &'a Engine,
    key: StreamKey,
    signal: Rc<Signal>,
    body: GenerateBody,
    hash: String,
    /// The id that events carry; another one if answers are crossed.
    shown_id: String,
    blocks: Vec<u64>,
    cached: u64,
    /// Index after the last token written.
    sent: usize,
    /// Index after which the stream is to be cut.
    cut_at: Option<usize>,
    end: End,
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.engine.batch.borrow_mut().remove(self.key);
        let made = self.sent - self.body.resume.len();
        let fields = json!({
            "request_id": self.body.request_id,
            "prompt_hash": self.hash,
            "how": self.end.to_string(),
            "output_tokens": made,
        });
        self.engine.history.record("end", fields);
    }
}

/// Answers `POST /generate`.
pub(crate) async fn generate(
    engine: &Engine,
    request: &Request,
    responder: &mut Responder,
) -> Result<(), Fault> {
    match admit(engine, request) {
        Err(refusal) => responder.send(refusal.into()).await,
        Ok(mut running) => {
            let result = running.stream(responder).await;
            drop(running);
            result
        }
    }
}

/// Takes a generation in, or says why it is refused.
fn admit<'a>(engine: &'a Engine, request: &Request) -> Result<Running<'a>, Refused> {
    let body: GenerateBody = read_json(request)?;
    let refused = |status, why: &str| {
        let fields = json!({ "request_id": body.request_id, "status": status, "why": why });
        engine.history.record("refused", fields);
        error(status, why)
    };
    if engine.orders.borrow().refuses() {
        return Err(refused(503, "out of service").into());
    }
    if take_one(&mut engine.faults.borrow_mut().refuse) {
        return Err(refused(429, "refused").into());
    }
    let text = format!("{}{}", body.prompt, body.resume.concat());
    let blocks = blocks(&text);
    let tokens = tokens_of(&text);
    let found = engine.cache.borrow_mut().find(&blocks) * (BLOCK_BYTES / TOKEN_BYTES);
    // The last token is always read: the first output token comes from it.
    let cached = (found as u64).min(tokens - 1);
    let first = body.resume.len();
    let job = Job {
        priority: body.priority,
        unread: tokens - cached,
        held: tokens,
        first,
        end: body.max_tokens.max(first),
    };
    let admitted = engine.batch.borrow_mut().admit(job);
    let (key, signal) = admitted.ok_or_else(|| refused(429, "the queue is full"))?;
    record(engine, request, &body);
    let shown_id = shown_id(engine, &body.request_id);
    let truncated = take_one(&mut engine.faults.borrow_mut().truncate);
    let left = body.max_tokens.saturating_sub(first);
    engine.wake.notify();
    Ok(Running {
        engine,
        key,
        signal,
        hash: prompt_hash(&body.prompt),
        shown_id,
        blocks,
        cached,
        sent: first,
        cut_at: truncated.then_some(first + left / 2),
        end: End::Cancelled,
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

/// The id that an answer carries: its own, or another one if answers are crossed.
fn shown_id(engine: &Engine, id: &str) -> String {
    if take_one(&mut engine.faults.borrow_mut().cross) {
        return format!("{id}-other");
    }
    id.to_owned()
}

/// Tokens that a text counts for.
fn tokens_of(text: &str) -> u64 {
    (text.len() / TOKEN_BYTES).max(1) as u64
}

impl Running<'_> {
    async fn stream(&mut self, responder: &mut Responder) -> Result<(), Fault> {
        let mut headers = HeaderMap::new();
        headers.insert(
            "content-type",
            HeaderValue::from_static("text/event-stream"),
        );
        if let Ok(id) = HeaderValue::from_str(&self.shown_id) {
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
            let cut = self.cut_at.filter(|cut| *cut <= progress.made);
            self.write_tokens(responder, cut.unwrap_or(progress.made))
                .await?;
            if cut.is_some() {
                self.end = End::Truncated;
                return responder.finish().await;
            }
            if progress.phase == Phase::Done {
                return self.finish(responder).await;
            }
            monoio::select! {
                () = self.signal.wait(seen) => {}
                () = responder.closed() => return Ok(()),
            }
        }
    }

    async fn write_tokens(&mut self, responder: &mut Responder, end: usize) -> Result<(), Fault> {
        while self.sent < end {
            let event = json!({
                "request_id": self.shown_id,
                "index": self.sent,
                "text": token_of(&self.hash, self.sent),
            });
            self.write(responder, &event).await?;
            self.sent += 1;
        }
        Ok(())
    }

    async fn finish(&mut self, responder: &mut Responder) -> Result<(), Fault> {
        let prompt_tokens = tokens_of(&self.body.prompt);
        let event = json!({
            "request_id": self.shown_id,
            "done": true,
            "prompt_tokens": prompt_tokens,
            "output_tokens": self.sent - self.body.resume.len(),
            "cached_tokens": self.cached.min(prompt_tokens),
        });
        self.write(responder, &event).await?;
        self.end = End::Done;
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

    /// Keeps the prompt's blocks once the prompt has been read.
    fn store_blocks(&mut self) {
        let blocks = std::mem::take(&mut self.blocks);
        if !blocks.is_empty() {
            let now = self.engine.clock.unix_ms();
            self.engine.cache.borrow_mut().store(&blocks, now);
        }
    }

    /// Ends the process once a poisonous prompt has a slot.
    fn crash_if_poisoned(&self) {
        let progress = self.engine.batch.borrow().progress(self.key);
        let runs = progress.is_some_and(|progress| progress.phase != Phase::Queued);
        let faults = self.engine.faults.borrow();
        let poison = faults.poison.as_deref();
        if runs && poison.is_some_and(|text| self.body.prompt.contains(text)) {
            self.engine.crash("poison");
        }
    }
}
