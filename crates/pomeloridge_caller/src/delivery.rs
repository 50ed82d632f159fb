//! Sends a generation to its caller: tokens as they arrive, then the end or the
//! error.

use http::{HeaderMap, HeaderValue, StatusCode};
use pomeloridge_base::http::{Responder, Response};
use pomeloridge_base::meter::{Counter, Timer};
use pomeloridge_policy::server::ServerKey;

use crate::completion::{self, DONE_EVENT};
use crate::frontend::Usage;
use crate::generation_run::{AttemptError, GenerationError, GenerationRun};
use crate::refusal::{self, Refusal};

impl GenerationRun<'_> {
    pub(crate) fn count_token(&self) {
        let now = self.frontend.clock.now();
        let mut demand = self.frontend.policy.demand.borrow_mut();
        demand.record_output(&self.completion.model, 1, now);
    }

    pub(crate) fn record_first_token(&self, server: ServerKey) {
        let frontend = self.frontend;
        let mut hints = frontend.policy.hints.borrow_mut();
        hints.add_blocks(server, &self.blocks);
        if self.texts.len() == self.completion.resume.len() {
            let taken = frontend
                .clock
                .now()
                .saturating_duration_since(self.accepted.arrived);
            frontend.meter.record(Timer::FirstToken, taken);
        }
    }

    pub(crate) async fn send_token(
        &self,
        index: u32,
        text: &str,
        responder: &mut Responder,
    ) -> Result<(), AttemptError> {
        self.frontend.meter.increment(Counter::OutputTokens);
        if !self.completion.stream {
            return Ok(());
        }
        if !responder.started() {
            let head = stream_head(&self.id);
            let started = responder.start(StatusCode::OK, &head).await;
            started.map_err(|_| AttemptError::CallerDisconnected)?;
        }
        let event = completion::token_event(&self.id, &self.completion, index, text);
        let sent = responder.send_chunk(event.as_bytes()).await;
        sent.map_err(|_| AttemptError::CallerDisconnected)
    }

    /// Records the usage and completes the response.
    pub(crate) async fn finish(&self, responder: &mut Responder) -> Result<(), GenerationError> {
        let tokens = self.texts.len() as u64;
        let usage = Usage {
            request_id: self.id.clone(),
            account: self.accepted.account.clone(),
            prompt_tokens: self.completion.prompt_tokens(),
            output_tokens: tokens,
        };
        self.learn_output(tokens);
        (self.frontend.record_usage)(usage).await;
        let sent = if self.completion.stream {
            self.end_stream(responder).await
        } else {
            let text = self.texts.concat();
            let body = completion::completion_body(&self.id, &self.completion, &text, tokens);
            let response = Response::new(200, body)
                .with_header("content-type", "application/json")
                .with_header("x-request-id", &self.id);
            responder.send(response).await.is_ok()
        };
        if !sent {
            return Err(GenerationError::CallerDisconnected);
        }
        let text = format!(
            "outcome=answered tokens={tokens} attempts={}",
            self.attempts
        );
        self.frontend.record_decision(&self.id, text);
        Ok(())
    }

    pub(crate) fn learn_output(&self, tokens: u64) {
        let mut estimates = self.frontend.policy.estimates.borrow_mut();
        estimates.learn(&self.completion.model, &self.accepted.account, tokens);
    }

    pub(crate) async fn end_stream(&self, responder: &mut Responder) -> bool {
        if !responder.started() {
            let head = stream_head(&self.id);
            if responder.start(StatusCode::OK, &head).await.is_err() {
                return false;
            }
        }
        responder.send_chunk(DONE_EVENT.as_bytes()).await.is_ok()
            && responder.finish().await.is_ok()
    }

    /// Sends a refusal; a stream that has started is aborted with an error event.
    pub(crate) async fn send_failure(&self, refusal: &Refusal, responder: &mut Responder) {
        if !responder.started() {
            return self
                .frontend
                .refuse(refusal, Some(&self.id), responder)
                .await;
        }
        self.frontend.meter.increment(Counter::Failed);
        let code = refusal.kind.answer().code;
        self.frontend
            .record_decision(&self.id, format!("outcome=aborted code={code}"));
        let body = refusal::render_json(refusal, Some(&self.id));
        let event = format!("event: error\ndata: {body}\n\n");
        // The body is not terminated, so that it can't be taken for complete.
        let _ = responder.send_chunk(event.as_bytes()).await;
    }
}

fn stream_head(id: &str) -> HeaderMap {
    let mut head = HeaderMap::new();
    head.insert(
        "content-type",
        HeaderValue::from_static("text/event-stream"),
    );
    head.insert("cache-control", HeaderValue::from_static("no-store"));
    if let Ok(id) = HeaderValue::from_str(id) {
        head.insert("x-request-id", id);
    }
    head
}
