//! One node's part of a request rate that a backend server takes from the whole fleet.
//!
//! A server in need names a limit in its responses. Nodes don't ask one another before they
//! send. In each turn, a few nodes are the server's senders, chosen by rendezvous hashing
//! over all known nodes; each gets an equal part of the limit, and the other nodes send
//! nothing. A node that is silent or cut off stays among the known nodes, so that the others
//! don't use its part. The turns keep a limit from being lost where all senders have failed,
//! and let every node learn of its end.
//!
//! There are only as many senders as the limit has requests a second: the first request of
//! each may come at the same moment.

use std::time::{Duration, Instant};

use derive_more::Display;

use crate::crashes::ServerIncarnation;
use crate::hash::splitmix64;

/// Length of a turn.
const TURN_LENGTH: Duration = Duration::from_secs(10);
/// Rate at which the fleet asks a server with a lower limit, or one of 0, whether that still
/// holds, in requests a second.
const MIN_RATE: f64 = 0.5;
/// Time whose requests a node may send at once, if that is more than one request.
const BURST_TIME: Duration = Duration::from_millis(250);
/// Age from which a statement of a server is no longer sent to peers, and from which the end of
/// a limit is forgotten.
const STATEMENT_TTL: Duration = Duration::from_secs(30);
/// Time by which a peer's statement of the same limit must be newer to count. Each relay adds the
/// time for which it was under way.
const MIN_REFRESH: Duration = Duration::from_secs(1);

/// The number of requests a second that a server takes from the whole fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// The error of a limit that is negative or not finite.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the limit is not a finite number of at least 0")]
pub struct InvalidRateLimit;

impl RateLimit {
    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }

    /// Returns the requests a second that a node may send.
    pub fn share(self, place: SenderPlace) -> f64 {
        let senders = self.senders(place.nodes);
        if place.rank < senders {
            self.0.max(MIN_RATE) / senders as f64
        } else {
            0.0
        }
    }

    /// Returns how many of the nodes send in a turn.
    fn senders(self, nodes: usize) -> usize {
        (self.0.ceil() as usize).clamp(1, nodes.max(1))
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRateLimit;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(InvalidRateLimit)
    }
}

/// A node's place among the known nodes, in one turn of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SenderPlace {
    /// Number of known nodes, this one and silent ones included.
    pub nodes: usize,
    /// Number of nodes that come before this one.
    pub rank: usize,
}

/// Returns the number of the turn that contains a time of day. Nodes whose clocks differ are in
/// different turns for as long.
pub fn turn_at(unix_ms: u64) -> u64 {
    unix_ms / TURN_LENGTH.as_millis() as u64
}

/// Returns the place of the node with the hash `own` among itself and its known peers. Nodes
/// that know the same peers agree on it.
pub fn sender_place(own: u64, peers: &[u64], server: ServerIncarnation, turn: u64) -> SenderPlace {
    let score = |node: u64| (splitmix64(splitmix64(server.0 ^ turn) ^ node), node);
    let own = score(own);
    SenderPlace {
        nodes: peers.len() + 1,
        rank: peers.iter().filter(|peer| score(**peer) > own).count(),
    }
}

/// A server's limit as stated in a response, or its end, for other nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitReport {
    /// Server.
    pub server: ServerIncarnation,
    /// Limit; `None` if the server no longer names one.
    pub limit: Option<RateLimit>,
    /// Time since the response.
    pub age: Duration,
}

/// What a node knows of a server's limit, and what it may send.
#[derive(Debug)]
pub(crate) struct ServerLimit {
    /// Limit; `None` if the server no longer names one.
    limit: Option<RateLimit>,
    stated_at: Instant,
    /// Whether all nodes may send in each turn.
    is_ample: bool,
    /// Requests a second that this node may send.
    rate: f64,
    /// Requests that this node may send now.
    tokens: f64,
    refilled_at: Instant,
}

