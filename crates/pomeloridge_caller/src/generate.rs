//! Handles completions: parses the request, determines its ID and runs it.

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::Responder;
use pomeloridge_base::meter::Counter;
use pomeloridge_policy::prefix::block_hashes;
use pomeloridge_policy::suspicion::Fingerprint;

use crate::completion::{self, Completion};
use crate::frontend::{AcceptedRequest, Frontend};
use crate::generation_run::{GenerationError, GenerationRun};
use crate::refusal::Refusal;

/// Handles a completion request.
pub(crate) async fn serve(
    frontend: &Frontend,
    accepted: &AcceptedRequest,
    responder: &mut Responder,
) {
    let body = &accepted.request.body;
    let parsed = completion::parse(accepted.route.kind, body, &frontend.config.borrow());
    let completion = match parsed {
        Ok(completion) => completion,
        Err(refusal) => return frontend.refuse(&refusal, None, responder).await,
    };
    let fingerprint = fingerprint(accepted, &completion);
    let id = match request_id(frontend, accepted, &completion, &fingerprint) {
        Ok(id) => id,
        Err(refusal) => return frontend.refuse(&refusal, None, responder).await,
    };
    let mut run = GenerationRun {
        frontend,
        accepted,
        blocks: block_hashes(completion.prompt.as_bytes()),
        texts: completion.resume.clone(),
        completion,
        fingerprint,
        id,
        tried: Vec::new(),
        attempts: 0,
        refusals: 0,
        may_have_run: false,
    };
    match run.run(responder).await {
        Ok(()) => frontend.meter.increment(Counter::Answered),
        Err(GenerationError::CallerDisconnected) => {
            frontend.meter.increment(Counter::Cancelled);
            frontend.record_decision(
                &run.id,
                "outcome=cancelled reason=\"the caller has gone\"".to_owned(),
            );
        }
        Err(GenerationError::Refused(refusal)) => {
            run.send_failure(&run.with_run_status(refusal), responder)
                .await;
        }
    }
}

/// Returns the fingerprint of a completion; a reconnect has that of its first request.
fn fingerprint(accepted: &AcceptedRequest, completion: &Completion) -> Fingerprint {
    let max_tokens = completion.max_tokens.to_be_bytes();
    let body = [
        completion.model.as_bytes(),
        b"\0",
        &max_tokens,
        completion.prompt.as_bytes(),
    ];
    Fingerprint::of(&accepted.account, &accepted.route.path, &body.concat())
}

/// Returns a new ID, or the one in the `Last-Event-ID` of a reconnect.
fn request_id(
    frontend: &Frontend,
    accepted: &AcceptedRequest,
    completion: &Completion,
    fingerprint: &Fingerprint,
) -> Result<String, Refusal> {
    let Some(last) = accepted.request.header("last-event-id") else {
        return Ok(frontend.ids.next(&accepted.account, &fingerprint.0));
    };
    let invalid = |detail: &str| Refusal::with_detail(ErrorKind::BadRequest, detail);
    let (id, index) = last
        .rsplit_once(':')
        .ok_or_else(|| invalid("Last-Event-ID is not ID:INDEX"))?;
    if !frontend.ids.verify(id, &accepted.account, &fingerprint.0) {
        return Err(invalid("Last-Event-ID belongs to another request"));
    }
    let next = index.parse::<usize>().ok().map(|index| index + 1);
    if next != Some(completion.resume.len()) {
        return Err(invalid("`resume` must hold the tokens up to Last-Event-ID"));
    }
    frontend.record_decision(
        id,
        format!("reconnect resumed_tokens={}", completion.resume.len()),
    );
    Ok(id.to_owned())
}
