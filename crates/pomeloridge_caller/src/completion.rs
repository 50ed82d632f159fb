//! Completion requests and responses in the format of the `OpenAI` API.

use pomeloridge_base::config::{ConfigView, RouteKind};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use serde::{Deserialize, Serialize};

use crate::refusal::Refusal;

/// Maximum output tokens of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 256;
/// Upper bound of `max_tokens`.
const MAX_OUTPUT_TOKENS: u32 = 32 * 1024;
/// Prompt bytes counted as one token.
const BYTES_PER_TOKEN: usize = 4;

/// A validated completion request.
#[derive(Clone, Debug)]
pub(crate) struct Completion {
    pub(crate) kind: RouteKind,
    pub(crate) model: Name,
    pub(crate) prompt: String,
    pub(crate) max_tokens: u32,
    pub(crate) stream: bool,
    pub(crate) session: Option<String>,
    /// Texts of the tokens that the caller received in an earlier stream.
    pub(crate) resume: Vec<String>,
}

impl Completion {
    /// Returns the prompt tokens to bill, estimated from the prompt's length.
    pub(crate) fn prompt_tokens(&self) -> u64 {
        (self.prompt.len() / BYTES_PER_TOKEN).max(1) as u64
    }
}

#[derive(Deserialize)]
struct WireRequest {
    model: Option<String>,
    prompt: Option<String>,
    messages: Option<Vec<WireMessage>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
    user: Option<String>,
    #[serde(default)]
    resume: Vec<String>,
}

#[derive(Deserialize)]
struct WireMessage {
    role: String,
    content: String,
}

/// Parses and validates a request body.
pub(crate) fn parse(
    kind: RouteKind,
    body: &[u8],
    config: &ConfigView,
) -> Result<Completion, Refusal> {
    let wire: WireRequest = serde_json::from_slice(body)
        .map_err(|error| Refusal::with_detail(ErrorKind::BadJson, error.to_string()))?;
    let missing =
        |field: &str| Refusal::with_detail(ErrorKind::BadJson, format!("`{field}` is missing"));
    let model = Name::from(wire.model.ok_or_else(|| missing("model"))?);
    if !config.fleet().models.contains_key(&model) {
        let known: Vec<_> = config.fleet().models.keys().map(Name::as_str).collect();
        let detail = format!("served are: {}", known.join(", "));
        return Err(Refusal::with_detail(ErrorKind::UnknownModel, detail));
    }
    let prompt = match kind {
        RouteKind::Chat => chat_prompt(&wire.messages.ok_or_else(|| missing("messages"))?),
        RouteKind::Completions | RouteKind::Service => {
            wire.prompt.ok_or_else(|| missing("prompt"))?
        }
    };
    let max_tokens = wire.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_OUTPUT_TOKENS).contains(&max_tokens) {
        let detail = format!("`max_tokens` is not between 1 and {MAX_OUTPUT_TOKENS}");
        return Err(Refusal::with_detail(ErrorKind::BadJson, detail));
    }
    if wire.resume.len() >= max_tokens as usize {
        let detail = "`resume` holds as many tokens as `max_tokens` allows";
        return Err(Refusal::with_detail(ErrorKind::BadJson, detail));
    }
    Ok(Completion {
        kind,
        model,
        prompt,
        max_tokens,
        stream: wire.stream,
        session: wire.user,
        resume: wire.resume,
    })
}

fn chat_prompt(messages: &[WireMessage]) -> String {
    let lines = messages
        .iter()
        .map(|message| format!("{}: {}\n", message.role, message.content));
    lines.collect()
}

#[derive(Serialize)]
struct WireAnswer<'a> {
    id: &'a str,
    object: &'static str,
    model: &'a Name,
    choices: [WireChoice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<WireUsage>,
}

#[derive(Serialize)]
struct WireChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<WireContent<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<WireContent<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct WireContent<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Clone, Copy, Serialize)]
struct WireUsage {
    #[serde(rename = "prompt_tokens")]
    prompt: u64,
    #[serde(rename = "completion_tokens")]
    completion: u64,
    #[serde(rename = "total_tokens")]
    total: u64,
}

/// Returns the body of a response that is not streamed.
pub(crate) fn completion_body(
    id: &str,
    completion: &Completion,
    text: &str,
    tokens: u64,
) -> String {
    let content = WireContent {
        role: "assistant",
        content: text,
    };
    let chat = completion.kind == RouteKind::Chat;
    let choice = WireChoice {
        index: 0,
        text: (!chat).then_some(text),
        message: chat.then_some(content),
        delta: None,
        finish_reason: Some("stop"),
    };
    let prompt = completion.prompt_tokens();
    let usage = WireUsage {
        prompt,
        completion: tokens,
        total: prompt + tokens,
    };
    let object = if chat {
        "chat.completion"
    } else {
        "text_completion"
    };
    encode(id, object, completion, choice, Some(usage))
}

/// Returns the event of one token; a reconnect sends its event ID as `Last-Event-ID`.
pub(crate) fn token_event(id: &str, completion: &Completion, index: u32, text: &str) -> String {
    let content = WireContent {
        role: "assistant",
        content: text,
    };
    let chat = completion.kind == RouteKind::Chat;
    let choice = WireChoice {
        index: 0,
        text: (!chat).then_some(text),
        message: None,
        delta: chat.then_some(content),
        finish_reason: None,
    };
    let object = if chat {
        "chat.completion.chunk"
    } else {
        "text_completion"
    };
    let data = encode(id, object, completion, choice, None);
    format!("id: {id}:{index}\ndata: {data}\n\n")
}

/// The last event of a complete stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

fn encode(
    id: &str,
    object: &'static str,
    completion: &Completion,
    choice: WireChoice<'_>,
    usage: Option<WireUsage>,
) -> String {
    let answer = WireAnswer {
        id,
        object,
        model: &completion.model,
        choices: [choice],
        usage,
    };
    serde_json::to_string(&answer).unwrap_or_default()
}
