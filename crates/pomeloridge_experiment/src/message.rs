//! The requests that callers send.

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde::Serialize;

use crate::arrivals::{Arrival, prompt, request_key, session_name};
use crate::plan::{Kind, Plan};

/// Numbers that lookups ask for.
const LOOKUPS: u64 = 50;

#[derive(Serialize)]
struct WireCompletion<'a> {
    model: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    prompt: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    messages: Option<[WireMessage<'a>; 1]>,
    max_tokens: u32,
    stream: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    user: Option<&'a str>,
}

#[derive(Serialize)]
struct WireMessage<'a> {
    role: &'static str,
    content: &'a str,
}

#[derive(Serialize)]
struct WireSubmission<'a> {
    reference: &'a str,
    account: &'a str,
}

/// A request and what its answer must follow from.
pub(crate) struct Message {
    pub(crate) request: OutgoingRequest,
    /// The prompt as the engine reads it; empty for plain services.
    pub(crate) prompt: String,
    /// Tokens of the right answer.
    pub(crate) tokens: usize,
}

/// The message of an arrival, sent with its account's key.
pub(crate) fn message(plan: &Plan, arrival: &Arrival, key: &str) -> Message {
    let built = match arrival.kind {
        Kind::ShortPrompt | Kind::LongPrompt => completion(plan, arrival),
        Kind::Chat => chat(plan, arrival),
        Kind::Submission => plain(submission(plan, arrival)),
        Kind::Lookup => {
            let number = arrival.serial % LOOKUPS + 1;
            plain(OutgoingRequest::get(format!("{}/{number}", plan.service)))
        }
    };
    Message {
        request: built
            .request
            .with_header("authorization", &format!("Bearer {key}")),
        ..built
    }
}

fn plain(request: OutgoingRequest) -> Message {
    Message {
        request,
        prompt: String::new(),
        tokens: 0,
    }
}

fn submission(plan: &Plan, arrival: &Arrival) -> OutgoingRequest {
    let key = request_key(plan, arrival.serial);
    let body = WireSubmission {
        reference: &key,
        account: &plan.accounts[arrival.account].name,
    };
    let request = OutgoingRequest::new(Method::POST, plan.service.as_str()).json(&body);
    request.with_header("idempotency-key", &key)
}

fn completion(plan: &Plan, arrival: &Arrival) -> Message {
    let prompt = prompt(plan, arrival);
    let tokens = output_tokens(plan, arrival);
    let body = WireCompletion {
        model: &plan.model,
        prompt: Some(&prompt),
        messages: None,
        max_tokens: tokens,
        stream: true,
        user: None,
    };
    Message {
        request: OutgoingRequest::new(Method::POST, "/v1/completions").json(&body),
        prompt,
        tokens: tokens as usize,
    }
}

fn chat(plan: &Plan, arrival: &Arrival) -> Message {
    let content = prompt(plan, arrival);
    let tokens = output_tokens(plan, arrival);
    let session = session_name(plan, arrival);
    let message = WireMessage {
        role: "user",
        content: &content,
    };
    let body = WireCompletion {
        model: &plan.model,
        prompt: None,
        messages: Some([message]),
        max_tokens: tokens,
        stream: true,
        user: Some(&session),
    };
    Message {
        request: OutgoingRequest::new(Method::POST, "/v1/chat/completions").json(&body),
        prompt: format!("user: {content}\n"),
        tokens: tokens as usize,
    }
}

fn output_tokens(plan: &Plan, arrival: &Arrival) -> u32 {
    plan.kind(arrival.kind).map_or(1, |kind| kind.output.max(1))
}
