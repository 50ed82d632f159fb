//! Routing and authentication of a request, before a server is chosen.

use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_policy::dispatch::{AnswerNeeds, PromptShape, TargetKey};
use pomeloridge_policy::part_crashes::{PartId, PartRunKey};
use pomeloridge_policy::stream_versions::StreamId;
use pomeloridge_policy::suspicion::Fingerprint;
use pomeloridge_policy::timeouts::{answer_silence_timeout, caller_ttft_timeout, silence_timeout};

use crate::config::{Account, Route, RouteKind, ServingConfig};
use crate::request::Inbound;
use crate::slow_readers::Transfer;
use crate::state::State;

/// Time that a caller is assumed to wait if its request has no deadline.
pub(crate) const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;
/// Priority of requests that continue a stream.
const HIGHEST_PRIORITY: u8 = 0;
/// Lowest priority that engines accept.
const LOWEST_PRIORITY: u8 = 9;

/// A request that has been routed and authenticated.
pub(crate) struct Accepted {
    pub(crate) inbound: Inbound,
    /// Hash of account, path and body; the same each time a caller retries the request.
    pub(crate) fingerprint: Fingerprint,
    pub(crate) route: Rc<Route>,
    pub(crate) service: Name,
    pub(crate) account: Option<Name>,
    pub(crate) priority: u8,
    pub(crate) arrived_at: Instant,
    pub(crate) deadline: Instant,
    /// When the caller stops waiting for the response, or for its stream to be continued.
    pub(crate) caller_deadline: Instant,
    /// Prompt parts that other requests may share, in order.
    pub(crate) shared_parts: Vec<PartId>,
    pub(crate) trial: Cell<Trial>,
    /// The latest run of the request at each server that is to answer it.
    pub(crate) part_runs: RefCell<Vec<(TargetKey, PartRunKey)>>,
    /// What is held of the answer for the caller; `None` if slow readers are not cut.
    pub(crate) transfer: Option<Transfer>,
}

/// Whether a request may be sent in spite of a quarantined part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Trial {
    #[default]
    None,
    /// It may be sent once to find out whether a part still crashes engines.
    Granted(PartId),
    /// It has been sent.
    Sent {
        part: PartId,
        /// Random number by which nodes know the trial.
        number: u64,
    },
}

/// Maximum predicted time to the first chunk, as a fraction of the time that the caller waits.
const MAX_PREDICTED_FRACTION: f64 = 0.9;

impl Accepted {
    /// Returns the time after which to give up a silent server whose next data is due within
    /// `predicted`, or `None` if the request may not be retried, so that giving up gains nothing.
    pub(crate) fn silence_timeout(&self, predicted: Duration) -> Option<Duration> {
        let repeatable = self.route.kind.is_retryable();
        repeatable.then(|| silence_timeout(predicted))
    }

    /// Returns the same for a server that has begun its answer.
    pub(crate) fn answer_silence_timeout(&self) -> Option<Duration> {
        let repeatable = self.route.kind.is_retryable();
        repeatable.then(|| answer_silence_timeout(self.route.gap_target.unwrap_or_default()))
    }

    /// Whether the caller is likely to give up before a first chunk that arrives after
    /// `predicted`.
    pub(crate) fn caller_gives_up_before(&self, predicted: Duration) -> bool {
        let longest = self.deadline.saturating_duration_since(self.arrived_at);
        gives_up_before(&self.route, longest, predicted)
    }

    /// Returns what the caller needs from now on.
    pub(crate) fn needs(&self, now: Instant) -> AnswerNeeds {
        let waited = now.saturating_duration_since(self.arrived_at);
        let longest = self.deadline.saturating_duration_since(self.arrived_at);
        caller_needs(&self.route, self.inbound.output_tokens, longest, waited)
    }

    /// Returns whether the request continues a stream that another one began.
    pub(crate) fn continues_stream(&self) -> bool {
        continues_stream(&self.route, &self.inbound)
    }

    /// Returns the identifier of the attempt that began the request's stream.
    pub(crate) fn first_attempt(&self) -> &Bytes {
        first_attempt(&self.route, &self.inbound)
    }

    /// Returns the identifiers of the prompt parts that other requests may share, for the log.
    pub(crate) fn part_labels(&self) -> String {
        let parts = self.shared_parts.iter().take(MAX_LOGGED_PARTS);
        let labels: Vec<String> = parts.map(|part| format!("{part:x}")).collect();
        labels.join(",")
    }

    /// Records a run of the request at a server that is to answer it.
    pub(crate) fn set_part_run(&self, server: TargetKey, run: PartRunKey) {
        let mut runs = self.part_runs.borrow_mut();
        runs.retain(|(other, _)| *other != server);
        runs.push((server, run));
    }

    /// Returns the latest run of the request at a server.
    pub(crate) fn part_run(&self, server: TargetKey) -> Option<PartRunKey> {
        let runs = self.part_runs.borrow();
        let run = runs.iter().find(|(other, _)| *other == server);
        run.map(|(_, run)| *run)
    }

    /// Sets the number of bytes that are held for the caller.
    pub(crate) fn hold_answer(&self, bytes: usize) {
        if let Some(transfer) = &self.transfer {
            transfer.hold(bytes);
        }
    }

