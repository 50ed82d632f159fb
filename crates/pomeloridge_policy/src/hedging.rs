//! Second attempts (hedges) of requests that are slow.
//!
//! Answers a load in which a few requests are slow because of the server that runs them, while
//! other servers of the kind have room. A request that may be repeated and has had no data for
//! longer than nearly all requests of its route wait at other servers gets a second attempt at one
//! of those; the first answer is delivered and the other attempt is cancelled.
//!
//! What is measured is by how much a latency exceeds its prediction, so that one distribution
//! holds for prompts of all lengths. The delay leaves out what was measured at the request's own
//! server: a slow one must not hide behind its own latencies. A cancelled attempt is recorded with
//! the time for which it was waited for. That is less than its latency and more than the delay,
//! so that the percentile on which the delay rests is the same.
//!
//! Hedges add work where room is scarce, so that they are the first thing to stop: they end when
//! the servers are busy, when requests are slow at several servers at once, and when a retry was
//! denied lately. Operators bound them as a share of the requests that may be repeated, and as a
//! number of hedges at once in the whole fleet. Nodes don't coordinate: each applies the share to
//! its own requests and takes an equal part of the number. What can't be divided equally goes to
//! a few nodes by turns, chosen by rendezvous hashing over all known nodes, silent ones included;
//! a hedge that it pays for ends within the turn.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::id::Name;

use crate::crashes::ServerIncarnation;
use crate::dispatch::TargetKey;
use crate::rate_limit::sender_place;

/// Time after which a hedge that has not been answered is cancelled, if the first attempt is
/// still running.
pub const MAX_HEDGE_TIME: Duration = Duration::from_secs(2);
/// Share of the latencies that are shorter than the delay.
const DELAY_PERCENTILE: f64 = 0.95;
/// The same where the delay would leave too little time.
const MIN_PERCENTILE: f64 = 0.8;
/// Multiple of a median latency that the delay exceeds: another attempt takes as long as that one
/// on average, and the first one is likely to end before it otherwise.
const SLOW_FACTOR: u32 = 3;
/// Shortest delay; differences below it are not due to a slow server.
const MIN_DELAY: Duration = Duration::from_millis(10);
/// Latencies without which there is no delay.
const MIN_SAMPLES: usize = 20;
/// Maximum number of latencies that are kept of a route.
const MAX_SAMPLES: usize = 128;
/// Age at which a latency no longer counts.
const SAMPLE_TTL: Duration = Duration::from_mins(1);
/// Maximum number of routes of a service, and of services, whose latencies are kept.
const MAX_ROUTES: usize = 64;
const MAX_SERVICES: usize = 64;
/// Maximum number of hedges that can be saved up.
const MAX_CREDIT: f64 = 4.0;
/// Requests in flight per slot of a service's servers from which on there are no hedges.
const MAX_SERVICE_USE: f64 = 0.6;
/// Time in which requests that were due for a hedge are counted.
const DUE_WINDOW: Duration = Duration::from_secs(5);
/// Maximum number of such requests that are kept of a service.
const MAX_DUE: usize = 128;
/// Requests due at other servers, as a number and as a share of those answered there, from which
/// on all servers count as slow.
const MIN_SLOW: usize = 3;
const SLOW_SHARE: f64 = 0.25;
/// Time without hedges after a retry was denied.
const RETRY_DENIAL_PAUSE: Duration = Duration::from_secs(5);
/// Length of a turn, in which some nodes may have one hedge more than others.
const TURN_LENGTH: Duration = Duration::from_secs(8);
/// Difference of the nodes' clocks that is allowed for at the end of a turn.
const TURN_MARGIN: Duration = Duration::from_millis(500);
/// Distinguishes the ranking of nodes for hedges from those for servers' limits.
const TURN_SALT: ServerIncarnation = ServerIncarnation(0x6865_6467_6573);
/// Maximum number of servers whose silence is remembered.
const MAX_SILENT: usize = 256;
/// Interval between log lines about denied hedges.
const DENIAL_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Limits that operators set.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HedgeLimits {
    /// Hedges per request that may be repeated; 0 turns hedging off.
    pub share: f64,
    /// Hedges at once in the whole fleet.
    pub most: u64,
}

