//! A request on its way through admission, and the answers it can get.

use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use slotmap::new_key_type;

use crate::server::Work;

new_key_type! {
    /// Key of a request that waits or runs.
    pub struct TicketKey;
}

/// Least weight of an account or kind.
const LEAST_WEIGHT: f64 = 0.001;
/// Virtual tokens for a request as such.
const REQUEST_CHARGE: f64 = 1.0;

/// Longest time that a refused caller is told to stay away.
const LONGEST_RETRY: Duration = Duration::from_mins(1);

/// Bounds and prices.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionSettings {
    /// Requests that may wait for one pool.
    pub queue: usize,
    /// Requests of one account that may wait for one pool.
    pub account_queue: usize,
    /// Virtual tokens for a prompt token.
    pub prompt_charge: f64,
    /// Virtual tokens for an output token.
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

/// A request that asks to be run.
#[derive(Clone, Debug)]
pub struct AdmissionRequest {
    /// Client account.
    pub account: Name,
    /// Model or service.
    pub pool: Name,
    /// Work that it asks for.
    pub work: Work,
    /// Weight of the account.
    pub account_weight: f64,
    /// Weight of the kind of request.
    pub route_weight: f64,
    /// When its answer must be whole.
    pub deadline: Instant,
}

/// A refusal; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Kind of error.
    pub kind: ErrorKind,
    /// When to come back.
    pub retry: Duration,
}

impl From<Refusal> for pomeloridge_base::refusal::Refusal {
    fn from(refusal: Refusal) -> Self {
        Self {
            retry: Some(refusal.retry),
            ..Self::from(refusal.kind)
        }
    }
}

/// What becomes of a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It runs now.
    Start(TicketKey),
    /// It waits until `start_next` returns its key or `expire` refuses it.
    Enqueue(TicketKey),
    /// It is refused.
    Refuse(Refusal),
}

/// A waiting request that can no longer meet its deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expired {
    /// The request; its key is no longer valid.
    pub ticket: TicketKey,
    /// The answer for it.
    pub refusal: Refusal,
}

/// A request that waits or runs.
#[derive(Debug)]
pub(crate) struct Ticket {
    pub(crate) account: Name,
    pub(crate) pool: Name,
    pub(crate) deadline: Instant,
    /// Order of arrival.
    pub(crate) number: u64,
    /// Virtual tokens for one token of charge: the inverse of its weight.
    pub(crate) scale: f64,
    /// Virtual tokens of the prompt; `None` once they are charged.
    pub(crate) prompt: Option<f64>,
    /// Virtual tokens of output that are still expected.
    pub(crate) reserved: f64,
    /// Virtual tokens charged.
    pub(crate) charged: f64,
    /// When it was started; `None` while it waits.
    pub(crate) started: Option<Instant>,
}

pub(crate) fn ticket(
    request: &AdmissionRequest,
    settings: &AdmissionSettings,
    number: u64,
) -> Ticket {
    let weight = weight(request.account_weight) * weight(request.route_weight);
    let scale = 1.0 / weight;
    let prompt = request.work.prompt as f64 * settings.prompt_charge;
    let output = request.work.output as f64 * settings.output_charge;
    Ticket {
        account: request.account.clone(),
        pool: request.pool.clone(),
        deadline: request.deadline,
        number,
        scale,
        prompt: Some((REQUEST_CHARGE + prompt) * scale),
        reserved: output * scale,
        charged: 0.0,
        started: None,
    }
}

fn weight(weight: f64) -> f64 {
    if weight.is_finite() {
        weight.max(LEAST_WEIGHT)
    } else {
        1.0
    }
}

pub(crate) fn refuse(kind: ErrorKind, wait: Duration) -> AdmissionDecision {
    AdmissionDecision::Refuse(refusal(kind, wait))
}

/// A refusal with the time after which the wait should be short enough.
pub(crate) fn refusal(kind: ErrorKind, wait: Duration) -> Refusal {
    let least = kind.answer().retry.unwrap_or_default();
    Refusal {
        kind,
        retry: wait.clamp(least, LONGEST_RETRY.max(least)),
    }
}
