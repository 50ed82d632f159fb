//! Renders refusals by the table of error kinds.

use pomeloridge_base::error::RunStatus;
use pomeloridge_base::http::Response;
pub use pomeloridge_base::refusal::Refusal;
use serde::Serialize;

#[derive(Serialize)]
struct WireRefusal<'a> {
    error: WireError<'a>,
}

#[derive(Serialize)]
struct WireError<'a> {
    code: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
    run: RunStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    request_id: Option<&'a str>,
}

/// Returns the JSON body of a refusal.
pub fn render_json(refusal: &Refusal, request_id: Option<&str>) -> String {
    let answer = refusal.kind.answer();
    let wire = WireRefusal {
        error: WireError {
            code: answer.code,
            message: answer.text,
            detail: refusal.detail.as_deref(),
            run: refusal.run(),
            retry_after_ms: refusal.retry_after().map(|retry| retry.as_millis() as u64),
            request_id,
        },
    };
    serde_json::to_string(&wire).unwrap_or_default()
}

/// Returns the response for a refusal, with `Retry-After` rounded up to seconds.
pub fn refusal_response(refusal: &Refusal, request_id: Option<&str>) -> Response {
    let body = render_json(refusal, request_id);
    let mut response = Response::new(refusal.kind.answer().status, body)
        .with_header("content-type", "application/json")
        .with_header("x-run", &refusal.run().to_string());
    if let Some(retry) = refusal.retry_after() {
        let seconds = retry.as_millis().div_ceil(1000).max(1);
        response = response.with_header("retry-after", &seconds.to_string());
    }
    match request_id {
        Some(id) => response.with_header("x-request-id", id),
        None => response,
    }
}
