//! Estimates of the load on a backend server and of its processing rates, which
//! are learned from finished requests.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::server::{Dispatch, DispatchKey, Role, Server, Work};

/// Weight of a new observation in an exponential moving average.
const OBSERVATION_WEIGHT: f64 = 0.2;
/// Maximum factor between an observed rate and the expected one.
const MAX_RATE_FACTOR: f64 = 4.0;
/// Minimum expected prefill time, in seconds, of a prompt used to learn the rate.
const MIN_PREFILL_SECONDS: f64 = 0.1;
/// Maximum prefill backlog ahead of a prompt used to learn the rate, as a fraction of
/// the prompt.
const MAX_AHEAD_FRACTION: f64 = 0.1;
/// Weight of the occupied slots in the estimated wait, even while nothing is slowed.
const OCCUPANCY_WEIGHT: f64 = 0.1;
/// Rate of an engine at the work of its role, relative to a mixed engine.
const ROLE_RATE_FACTOR: f64 = 1.4;
/// Rate of an engine at the other work, relative to a mixed engine.
const OFF_ROLE_RATE_FACTOR: f64 = 0.5;
/// Initial value of the mean duration of a request, in seconds.
const DEFAULT_DURATION_SECONDS: f64 = 1.0;

/// Expected processing rates of a mixed engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedRates {
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Output tokens per second over all streams.
    pub decode: f64,
    /// Maximum output tokens per second of one stream.
    pub stream: f64,
    /// Target time to the first token, in seconds.
    pub first_token_seconds: f64,
}

impl Default for ExpectedRates {
    fn default() -> Self {
        Self {
            prefill: 4000.0,
            decode: 400.0,
            stream: 40.0,
            first_token_seconds: 0.94,
        }
    }
}

/// Learned processing rates of one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    expected: ExpectedRates,
    role: Role,
    /// Prompt tokens per second.
    pub prefill: f64,
    /// Output tokens per second over all streams.
    pub decode: f64,
    /// Maximum output tokens per second of one stream.
    pub stream: f64,
    /// Mean duration of a request, in seconds.
    pub mean_duration: f64,
}

impl Rates {
    /// Returns the expected rates of an engine with a role, before any observation.
    pub fn new(expected: ExpectedRates, role: Role) -> Self {
        let (prefill_factor, decode_factor) = match role {
            Role::Prefill => (ROLE_RATE_FACTOR, OFF_ROLE_RATE_FACTOR),
            Role::Decode => (OFF_ROLE_RATE_FACTOR, ROLE_RATE_FACTOR),
            Role::Mixed => (1.0, 1.0),
        };
        Self {
            expected,
            role,
            prefill: (expected.prefill * prefill_factor).max(1.0),
            decode: (expected.decode * decode_factor).max(1.0),
            stream: expected.stream.max(1.0),
            mean_duration: DEFAULT_DURATION_SECONDS,
        }
    }

    /// Resets the rates to the expected ones if the role has changed.
    pub(crate) fn set_role(&mut self, role: Role) {
        if role != self.role {
            *self = Self {
                mean_duration: self.mean_duration,
                ..Self::new(self.expected, role)
            };
        }
    }

    /// Updates the prefill rate from the time to a request's first token.
    ///
    /// Short prompts are ignored, because their time is mostly network latency, and
    /// so are prompts with much backlog ahead, whose size is only estimated.
    pub(crate) fn learn_prefill(&mut self, prompt: u64, ahead: f64, taken: Duration) {
        let prompt = prompt as f64;
        let is_long = prompt >= self.expected.prefill * MIN_PREFILL_SECONDS;
        if is_long && ahead <= prompt * MAX_AHEAD_FRACTION {
            learn_rate(
                &mut self.prefill,
                self.expected.prefill,
                prompt + ahead,
                taken,
            );
        }
    }

    /// Updates the decode rates from the output of a stream in a batch of `batch` streams.
    ///
    /// A small batch does not show the total rate of a full one, and a stream in a
    /// large batch does not show the limit of a single stream. Such observations may
    /// only raise the respective rate.
    pub(crate) fn learn_decode(&mut self, tokens: u64, batch: u32, slots: u32, taken: Duration) {
        let is_large = batch * 2 >= slots;
        let total = tokens as f64 * f64::from(batch);
        let seconds = taken.as_secs_f64();
        if is_large || total > self.decode * seconds {
            learn_rate(&mut self.decode, self.expected.decode, total, taken);
        }
        if !is_large || tokens as f64 > self.stream * seconds {
            learn_rate(&mut self.stream, self.expected.stream, tokens as f64, taken);
        }
    }

    /// Updates the mean duration of a request.
    pub(crate) fn learn_duration(&mut self, taken: Duration) {
        update_average(&mut self.mean_duration, taken.as_secs_f64());
    }
}

/// Updates an exponential moving average with an observation.
pub(crate) fn update_average(value: &mut f64, observed: f64) {
    *value += OBSERVATION_WEIGHT * (observed - *value);
}

