//! Types of admission: requests, tickets, decisions and refusals.

use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use slotmap::new_key_type;

use crate::server::Work;

new_key_type! {
    /// Key of a waiting or running request.
    pub struct TicketKey;
}

/// Lower bound of the weight of an account or route.
const MIN_WEIGHT: f64 = 0.001;
/// Virtual tokens charged for a request in addition to its tokens.
const REQUEST_CHARGE: f64 = 1.0;

/// Upper bound of the retry delay in a refusal.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);

/// Queue limits and token charges.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Maximum requests waiting for one pool.
    pub queue: usize,
    /// Maximum requests of one account waiting for one pool.
    pub account_queue: usize,
    /// Virtual tokens charged for a prompt token.
    pub prompt_charge: f64,
    /// Virtual tokens charged for an output token.
    pub output_charge: f64,
}

impl Default for AdmissionSettings {
    fn default() -> Self {
        Self {
            queue: 256,
            account_queue: 64,
            prompt_charge: 1.0,
            output_charge: 4.0,
        }
    }
}

/// A request to be admitted.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Client account.
    pub account: Name,
    /// Model or service.
    pub pool: Name,
    /// Prompt and expected output tokens.
    pub work: Work,
    /// Weight of the account.
    pub account_weight: f64,
    /// Weight of the route.
    pub route_weight: f64,
    /// Time by which its answer must be complete.
    pub deadline: Instant,
}

/// The refusal of a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Error kind for the caller.
    pub kind: ErrorKind,
    /// Time after which the caller may retry.
    pub retry_after: Duration,
}

impl From<Refusal> for pomeloridge_base::refusal::Refusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            retry_after: Some(refusal.retry_after),
            ..Self::from(refusal.kind)
        }
    }
}

/// The decision on an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request runs now.
    Start(TicketKey),
    /// The request waits until `start_next` returns its key or `expire` refuses it.
    Enqueue(TicketKey),
    /// The request is refused.
    Refuse(Refusal),
}

/// A waiting request that can no longer meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired {
    /// Key of the request; no longer valid.
    pub ticket: TicketKey,
    /// The refusal to send to its caller.
    pub refusal: Refusal,
}

/// A waiting or running request.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) account: Name,
    pub(crate) pool: Name,
    pub(crate) deadline: Instant,
    /// Sequence number of its arrival.
    pub(crate) arrival: u64,
    /// Virtual tokens per charged token.
    pub(crate) inverse_weight: f64,
    /// Virtual tokens of the request and its prompt; `None` once charged.
    pub(crate) prompt: Option<f64>,
    /// Virtual tokens reserved for output that is still expected.
    pub(crate) reserved: f64,
    /// Virtual tokens charged so far.
    pub(crate) charged: f64,
    /// When the request started; `None` while it waits.
    pub(crate) started: Option<Instant>,
}

/// Creates the ticket of a request that has not started.
pub(crate) fn new_ticket(
    request: &AdmissionRequest,
    settings: &AdmissionSettings,
    arrival: u64,
) -> Ticket {
    let weight = valid_weight(request.account_weight) * valid_weight(request.route_weight);
    let inverse_weight = 1.0 / weight;
    let prompt = request.work.prompt as f64 * settings.prompt_charge;
    let output = request.work.output as f64 * settings.output_charge;
    Ticket {
        account: request.account.clone(),
        pool: request.pool.clone(),
        deadline: request.deadline,
        arrival,
        inverse_weight,
        prompt: Some((REQUEST_CHARGE + prompt) * inverse_weight),
        reserved: output * inverse_weight,
        charged: 0.0,
        started: None,
    }
}

/// Returns the weight raised to the lower bound, or 1 if it is not finite.
fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(MIN_WEIGHT)
    } else {
        1.0
    }
}

pub(crate) fn refuse(kind: ErrorKind, wait: Duration) -> AdmissionDecision {
    AdmissionDecision::Refuse(refusal(kind, wait))
}

/// Returns a refusal that tells the caller to retry after `wait`, but no sooner
/// than the error kind demands.
pub(crate) fn refusal(kind: ErrorKind, wait: Duration) -> Refusal {
    let min_retry = kind.answer().retry_after.unwrap_or_default();
    Refusal {
        kind,
        retry_after: wait.clamp(min_retry, MAX_RETRY_AFTER.max(min_retry)),
    }
}