/// Why a request that is due for a hedge gets none.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum HedgeDenial {
    /// The node is stopping.
    #[display("stopping")]
    Stopping,
    /// The route's attempts would be used up.
    #[display("attempts")]
    Attempts,
    /// The request may crash servers.
    #[display("suspect")]
    Suspect,
    /// No other server has room for it.
    #[display("servers")]
    Servers,
    /// The service's servers are busy.
    #[display("load")]
    Load,
    /// Requests are slow at several servers.
    #[display("slow")]
    Slow,
    /// The account's allotment has no room for one more run.
    #[display("allotment")]
    Allotment,
    /// A retry was denied lately, or retries need what is left of their budget.
    #[display("budget")]
    Budget,
    /// The operators' share is used up.
    #[display("share")]
    Share,
    /// This node's part of the operators' number is in use.
    #[display("most")]
    Most,
}

/// Requests whose latencies are comparable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HedgeKind {
    /// Service whose servers run them.
    pub service: Name,
    /// Route.
    pub route: Name,
    /// Whether they are answered by streams, whose latency is that of the first data.
    pub is_stream: bool,
}

/// An attempt that may need a hedge.
#[derive(Clone, Copy, Debug)]
pub struct SlowAttempt {
    /// Server that runs it.
    pub server: TargetKey,
    /// Predicted latency.
    pub predicted: Duration,
    /// Time from its beginning until its answer is late.
    pub time_left: Duration,
}

/// The state in which a hedge would begin.
#[derive(Clone, Copy, Debug)]
pub struct HedgeLoad {
    /// Requests in flight per slot of the service's servers.
    pub service_use: f64,
    /// Number of hedges that this node may have at once.
    pub part: u64,
}

/// Denied hedges since the last log line.
#[derive(Clone, Copy, Debug, Default)]
struct DenialLog {
    written: Option<Instant>,
    count: u64,
}

/// Silence of a server.
#[derive(Clone, Copy, Debug)]
struct Silence {
    /// When the first of the attempts began.
    since: Instant,
    /// Time for which the attempts were waited for.
    waited: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Instant,
    server: TargetKey,
    /// Time by which the latency exceeded its prediction.
    excess: Duration,
}

#[derive(Debug, Default)]
struct RouteLatencies {
    is_stream: bool,
    samples: VecDeque<Sample>,
}

#[derive(Debug, Default)]
struct ServiceLatencies {
    routes: HashMap<Name, RouteLatencies>,
    /// Requests that were due for a hedge, with the server of their first attempt.
    due: VecDeque<(Instant, TargetKey)>,
    retry_denied: Option<Instant>,
}

impl ServiceLatencies {
    /// Returns the sorted excesses at other servers than `server`: those of the route, or of all
    /// such routes if these are too few. Where nearly all requests go to one server, its own count.
    fn excesses(&self, kind: &HedgeKind, server: TargetKey, now: Instant) -> Option<Vec<Duration>> {
        let of = |route: &RouteLatencies, includes_own: bool| -> Vec<Duration> {
            let samples = route.samples.iter().filter(|sample| {
                (includes_own || sample.server != server) && age(sample.at, now) < SAMPLE_TTL
            });
            samples.map(|sample| sample.excess).collect()
        };
        let own = || self.routes.get(&kind.route).map(|route| of(route, false));
        let alike = |includes_own| {
            let routes = self.routes.values();
            let routes = routes.filter(|route| route.is_stream == kind.is_stream);
            routes.flat_map(|route| of(route, includes_own)).collect()
        };
        let sources: [&dyn Fn() -> Vec<Duration>; 3] =
            [&|| own().unwrap_or_default(), &|| alike(false), &|| {
                alike(true)
            }];
        let mut excesses = sources
            .iter()
            .map(|source| source())
            .find(|excesses| excesses.len() >= MIN_SAMPLES)?;
        excesses.sort_unstable();
        Some(excesses)
    }

