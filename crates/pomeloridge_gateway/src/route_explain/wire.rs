//! JSON of the operators' questions where a request would go, and of the answers.

use std::time::Duration;

use http::Method;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_policy::dispatch::PromptShape;
use pomeloridge_policy::prompt_cache::PromptPart;
use serde::{Deserialize, Serialize};

use super::{Answer, CandidateView, Question, Refused};

/// Maximum number of prompt parts in a question.
const MAX_PARTS: usize = 64;
/// Longest path and host in a question, in bytes.
const MAX_TEXT_BYTES: usize = 2048;
/// Most tokens that a question may name.
const MAX_TOKENS: u64 = 100_000_000;

/// JSON of a question.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct QuestionWire {
    method: String,
    path: String,
    host: String,
    #[serde(default)]
    account: Option<String>,
    /// Prompt tokens and expected output tokens.
    #[serde(default)]
    tokens: Option<(u64, u64)>,
    /// The caller's estimate of the number of output tokens.
    #[serde(default)]
    estimate: Option<u64>,
    /// Prompt parts in order, each as `ID:TOKENS`.
    #[serde(default)]
    parts: Vec<String>,
}

/// What is wrong with one field of a question.
#[derive(Debug, PartialEq, Eq, Serialize)]
pub(super) struct Problem {
    place: String,
    #[serde(rename = "problem")]
    fault: &'static str,
    fix: &'static str,
}

impl Problem {
    pub(super) fn new(place: impl Into<String>, fault: &'static str, fix: &'static str) -> Self {
        Self {
            place: place.into(),
            fault,
            fix,
        }
    }
}

impl TryFrom<QuestionWire> for Question {
    type Error = Vec<Problem>;

    fn try_from(wire: QuestionWire) -> Result<Self, Self::Error> {
        let mut problems = Vec::new();
        let method = Method::from_bytes(wire.method.as_bytes());
        if method.is_err() {
            let fix = "write for example POST";
            problems.push(Problem::new("method", "is not an HTTP method", fix));
        }
        if !wire.path.starts_with('/') || wire.path.len() > MAX_TEXT_BYTES {
            let fix = "write a path that begins with `/`, of at most 2048 bytes";
            problems.push(Problem::new("path", "is not a path", fix));
        }
        // As for requests, the port is no part of the host.
        let host = wire.host.split(':').next().unwrap_or_default();
        if host.is_empty() || host.len() > MAX_TEXT_BYTES {
            let fix = "write the host that callers name";
            problems.push(Problem::new("host", "is no host", fix));
        }
        let parts = parse_parts(&wire.parts, &mut problems);
        let prompt = match wire.tokens {
            Some((tokens, output)) if tokens.max(output) > MAX_TOKENS => {
                let fix = "name at most 100000000 tokens";
                problems.push(Problem::new("tokens", "are too many", fix));
                None
            }
            Some((tokens, _)) => {
                let named = parts.iter().map(|part| part.tokens).sum::<u64>();
                if named > tokens {
                    let fix = "name the tokens of the whole prompt";
                    problems.push(Problem::new("tokens", "are fewer than in the parts", fix));
                }
                Some(PromptShape { tokens, parts })
            }
            None if wire.parts.is_empty() => None,
            None => {
                let fix = "name the tokens of the whole prompt";
                problems.push(Problem::new(
                    "tokens",
                    "are missing, while parts are given",
                    fix,
                ));
                None
            }
        };
        match method {
            Ok(method) if problems.is_empty() => Ok(Self {
                method,
                host: host.to_owned(),
                path: wire.path,
                account: wire.account.map(Name::from),
                prompt,
                output_tokens: wire.tokens.map(|(_, output)| output),
                length_estimate: wire.estimate,
            }),
            _ => Err(problems),
        }
    }
}

fn parse_parts(parts: &[String], problems: &mut Vec<Problem>) -> Vec<PromptPart> {
    if parts.len() > MAX_PARTS {
        problems.push(Problem::new(
            "parts",
            "are too many",
            "name at most 64 parts",
        ));
        return Vec::new();
    }
    let parsed = parts.iter().enumerate().filter_map(|(index, text)| {
        let part = parse_part(text);
        if part.is_none() {
            let place = format!("parts[{index}]");
            let fix = "write it as ID:TOKENS, with a hexadecimal id";
            problems.push(Problem::new(place, "is not a prompt part", fix));
        }
        part
    });
    parsed.collect()
}

fn parse_part(text: &str) -> Option<PromptPart> {
    let (id, tokens) = text.split_once(':')?;
    let tokens = tokens.parse().ok()?;
    (tokens <= MAX_TOKENS).then_some(PromptPart {
        id: u64::from_str_radix(id, 16).ok()?,
        tokens,
    })
}