    /// Returns the time until the request's deadline.
    pub(crate) fn time_left(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}

/// Returns whether a caller of a route, who waits for `longest` at most, is likely to give up
/// before a first chunk that arrives after `predicted`.
pub(crate) fn gives_up_before(route: &Route, longest: Duration, predicted: Duration) -> bool {
    if !matches!(route.kind, RouteKind::Stream { .. }) {
        return false;
    }
    predicted > give_up_time(route, longest)
}

/// Returns the time after which a caller of a route, who waits for `longest` at most, is likely to
/// give up if no first chunk has arrived.
fn give_up_time(route: &Route, longest: Duration) -> Duration {
    let timeout = caller_ttft_timeout(route.latency_target, route.gap_target, longest);
    timeout.mul_f64(MAX_PREDICTED_FRACTION)
}

/// Returns what a caller of a route needs that has waited for `waited` of `longest`.
pub(crate) fn caller_needs(
    route: &Route,
    output_tokens: Option<u64>,
    longest: Duration,
    waited: Duration,
) -> AnswerNeeds {
    AnswerNeeds {
        output_tokens: output_tokens.map(|tokens| u32::try_from(tokens).unwrap_or(u32::MAX)),
        waited,
        first_target: Some(route.latency_target),
        gap_target: route.gap_target,
        first_within: give_up_time(route, longest).saturating_sub(waited),
        end_within: longest.saturating_sub(waited),
        ..AnswerNeeds::default()
    }
}

fn continues_stream(route: &Route, inbound: &Inbound) -> bool {
    route.kind.is_resumable() && inbound.last_event.is_some()
}

fn first_attempt<'a>(route: &Route, inbound: &'a Inbound) -> &'a Bytes {
    let first = inbound.resumes.as_ref();
    first
        .filter(|_| continues_stream(route, inbound))
        .unwrap_or(&inbound.id)
}

/// Accepts a request, or returns the reason for its refusal.
pub(crate) fn accept(
    state: &State,
    inbound: Inbound,
) -> Result<Accepted, Box<(ErrorKind, Inbound)>> {
    let arrived_at = state.now();
    match resolve(state, &inbound) {
        Ok((route, account, service)) => {
            let caller_timeout = inbound.caller_timeout.unwrap_or(DEFAULT_CALLER_TIMEOUT);
            let deadline = arrived_at + caller_timeout.min(route.timeout);
            let Some(deadline) = state.lifecycle.admit(deadline, arrived_at) else {
                return Err(Box::new((ErrorKind::Stopping, inbound)));
            };
            let priority = account.as_ref().and_then(|account| account.priority);
            let priority = if continues_stream(&route, &inbound) {
                HIGHEST_PRIORITY
            } else {
                priority.unwrap_or(route.priority).min(LOWEST_PRIORITY)
            };
            let account = account.map(|account| account.name);
            let account_name = account.clone().unwrap_or_default();
            Ok(Accepted {
                fingerprint: Fingerprint::of(&account_name, inbound.path(), &inbound.body),
                priority,
                deadline,
                caller_deadline: arrived_at + caller_timeout,
                shared_parts: shared_parts(inbound.prompt.as_ref()),
                trial: Cell::default(),
                part_runs: RefCell::default(),
                transfer: None,
                inbound,
                route,
                service,
                account,
                arrived_at,
            })
        }
        Err(kind) => Err(Box::new((kind, inbound))),
    }
}

/// Returns each prompt part that other requests may share once, in order.
pub(crate) fn shared_parts(prompt: Option<&PromptShape>) -> Vec<PartId> {
    let parts = prompt.map_or(&[][..], PromptShape::shared_parts).iter();
    let mut seen = HashSet::new();
    let parts = parts.map(|part| part.id);
    parts.filter(|part| seen.insert(*part)).collect()
}

type RouteMatch = (Rc<Route>, Option<Account>, Name);

fn resolve(state: &State, inbound: &Inbound) -> Result<RouteMatch, ErrorKind> {
    let config = state.config().ok_or(ErrorKind::NoConfig)?;
    if state.is_cut_off() {
        return Err(ErrorKind::CutOff);
    }
    let route = config.route(&inbound.host, inbound.path());
    let route = route.cloned().ok_or(ErrorKind::UnknownPath)?;
    let account = authenticate(&config, &route, inbound)?;
    let service = if route.kind.is_resumable() {
        route.stream_service(StreamId::of(first_attempt(&route, inbound)))
    } else {
        route.service(rand::random())
    };
    let service = service.cloned().ok_or(ErrorKind::NoServer)?;
    Ok((route, account, service))
}

fn authenticate(
    config: &ServingConfig,
    route: &Route,
    inbound: &Inbound,
) -> Result<Option<Account>, ErrorKind> {
    let Some(accounts) = &config.accounts else {
        return Ok(None);
    };
    let key = inbound.key.as_ref();
    let account = key.and_then(|key| accounts.get(&KeyHash::of(key)));
    match (account, route.public) {
        (Some(account), _) => Ok(Some(account.clone())),
        (None, true) => Ok(None),
        (None, false) if inbound.key.is_none() => Err(ErrorKind::KeyMissing),
        (None, false) => Err(ErrorKind::KeyUnknown),
    }
}
