//! Tells operators where a given request would go now, and why, without sending anything.
//!
//! The answer is computed from what the gateway believes at that moment. It changes nothing:
//! no limit, budget or quarantine counts it, no probe is taken, and the next choice of a server
//! draws what it would have drawn. A question carries no key, but names a client account.

mod wire;

use std::time::Duration;

use http::Method;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::http::{Request, Response};
use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::{
    Candidate, DispatchRequest, Dispatcher, Explanation, Plan, PromptShape, TargetInfo, TargetKey,
};

use crate::accept::{DEFAULT_CALLER_TIMEOUT, caller_needs, gives_up_before, shared_parts};
use crate::attempt::with_expected_answer;
use crate::config::{Route, RouteKind, ServingConfig};
use crate::part_quarantine;
use crate::state::State;
use wire::{AnswerWire, ErrorWire, Problem, QuestionWire};

/// Maximum number of servers in an answer.
const MAX_CANDIDATES: usize = 60;
/// Maximum number of a route's services in an answer.
const MAX_SERVICES: usize = 16;

/// A request that is not sent.
#[derive(Debug)]
struct Question {
    method: Method,
    host: String,
    path: String,
    account: Option<Name>,
    prompt: Option<PromptShape>,
    output_tokens: Option<u64>,
    length_estimate: Option<u64>,
}

/// Why the request would be refused.
struct Refused {
    kind: ErrorKind,
    reason: String,
    retry_after: Option<Duration>,
}

impl Refused {
    fn new(kind: ErrorKind, reason: impl Into<String>) -> Self {
        Self {
            kind,
            reason: reason.into(),
            retry_after: None,
        }
    }
}

impl From<ErrorKind> for Refused {
    fn from(kind: ErrorKind) -> Self {
        Self::new(kind, kind.answer().text)
    }
}

/// The servers that a request would be sent to.
struct Choice {
    server: Name,
    prefill: Option<Name>,
    fetch: Option<Name>,
    unread_tokens: u64,
    predicted: Duration,
}

/// A candidate with its server's entry.
struct CandidateView {
    info: TargetInfo,
    report_age: Option<Duration>,
    candidate: Candidate,
}

/// Where a request would go, and why.
struct Answer {
    node: Name,
    config_version: Option<u64>,
    method: Method,
    route: Option<Name>,
    kind: Option<&'static str>,
    account: Option<Name>,
    services: Vec<String>,
    reason: &'static str,
    refused: Option<Refused>,
    choice: Option<Choice>,
    candidates: Vec<CandidateView>,
    left_out: usize,
}

impl Answer {
    /// Notes why the request would be refused, unless something refuses it before.
    fn refuse(&mut self, refused: Refused) {
        self.refused.get_or_insert(refused);
    }
}

/// Answers an operator's question.
pub(crate) fn respond(state: &State, request: &Request) -> Response {
    let tokens = state.settings().tokens("operator", "tokens");
    if tokens.is_empty() {
        return refuse(ErrorKind::TokensUnset, Vec::new());
    }
    let authorization = request.header("authorization").unwrap_or_default();
    let Some(operator) = tokens.operator(authorization) else {
        let peer = request.peer;
        log::warn!("operator request peer={peer} choice=refuse reason=token");
        return refuse(ErrorKind::Forbidden, Vec::new());
    };
    if request.method != Method::POST {
        return refuse(ErrorKind::UnknownPath, Vec::new());
    }
    let question = match serde_json::from_slice::<QuestionWire>(&request.body) {
        Ok(question) => Question::try_from(question),
        Err(error) => {
            // The text of the error could repeat what was sent.
            let (line, column) = (error.line(), error.column());
            log::info!(
                "operator name={operator} choice=refuse reason=\"not a question\" line={line} \
                 column={column}"
            );
            let fix = "send the fields method, path, host, account, tokens and parts";
            Err(vec![Problem::new("body", "is not a question", fix)])
        }
    };
    let question = match question {
        Ok(question) => question,
        Err(problems) => return refuse(ErrorKind::BadJson, problems),
    };
    let answer = explain(state, &question);
    log::info!(
        "operator name={operator} choice=explain_route route={} verdict={}",
        answer.route.clone().unwrap_or_default(),
        if answer.refused.is_some() {
            "refuse"
        } else {
            "run"
        }
    );
    Response::json(200, &AnswerWire::from(answer)).with_header("cache-control", "no-store")
}

fn refuse(kind: ErrorKind, problems: Vec<Problem>) -> Response {
    Response::json(kind.answer().status, &ErrorWire::from((kind, problems)))
}