    /// Returns whether requests are slow at other servers than `server`, too.
    fn is_slow_beside(&self, server: TargetKey, now: Instant) -> bool {
        let is_other = |at: Instant, other: TargetKey| other != server && age(at, now) < DUE_WINDOW;
        let due = self.due.iter().filter(|(at, other)| is_other(*at, *other));
        let due = due.count();
        let samples = self.routes.values().flat_map(|route| &route.samples);
        let answered = samples.filter(|sample| is_other(sample.at, sample.server));
        due >= MIN_SLOW && due as f64 > answered.count() as f64 * SLOW_SHARE
    }
}

/// Decides at one node which requests get a second attempt, and when; see the module.
#[derive(Debug)]
pub struct Hedging {
    limits: HedgeLimits,
    services: HashMap<Name, ServiceLatencies>,
    /// Hedges that the requests so far allow.
    credit: f64,
    running: u64,
    /// Silence of servers under attempts that were cancelled.
    silent: HashMap<TargetKey, Silence>,
    denials: DenialLog,
}

impl Hedging {
    /// Creates the state of a node that has seen no requests.
    pub fn new(limits: HedgeLimits) -> Self {
        Self {
            limits,
            services: HashMap::new(),
            credit: 0.0,
            running: 0,
            silent: HashMap::new(),
            denials: DenialLog::default(),
        }
    }

    /// Changes the limits; running hedges go on.
    pub fn set_limits(&mut self, limits: HedgeLimits) {
        self.limits = limits;
    }

    /// Returns the limits in force.
    pub fn limits(&self) -> HedgeLimits {
        self.limits
    }

    /// Returns whether there are any hedges.
    pub fn is_on(&self) -> bool {
        self.limits.share > 0.0
    }

    /// Counts a request that may be repeated.
    pub fn record_request(&mut self) {
        self.credit = (self.credit + self.limits.share).min(MAX_CREDIT);
    }

    /// Records that the first data of an attempt arrived, or that it was given up, after
    /// `latency`.
    pub fn record_latency(
        &mut self,
        kind: &HedgeKind,
        attempt: &SlowAttempt,
        latency: Duration,
        now: Instant,
    ) {
        let Some(service) = self.service(&kind.service) else {
            return;
        };
        let is_known = service.routes.contains_key(&kind.route);
        if !is_known && service.routes.len() >= MAX_ROUTES {
            let newest = |route: &RouteLatencies| route.samples.back().map(|sample| sample.at);
            let is_recent = |at: Instant| age(at, now) < SAMPLE_TTL;
            service
                .routes
                .retain(|_, route| newest(route).is_some_and(is_recent));
            if service.routes.len() >= MAX_ROUTES {
                return;
            }
        }
        let route = service.routes.entry(kind.route.clone()).or_default();
        route.is_stream = kind.is_stream;
        push_bounded(
            &mut route.samples,
            MAX_SAMPLES,
            Sample {
                at: now,
                server: attempt.server,
                excess: latency.saturating_sub(attempt.predicted),
            },
        );
    }

    /// Returns the time from an attempt's beginning after which it is due for a hedge, or `None` if
    /// too little is known or the hedge would be late.
    pub fn delay(&self, kind: &HedgeKind, attempt: &SlowAttempt, now: Instant) -> Option<Duration> {
        if !self.is_on() {
            return None;
        }
        let service = self.services.get(&kind.service)?;
        let excesses = service.excesses(kind, attempt.server, now)?;
        let latency = |share: f64| attempt.predicted + percentile(&excesses, share);
        let median = latency(0.5);
        let latest = attempt.time_left.checked_sub(median)?;
        let shortest = MIN_DELAY.max(median * SLOW_FACTOR);
        let [earliest, delay] = [MIN_PERCENTILE, DELAY_PERCENTILE]
            .map(latency)
            .map(|delay| delay.max(shortest));
        (earliest <= latest).then_some(delay.min(latest))
    }

    /// Records that a request is due for a hedge.
    pub fn record_due(&mut self, service: &Name, server: TargetKey, now: Instant) {
        if let Some(service) = self.service(service) {
            push_bounded(&mut service.due, MAX_DUE, (now, server));
        }
    }

    /// Records that the retry budget had no room for a retry.
    pub fn record_retry_denied(&mut self, service: &Name, now: Instant) {
        if self.is_on()
            && let Some(service) = self.service(service)
        {
            service.retry_denied = Some(now);
        }
    }