fn learn_rate(rate: &mut f64, expected: f64, tokens: f64, taken: Duration) {
    let seconds = taken.as_secs_f64();
    if tokens <= 0.0 || seconds <= 0.0 {
        return;
    }
    let (min, max) = (expected / MAX_RATE_FACTOR, expected * MAX_RATE_FACTOR);
    update_average(rate, (tokens / seconds).clamp(min, max));
    *rate = rate.max(1.0);
}

/// Fraction of the target time to the first token that the prefill backlog may take.
const MAX_BACKLOG_FRACTION: f64 = 0.4;

impl Rates {
    /// Returns whether the prefill backlog leaves enough time for another prompt.
    pub(crate) fn has_prefill_headroom(&self, load: Load) -> bool {
        // The learned rate includes partly cached prompts and is too high for
        // uncached ones.
        let rate = self.prefill.min(self.expected.prefill);
        load.prefill_tokens / rate < self.expected.first_token_seconds * MAX_BACKLOG_FRACTION
    }
}

/// The estimated load on a server at one point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight, running or queued.
    pub in_flight: u32,
    /// Prompt tokens waiting for prefill.
    pub prefill_tokens: f64,
}

/// Estimates the load on a server.
///
/// The result is the maximum of two lower bounds: the last load report, corrected
/// by this node's requests since then, and the total of the requests that this node
/// and its peers have in flight.
pub(crate) fn estimate(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    now: Instant,
) -> Load {
    let in_flight = in_flight_load(server, dispatches, now);
    let Some(reported) = reported_load(server, dispatches, now) else {
        return in_flight;
    };
    Load {
        in_flight: in_flight.in_flight.max(reported.in_flight),
        prefill_tokens: in_flight.prefill_tokens.max(reported.prefill_tokens),
    }
}

/// Returns the load of the requests that this node and its peers have in flight.
fn in_flight_load(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    now: Instant,
) -> Load {
    let own = pending_prompt_tokens(server, dispatches, |_| true);
    let peers: u64 = server
        .live_peers(now)
        .map(|in_flight| in_flight.prefill_tokens)
        .sum();
    let running: u32 = server
        .live_peers(now)
        .map(|in_flight| in_flight.running)
        .sum();
    Load {
        in_flight: server.own_in_flight_count() + running,
        prefill_tokens: (own + peers) as f64,
    }
}

/// Returns the last load report, corrected by this node's requests that were sent or
/// ended since it was measured.
fn reported_load(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    now: Instant,
) -> Option<Load> {
    let report = server.live_report(now)?;
    let since = report.measured_at;
    let in_flight = server
        .in_flight
        .iter()
        .filter_map(|key| dispatches.get(*key));
    let sent = in_flight
        .filter(|dispatch| dispatch.sent_at > since)
        .count() as u32;
    let ended = server
        .ended
        .iter()
        .filter(|ended| ended.ended_at > since && ended.sent_at <= since);
    let ended = ended.count() as u32;
    let age = now.saturating_duration_since(since).as_secs_f64();
    let waiting = (report.prefill_tokens as f64 - age * server.rates.prefill).max(0.0);
    let new = pending_prompt_tokens(server, dispatches, |dispatch| dispatch.sent_at > since);
    Some(Load {
        in_flight: (report.running + report.queued + sent).saturating_sub(ended),
        prefill_tokens: waiting + new as f64,
    })
}

/// Returns the prompt tokens of this node's requests that have no first token yet and
/// satisfy `filter`.
pub(crate) fn pending_prompt_tokens(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    filter: impl Fn(&Dispatch) -> bool,
) -> u64 {
    let in_flight = server
        .in_flight
        .iter()
        .filter_map(|key| dispatches.get(*key));
    let pending =
        in_flight.filter(|dispatch| dispatch.first_token_at.is_none() && filter(dispatch));
    pending.map(|dispatch| dispatch.work.prompt).sum()
}

/// Estimates the seconds by which waiting, prefill and the slowing of its output would
/// delay a request on a server with this load.
pub(crate) fn wait_seconds(load: Load, rates: &Rates, slots: u32, work: Work) -> f64 {
    let slots = slots.max(1);
    let in_flight = f64::from(load.in_flight);
    let prefill = (load.prefill_tokens + work.prompt as f64) / rates.prefill;
    let seconds_per_token = (in_flight + 1.0) / rates.decode;
    let slowdown = (seconds_per_token - 1.0 / rates.stream).max(0.0) * work.output as f64;
    let excess = (load.in_flight + 1).saturating_sub(slots);
    let slot_wait = rates.mean_duration * f64::from(excess) / f64::from(slots);
    // Prefers the server with fewer requests in flight among those that cause no
    // delay, because it has more capacity left for the next requests.
    let occupancy = rates.mean_duration * in_flight / f64::from(slots) * OCCUPANCY_WEIGHT;
    prefill + slowdown + slot_wait + occupancy
}