/// JSON of an answer. Objects in a list are the rows of a table on the command line.
#[derive(Serialize)]
pub(super) struct AnswerWire {
    node: Name,
    config_version: Option<u64>,
    method: String,
    route: Option<Name>,
    kind: Option<&'static str>,
    account: Option<Name>,
    /// Services of the route with their weights; the first one is explained.
    services: Vec<String>,
    verdict: &'static str,
    reason: String,
    code: Option<&'static str>,
    retry_after_ms: Option<u64>,
    server: Option<Name>,
    prefill: Option<Name>,
    fetch: Option<Name>,
    unread_tokens: Option<u64>,
    predicted_ms: Option<f64>,
    /// Number of servers that are left out of `candidates`.
    left_out: usize,
    candidates: Vec<CandidateWire>,
}

#[derive(Serialize)]
struct CandidateWire {
    id: Name,
    data_centre: Name,
    version: Name,
    stage: String,
    compared: bool,
    bars: String,
    predicted_ms: f64,
    speed: Option<f64>,
    speed_age_ms: Option<u64>,
    running: u32,
    slots: u32,
    unread_tokens: u64,
    cached_tokens: u64,
    reported_running: Option<u32>,
    reported_waiting: Option<u32>,
    reported_slowdown: Option<f64>,
    report_age_ms: Option<u64>,
}

impl From<Answer> for AnswerWire {
    fn from(answer: Answer) -> Self {
        let refused = answer.refused.as_ref();
        let choice = answer.choice;
        let code = refused.map(|refused: &Refused| refused.kind.answer().code);
        let retry_after = refused.and_then(|refused| {
            let usual = refused.kind.answer().retry_after;
            refused.retry_after.or(usual)
        });
        let reason = refused.map(|refused| refused.reason.clone());
        Self {
            node: answer.node,
            config_version: answer.config_version,
            method: answer.method.to_string(),
            route: answer.route,
            kind: answer.kind,
            account: answer.account,
            services: answer.services,
            verdict: if refused.is_some() { "refuse" } else { "run" },
            reason: reason.unwrap_or_else(|| answer.reason.to_owned()),
            code,
            retry_after_ms: retry_after.map(whole_ms),
            server: choice.as_ref().map(|choice| choice.server.clone()),
            prefill: choice.as_ref().and_then(|choice| choice.prefill.clone()),
            fetch: choice.as_ref().and_then(|choice| choice.fetch.clone()),
            unread_tokens: choice.as_ref().map(|choice| choice.unread_tokens),
            predicted_ms: choice.map(|choice| fractional_ms(choice.predicted)),
            left_out: answer.left_out,
            candidates: answer.candidates.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<CandidateView> for CandidateWire {
    fn from(view: CandidateView) -> Self {
        let CandidateView {
            info,
            report_age,
            candidate,
        } = view;
        let bars: Vec<String> = candidate.bars.iter().map(ToString::to_string).collect();
        let report = candidate.report;
        let speed = candidate.speed;
        Self {
            id: info.id,
            data_centre: info.data_centre,
            version: info.version,
            stage: info.stage.to_string(),
            compared: candidate.is_compared,
            bars: bars.join(" "),
            predicted_ms: fractional_ms(candidate.predicted),
            speed: speed.map(|speed| (speed.factor * 100.0).round() / 100.0),
            speed_age_ms: speed.map(|speed| whole_ms(speed.age)),
            running: candidate.running,
            slots: info.slots,
            unread_tokens: candidate.prefill_tokens,
            cached_tokens: candidate.cached_tokens,
            reported_running: report.map(|report| report.running),
            reported_waiting: report.map(|report| report.waiting),
            reported_slowdown: report.and_then(|report| report.slowdown),
            report_age_ms: report_age.map(whole_ms),
        }
    }
}

fn whole_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// Returns milliseconds to a tenth.
fn fractional_ms(time: Duration) -> f64 {
    (time.as_secs_f64() * 10_000.0).round() / 10.0
}

/// JSON of a refusal to answer, as on the operator port of nodes.
#[derive(Serialize)]
pub(super) struct ErrorWire {
    error: ErrorBody,
}

#[derive(Serialize)]
struct ErrorBody {
    code: &'static str,
    message: &'static str,
    problems: Vec<Problem>,
}

impl From<(ErrorKind, Vec<Problem>)> for ErrorWire {
    fn from((kind, problems): (ErrorKind, Vec<Problem>)) -> Self {
        let answer = kind.answer();
        Self {
            error: ErrorBody {
                code: answer.code,
                message: answer.text,
                problems,
            },
        }
    }
}
