//! Estimates of the load on a backend server, and the speeds learned from
//! finished requests.

use std::time::{Duration, Instant};

use slotmap::SlotMap;

use crate::server::{Dispatch, DispatchKey, Role, Server, Work};

/// Weight of a new observation in a learned speed.
const LEARN: f64 = 0.2;
/// Factor by which a learned speed may differ from the expected one.
const SPREAD: f64 = 4.0;
/// Time that reading must take at the expected speed to be learned from, in seconds.
const LEAST_READ: f64 = 0.1;
/// Part of a prompt that may wait ahead of it when it is learned from.
const MOST_AHEAD: f64 = 0.1;
/// Part of a server's load that counts though nothing is slowed by it yet.
const SPREAD_OUT: f64 = 0.1;
/// Factor of a role's own work over that of a mixed engine.
const ROLE_GAIN: f64 = 1.4;
/// Factor of the other work of an engine with a role.
const ROLE_LOSS: f64 = 0.5;
/// Duration of a request that is expected before one was seen, in seconds.
const DEFAULT_SERVICE: f64 = 1.0;

/// Expected speeds of a mixed engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExpectedRates {
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Output tokens a second over all streams.
    pub decode: f64,
    /// Output tokens a second of one stream at most.
    pub stream: f64,
    /// Seconds to the first token that are aimed at.
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

/// Speeds of one server, as learned so far.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    expected: ExpectedRates,
    role: Role,
    /// Prompt tokens a second.
    pub prefill: f64,
    /// Output tokens a second over all streams.
    pub decode: f64,
    /// Output tokens a second of one stream at most.
    pub stream: f64,
    /// Duration of a request, in seconds.
    pub mean_duration: f64,
}

impl Rates {
    /// The expected speeds, with nothing learned.
    pub fn new(expected: ExpectedRates, role: Role) -> Self {
        let (read, write) = match role {
            Role::Prefill => (ROLE_GAIN, ROLE_LOSS),
            Role::Decode => (ROLE_LOSS, ROLE_GAIN),
            Role::Mixed => (1.0, 1.0),
        };
        Self {
            expected,
            role,
            prefill: (expected.prefill * read).max(1.0),
            decode: (expected.decode * write).max(1.0),
            stream: expected.stream.max(1.0),
            mean_duration: DEFAULT_SERVICE,
        }
    }

    /// Starts again from the expected speeds if the role changed.
    pub(crate) fn set_role(&mut self, role: Role) {
        if role != self.role {
            *self = Self {
                mean_duration: self.mean_duration,
                ..Self::new(self.expected, role)
            };
        }
    }

    /// Learns from a prompt read until its first token.
    ///
    /// A short prompt shows the way to the server rather than its speed, and
    /// how much was still ahead of a prompt is not known well.
    pub(crate) fn learn_prefill(&mut self, prompt: u64, ahead: f64, taken: Duration) {
        let prompt = prompt as f64;
        let long = prompt >= self.expected.prefill * LEAST_READ;
        if long && ahead <= prompt * MOST_AHEAD {
            learn_rate(
                &mut self.prefill,
                self.expected.prefill,
                prompt + ahead,
                taken,
            );
        }
    }

    /// Learns from a stream's output in a batch of `batch` streams.
    ///
    /// A small batch does not show what a full one would make, so it may only
    /// raise the speed; a stream in a large one does not show its own limit.
    pub(crate) fn learn_decode(&mut self, tokens: u64, batch: u32, slots: u32, taken: Duration) {
        let large = batch * 2 >= slots;
        let total = tokens as f64 * f64::from(batch);
        let seconds = taken.as_secs_f64();
        if large || total > self.decode * seconds {
            learn_rate(&mut self.decode, self.expected.decode, total, taken);
        }
        if !large || tokens as f64 > self.stream * seconds {
            learn_rate(&mut self.stream, self.expected.stream, tokens as f64, taken);
        }
    }

    /// Learns from a request's whole duration.
    pub(crate) fn learn_service(&mut self, taken: Duration) {
        update_average(&mut self.mean_duration, taken.as_secs_f64());
    }
}

/// Moves a learned value towards an observation.
pub(crate) fn update_average(value: &mut f64, observed: f64) {
    *value += LEARN * (observed - *value);
}