fn explain(state: &State, question: &Question) -> Answer {
    let config = state.config();
    let mut answer = Answer {
        node: state.name.clone(),
        config_version: config.as_ref().map(|config| config.version),
        method: question.method.clone(),
        route: None,
        kind: None,
        account: question.account.clone(),
        services: Vec::new(),
        reason: "a server takes it",
        refused: None,
        choice: None,
        candidates: Vec::new(),
        left_out: 0,
    };
    let Some(config) = config else {
        answer.refused = Some(ErrorKind::NoConfig.into());
        return answer;
    };
    answer.refused = state.is_cut_off().then(|| ErrorKind::CutOff.into());
    let route = config.route(&question.host, &question.path).cloned();
    let Some(route) = route else {
        answer.refuse(ErrorKind::UnknownPath.into());
        return answer;
    };
    answer.route = Some(route.name.clone());
    answer.kind = Some(kind_name(route.kind));
    let mut shares: Vec<_> = route.shares.iter().filter(|s| s.weight > 0).collect();
    shares.sort_by_key(|share| std::cmp::Reverse(share.weight));
    let services = shares.iter().take(MAX_SERVICES);
    let services = services.map(|share| format!("{}:{}", share.service, share.weight));
    answer.services = services.collect();
    if let Err(refused) = admission(state, &config, &route, question) {
        answer.refuse(refused);
    }
    let Some(service) = shares.first().map(|share| &share.service) else {
        answer.refuse(ErrorKind::NoServer.into());
        return answer;
    };
    choose(state, &route, service, question, &mut answer);
    answer
}

/// Chooses the servers, and notes why none of them would be sent the request.
fn choose(state: &State, route: &Route, service: &Name, question: &Question, answer: &mut Answer) {
    let now = state.now();
    let longest = route.timeout.min(DEFAULT_CALLER_TIMEOUT);
    let needs = caller_needs(route, question.output_tokens, longest, Duration::ZERO);
    let request = DispatchRequest {
        service,
        prompt: question.prompt.as_ref(),
        tried: &[],
        allow_separate_prefill: true,
        version: None,
        needs: with_expected_answer(state, route, service, question.length_estimate, needs),
    };
    let dispatcher = state.dispatcher.borrow();
    let Explanation {
        plan,
        is_last_resort,
        candidates,
    } = dispatcher.explain(&request, now);
    if is_last_resort {
        answer.reason = "only ejected servers and those changing their stage are left";
    }
    answer.left_out = candidates.len().saturating_sub(MAX_CANDIDATES);
    let views = candidates.into_iter().take(MAX_CANDIDATES);
    let views = views.filter_map(|candidate| {
        let info = dispatcher.target(candidate.server)?.info.clone();
        let report = candidate.report;
        Some(CandidateView {
            info,
            report_age: report.map(|report| now.saturating_duration_since(report.at)),
            candidate,
        })
    });
    answer.candidates = views.collect();
    let refused = match plan {
        None => Some(Refused {
            retry_after: dispatcher.shortest_wait(service, None, now),
            ..Refused::new(ErrorKind::NoServer, "no server available")
        }),
        Some(plan) => {
            answer.choice = Some(name_choice(&dispatcher, plan));
            let gives_up = gives_up_before(route, longest, plan.ttft);
            let reason = "the caller would time out before the first chunk";
            gives_up.then(|| Refused::new(ErrorKind::Overloaded, reason))
        }
    };
    if let Some(refused) = refused {
        answer.refuse(refused);
    }
}

/// Checks what decides between the route and the servers, in the order of the gateway. The check of an
/// account's allotment belongs after that of the account.
fn admission(
    state: &State,
    config: &ServingConfig,
    route: &Route,
    question: &Question,
) -> Result<(), Refused> {
    check_account(config, route, question)?;
    let now = state.now();
    if state.lifecycle.admit(now + route.timeout, now).is_none() {
        return Err(ErrorKind::Stopping.into());
    }
    let parts = shared_parts(question.prompt.as_ref());
    if let Some(left) = part_quarantine::parts_left(state, &parts) {
        return Err(Refused {
            retry_after: Some(left),
            ..Refused::new(
                ErrorKind::Quarantined,
                "servers ended under a part of its prompt",
            )
        });
    }
    Ok(())
}

fn check_account(
    config: &ServingConfig,
    route: &Route,
    question: &Question,
) -> Result<(), Refused> {
    let Some(accounts) = &config.accounts else {
        return Ok(());
    };
    match &question.account {
        Some(name) if accounts.values().any(|account| account.name == *name) => Ok(()),
        _ if route.public => Ok(()),
        Some(_) => Err(Refused::new(
            ErrorKind::KeyUnknown,
            "no client account of this name has a key",
        )),
        None => Err(ErrorKind::KeyMissing.into()),
    }
}

fn name_choice(dispatcher: &Dispatcher, plan: Plan) -> Choice {
    let name = |key: TargetKey| {
        let target = dispatcher.target(key);
        target
            .map(|target| target.info.id.clone())
            .unwrap_or_default()
    };
    Choice {
        server: name(plan.server),
        prefill: plan.prefill.map(name),
        fetch: plan.fetch_from.map(name),
        unread_tokens: plan.prefill_tokens,
        predicted: plan.ttft,
    }
}

fn kind_name(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Idempotent => "idempotent",
        RouteKind::NonIdempotent => "non_idempotent",
        RouteKind::Stream { resumable: true } => "resumable_stream",
        RouteKind::Stream { resumable: false } => "stream",
    }
}