    /// Checks whether a hedge may begin beside an attempt at `server`.
    pub fn check(
        &self,
        service: &Name,
        server: TargetKey,
        load: HedgeLoad,
        now: Instant,
    ) -> Result<(), HedgeDenial> {
        let service = self.services.get(service);
        let was_denied = service.and_then(|service| service.retry_denied);
        if load.service_use > MAX_SERVICE_USE {
            Err(HedgeDenial::Load)
        } else if service.is_some_and(|service| service.is_slow_beside(server, now)) {
            Err(HedgeDenial::Slow)
        } else if was_denied.is_some_and(|at| age(at, now) < RETRY_DENIAL_PAUSE) {
            Err(HedgeDenial::Budget)
        } else if !self.is_on() || self.credit < 1.0 {
            Err(HedgeDenial::Share)
        } else if self.running >= load.part {
            Err(HedgeDenial::Most)
        } else {
            Ok(())
        }
    }

    /// Counts a hedge that begins; [`Self::end`] must follow.
    pub fn begin(&mut self) {
        self.credit -= 1.0;
        self.running += 1;
    }

    /// Counts that a hedge has ended, or that it is the only attempt left.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Records that a first attempt, begun at `sent_at`, was cancelled. Returns for how long the
    /// server has been silent under such attempts: each of them is cancelled too early to show that
    /// the server is dead.
    pub fn record_cancelled(
        &mut self,
        server: TargetKey,
        sent_at: Instant,
        is_silent_since: impl Fn(Instant) -> bool,
        now: Instant,
    ) -> Duration {
        let known = self.silent.remove(&server);
        if !is_silent_since(sent_at) {
            return Duration::ZERO;
        }
        let silence = known
            .filter(|silence| is_silent_since(silence.since))
            .unwrap_or(Silence {
                since: sent_at,
                waited: Duration::ZERO,
            });
        let waited = silence.waited + age(sent_at, now);
        if self.silent.len() >= MAX_SILENT {
            self.silent.clear();
        }
        self.silent.insert(server, Silence { waited, ..silence });
        waited
    }

    /// Counts a denied hedge. Returns the number of those that no log line has told of if one is to
    /// be written now.
    pub fn record_denial(&mut self, now: Instant) -> Option<u64> {
        let log = &mut self.denials;
        log.count += 1;
        if log
            .written
            .is_some_and(|at| age(at, now) < DENIAL_LOG_INTERVAL)
        {
            return None;
        }
        log.written = Some(now);
        Some(std::mem::take(&mut log.count))
    }

    /// Returns the latencies of a service, `None` if those of too many are kept.
    fn service(&mut self, service: &Name) -> Option<&mut ServiceLatencies> {
        if !self.services.contains_key(service) && self.services.len() >= MAX_SERVICES {
            return None;
        }
        Some(self.services.entry(service.clone()).or_default())
    }
}

/// Returns how many hedges the node with the hash `own` may have at once, as its part of `most`
/// for itself and its known peers.
pub fn part_of(most: u64, own: u64, peers: &[u64], unix_ms: u64) -> u64 {
    let nodes = peers.len() as u64 + 1;
    let (whole, rest) = (most / nodes, most % nodes);
    let length = TURN_LENGTH.as_millis() as u64;
    let turn_left = Duration::from_millis(length - unix_ms % length);
    if rest == 0 || turn_left < MAX_HEDGE_TIME + TURN_MARGIN {
        return whole;
    }
    let place = sender_place(own, peers, TURN_SALT, unix_ms / length);
    whole + u64::from((place.rank as u64) < rest)
}

fn age(at: Instant, now: Instant) -> Duration {
    now.saturating_duration_since(at)
}

/// Returns the shortest of the sorted times that at least this share of them don't exceed.
fn percentile(sorted: &[Duration], share: f64) -> Duration {
    let rank = (sorted.len() as f64 * share).ceil() as usize;
    sorted[rank.clamp(1, sorted.len()) - 1]
}

fn push_bounded<T>(queue: &mut VecDeque<T>, max: usize, item: T) {
    if queue.len() >= max {
        queue.pop_front();
    }
    queue.push_back(item);
}
