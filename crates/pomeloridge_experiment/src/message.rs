//! Builds the requests that callers send.

use http::Method;
use pomeloridge_base::http::OutgoingRequest;
use serde::Serialize;

use crate::arrivals::{Arrival, prompt, request_key, session_name};
use crate::plan::{Kind, Plan};

/// Lookups ask for the ids 1 to this.
const LOOKUP_IDS: u64 = 50;

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

/// A request with the inputs that determine its correct answer.
pub(crate) struct Message {
    pub(crate) request: OutgoingRequest,
    /// Prompt as the engine receives it; empty for plain services.
    pub(crate) prompt: String,
    /// Number of tokens of the correct answer.
    pub(crate) tokens: usize,
}

/// Builds the message of an arrival, authorized by its account's key.
pub(crate) fn build_message(plan: &Plan, arrival: &Arrival, key: &str) -> Message {
    let built = match arrival.kind {
        Kind::ShortPrompt | Kind::LongPrompt => completion(plan, arrival),
        Kind::Chat => chat(plan, arrival),
        Kind::Submission => service_message(submission(plan, arrival)),
        Kind::Lookup => {
            let number = arrival.serial % LOOKUP_IDS + 1;
            service_message(OutgoingRequest::get(format!("{}/{number}", plan.service)))
        }
    };
    Message {
        request: built
            .request
            .with_header("authorization", &format!("Bearer {key}")),
        ..built
    }
}

fn service_message(request: OutgoingRequest) -> Message {
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