fn learn_rate(rate: &mut f64, expected: f64, tokens: f64, taken: Duration) {
    let seconds = taken.as_secs_f64();
    if tokens <= 0.0 || seconds <= 0.0 {
        return;
    }
    let (low, high) = (expected / SPREAD, expected * SPREAD);
    update_average(rate, (tokens / seconds).clamp(low, high));
    *rate = rate.max(1.0);
}

/// Part of the time to the first token that may be spent behind other prompts.
const BACKLOG_PART: f64 = 0.4;

impl Rates {
    /// Whether the prompts that wait leave time for another one to be read.
    pub(crate) fn has_prefill_headroom(&self, load: Load) -> bool {
        // What is learned from prompts that were partly cached says too much of
        // the ones that are not.
        let rate = self.prefill.min(self.expected.prefill);
        load.prefill_tokens / rate < self.expected.first_token_seconds * BACKLOG_PART
    }
}

/// The load on a server at one moment, corrected for what its report can't know.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in flight, running or queued.
    pub in_flight: u32,
    /// Prompt tokens that wait to be read.
    pub prefill_tokens: f64,
}

/// Estimates the load on a server.
///
/// There are two lower bounds: the report with this node's requests since its
/// timestamp, and what this node and its peers have in flight together. The
/// greater one is taken.
pub(crate) fn estimate(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    now: Instant,
) -> Load {
    let known = known_load(server, dispatches, now);
    let Some(reported) = reported_load(server, dispatches, now) else {
        return known;
    };
    Load {
        in_flight: known.in_flight.max(reported.in_flight),
        prefill_tokens: known.prefill_tokens.max(reported.prefill_tokens),
    }
}

/// What this node and its peers have in flight.
fn known_load(server: &Server, dispatches: &SlotMap<DispatchKey, Dispatch>, now: Instant) -> Load {
    let own = unread_tokens(server, dispatches, |_| true);
    let peers: u64 = server
        .live_peers(now)
        .map(|share| share.prefill_tokens)
        .sum();
    let running: u32 = server.live_peers(now).map(|share| share.running).sum();
    Load {
        in_flight: server.own_in_flight_count() + running,
        prefill_tokens: (own + peers) as f64,
    }
}

/// The report, with this node's requests that were sent or ended since.
fn reported_load(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    now: Instant,
) -> Option<Load> {
    let report = server.live_report(now)?;
    let since = report.measured_at;
    let open = server.open.iter().filter_map(|key| dispatches.get(*key));
    let sent = open.filter(|dispatch| dispatch.at > since).count() as u32;
    let covered = server
        .ended
        .iter()
        .filter(|ended| ended.ended_at > since && ended.sent_at <= since);
    let ended = covered.count() as u32;
    let age = now.saturating_duration_since(since).as_secs_f64();
    let waiting = (report.prefill_tokens as f64 - age * server.rates.prefill).max(0.0);
    let new = unread_tokens(server, dispatches, |dispatch| dispatch.at > since);
    Some(Load {
        in_flight: (report.running + report.queued + sent).saturating_sub(ended),
        prefill_tokens: waiting + new as f64,
    })
}

/// Prompt tokens of this node's requests without a first token.
pub(crate) fn unread_tokens(
    server: &Server,
    dispatches: &SlotMap<DispatchKey, Dispatch>,
    counts: impl Fn(&Dispatch) -> bool,
) -> u64 {
    let open = server.open.iter().filter_map(|key| dispatches.get(*key));
    let unread = open.filter(|dispatch| dispatch.first.is_none() && counts(dispatch));
    unread.map(|dispatch| dispatch.work.prompt).sum()
}

/// Seconds that a request would wait or be slowed on a server with this load.
pub(crate) fn wait_seconds(load: Load, rates: &Rates, slots: u32, work: Work) -> f64 {
    let slots = slots.max(1);
    let in_flight = f64::from(load.in_flight);
    let prefill = (load.prefill_tokens + work.prompt as f64) / rates.prefill;
    let shared = (in_flight + 1.0) / rates.decode;
    let slowed = (shared - 1.0 / rates.stream).max(0.0) * work.output as f64;
    let excess = (load.in_flight + 1).saturating_sub(slots);
    let slot = rates.mean_duration * f64::from(excess) / f64::from(slots);
    // Of two servers that slow nothing, the one with less in flight has more
    // room for what comes next.
    let spread = rates.mean_duration * in_flight / f64::from(slots) * SPREAD_OUT;
    prefill + slowed + slot + spread
}