impl ServerLimit {
    /// Creates the state for a new statement. Nothing may be sent before the node's place is
    /// known, as earlier requests may still be on their way.
    pub(crate) fn new(limit: Option<RateLimit>, stated_at: Instant, now: Instant) -> Self {
        Self {
            limit,
            stated_at,
            is_ample: false,
            rate: 0.0,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    pub(crate) fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Returns whether there is no limit, or one that lets all nodes send in each turn.
    pub(crate) fn is_ample(&self) -> bool {
        self.limit.is_none() || self.is_ample
    }

    /// Replaces an older statement by the node's own observation. Returns whether the limit is
    /// another one.
    pub(crate) fn update(&mut self, limit: Option<RateLimit>, stated_at: Instant) -> bool {
        if stated_at < self.stated_at {
            return false;
        }
        self.stated_at = stated_at;
        std::mem::replace(&mut self.limit, limit) != limit
    }

    /// Replaces an older statement by a peer's. Returns whether the limit is another one.
    pub(crate) fn merge(&mut self, limit: Option<RateLimit>, stated_at: Instant) -> bool {
        let is_same = limit == self.limit;
        let newer_by = stated_at.saturating_duration_since(self.stated_at);
        if newer_by.is_zero() || (is_same && newer_by < MIN_REFRESH) {
            return false;
        }
        self.update(limit, stated_at)
    }

    /// Returns whether a request that was sent at a time was sent after the statement, so that its
    /// response says more.
    pub(crate) fn is_older_than(&self, sent_at: Instant) -> bool {
        self.stated_at < sent_at
    }

    /// Sets the node's place; `None` if it must not send.
    pub(crate) fn set_place(&mut self, place: Option<SenderPlace>, now: Instant) {
        self.tokens = self.available(now);
        self.refilled_at = now;
        let limit = self.limit.zip(place);
        self.is_ample =
            limit.is_some_and(|(limit, place)| limit.senders(place.nodes) == place.nodes);
        self.rate = limit.map_or(0.0, |(limit, place)| limit.share(place));
        self.tokens = self.tokens.min(self.burst());
    }

    /// Returns whether a request may be sent now.
    pub(crate) fn admits(&self, now: Instant) -> bool {
        self.limit.is_none() || self.available(now) >= 1.0
    }

    /// Counts a request that is sent now; returns whether it may be.
    pub(crate) fn try_send(&mut self, now: Instant) -> bool {
        if !self.admits(now) {
            return false;
        }
        self.tokens = (self.available(now) - 1.0).max(0.0);
        self.refilled_at = now;
        true
    }

    /// Returns the time until a request may be sent; `None` if this node may not send any.
    pub(crate) fn wait(&self, now: Instant) -> Option<Duration> {
        if self.admits(now) {
            return Some(Duration::ZERO);
        }
        let seconds = (1.0 - self.available(now)) / self.rate;
        Duration::try_from_secs_f64(seconds).ok()
    }

    /// Returns the report for peers, if it is recent.
    pub(crate) fn report(&self, server: ServerIncarnation, now: Instant) -> Option<LimitReport> {
        let age = now.saturating_duration_since(self.stated_at);
        (age < STATEMENT_TTL).then_some(LimitReport {
            server,
            limit: self.limit,
            age,
        })
    }

    /// Returns whether nothing has to be remembered: the limit ended long ago.
    pub(crate) fn is_expired(&self, now: Instant) -> bool {
        self.limit.is_none() && now.saturating_duration_since(self.stated_at) >= STATEMENT_TTL
    }

    fn available(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        (self.tokens + self.rate * elapsed.as_secs_f64()).min(self.burst())
    }

    /// Returns the number of requests that may be sent at once.
    fn burst(&self) -> f64 {
        if self.rate > 0.0 {
            (self.rate * BURST_TIME.as_secs_f64()).max(1.0)
        } else {
            0.0
        }
    }
}
