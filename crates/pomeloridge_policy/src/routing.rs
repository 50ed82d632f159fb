//! The choice of a backend server for a request.
//!
//! Two servers drawn at random and the affinity choice are scored by the time
//! that the request would spend; the least score wins. Drawing few keeps nodes
//! with views of different age from all choosing the same server.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use rand::Rng;
use rand::seq::{SliceRandom, index};

use crate::candidate::{RouteRequest, Tier, affinity, candidates};
use crate::fleet::Fleet;
use crate::load;
use crate::prefix::PrefixHints;
use crate::server::{Server, ServerKey};

/// Servers that are drawn at random.
const DRAWN: usize = 2;
/// Time added for a server in another data centre, there and back.
pub const DISTANCE: Duration = Duration::from_millis(1);

/// How a server is chosen.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// Least estimated time of two random servers and the affinity choice.
    #[default]
    #[display("estimated")]
    Estimated,
    /// Each server in turn.
    #[display("round_robin")]
    RoundRobin,
    /// Least requests in the last report, as it came.
    #[display("least_reported")]
    LeastReported,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// It was the only one left.
    #[display("only")]
    Only,
    /// It had the least estimated time of those drawn.
    #[display("least_time")]
    LeastTime,
    /// It had the least estimated time and holds the session or prefix.
    #[display("affinity")]
    Affinity,
    /// It had the least in flight of those without another suspect.
    #[display("apart")]
    Apart,
    /// It was its turn.
    #[display("turn")]
    Turn,
    /// It had the least requests in its report.
    #[display("least_reported")]
    LeastReported,
    /// Only cheap servers of a suspect data centre were left.
    #[display("suspect_data_centre")]
    SuspectDataCentre,
    /// All are ejected, and it was ejected first.
    #[display("longest_ejected")]
    LongestEjected,
}

/// A server that was considered.
#[derive(Clone, Debug, PartialEq)]
pub struct Scored {
    /// Server.
    pub key: ServerKey,
    /// Its identifier.
    pub id: Name,
    /// Estimated time in seconds, less the prefix benefit; the number of
    /// requests for policies that estimate nothing.
    pub score: f64,
}

/// The chosen server, and what it was chosen from.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Chosen server.
    pub chosen: ServerKey,
    /// Its identifier.
    pub id: Name,
    /// Servers considered.
    pub scored: Vec<Scored>,
    /// Why.
    pub reason: Reason,
    /// Prompt tokens that the server is thought to hold.
    pub cached: u64,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "server={} reason={} candidates=", self.id, self.reason)?;
        for (n, scored) in self.scored.iter().enumerate() {
            let comma = if n == 0 { "" } else { "," };
            write!(f, "{comma}{}:{:.4}", scored.id, scored.score)?;
        }
        write!(f, " cached={}", self.cached)
    }
}

/// Chooses servers by one policy.
#[derive(Debug, Default)]
pub struct Router {
    policy: RoutingPolicy,
    turns: HashMap<Name, usize>,
}

impl Router {
    /// A router with a policy.
    pub fn new(policy: RoutingPolicy) -> Self {
        Self {
            policy,
            turns: HashMap::new(),
        }
    }

    /// Chooses a server; `NoServer` if none can take the request.
    pub fn route(
        &mut self,
        fleet: &Fleet,
        hints: &PrefixHints,
        request: &RouteRequest,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Result<Decision, ErrorKind> {
        let found = candidates(fleet, request, now);
        let view = View {
            fleet,
            hints,
            request,
            now,
        };
        let (scored, reason) = if request.suspect {
            (view.by_in_flight(&found.keys), Reason::Apart)
        } else {
            match self.policy {
                RoutingPolicy::Estimated => view.by_time(&found.keys, rng),
                RoutingPolicy::RoundRobin => (self.turn(&view, &found.keys), Reason::Turn),
                RoutingPolicy::LeastReported => {
                    (view.by_report(&found.keys, rng), Reason::LeastReported)
                }
            }
        };
        let reason = match found.tier {
            Tier::Usable if found.keys.len() == 1 => Reason::Only,
            Tier::Usable => reason,
            Tier::Suspect => Reason::SuspectDataCentre,
            Tier::Ejected => Reason::LongestEjected,
        };
        view.decide(scored, reason)
    }

    fn turn(&mut self, view: &View, keys: &[ServerKey]) -> Vec<Scored> {
        let turn = self.turns.entry(view.request.pool.clone()).or_default();
        *turn = turn.wrapping_add(1);
        let at = *turn % keys.len().max(1);
        let key = keys.get(at).copied();
        key.into_iter()
            .filter_map(|key| view.scored(key, 0.0))
            .collect()
    }
}

/// What one choice looks at.
struct View<'a> {
    fleet: &'a Fleet,
    hints: &'a PrefixHints,
    request: &'a RouteRequest<'a>,
    now: Instant,
}

impl View<'_> {
    fn by_time(&self, keys: &[ServerKey], rng: &mut impl Rng) -> (Vec<Scored>, Reason) {
        let bound = affinity(self.fleet, self.request, keys, self.now);
        let mut drawn: Vec<ServerKey> = index::sample(rng, keys.len(), DRAWN.min(keys.len()))
            .into_iter()
            .map(|n| keys[n])
            .collect();
        if let Some(bound) = bound
            && !drawn.contains(&bound)
        {
            drawn.push(bound);
        }
        let scored = self.score_all(&drawn, |key| self.time(key));
        let best = least(&scored).map(|best| best.key);
        let reason = if best.is_some() && best == bound {
            Reason::Affinity
        } else {
            Reason::LeastTime
        };
        (scored, reason)
    }

    fn by_in_flight(&self, keys: &[ServerKey]) -> Vec<Scored> {
        let in_flight = |key| f64::from(self.fleet.load(key, self.now).in_flight);
        self.score_all(keys, in_flight)
    }

    /// Scores by the last reports; equal ones are drawn at random.
    fn by_report(&self, keys: &[ServerKey], rng: &mut impl Rng) -> Vec<Scored> {
        let mut keys = keys.to_vec();
        keys.shuffle(rng);
        let count = |key| {
            let report = self.fleet.server(key).and_then(|s| s.report.as_ref());
            report.map_or(0.0, |report| f64::from(report.running + report.queued))
        };
        self.score_all(&keys, count)
    }

    /// Seconds that the request would spend on a server beyond its own output.
    fn time(&self, key: ServerKey) -> f64 {
        let Some(server) = self.fleet.server(key) else {
            return f64::INFINITY;
        };
        let load = self.fleet.load(key, self.now);
        let wait = load::wait_seconds(load, &server.rates, server.slots(), self.request.work);
        wait - self.benefit(key, server) + self.distance(server)
    }

    /// Seconds saved by the prompt tokens that a server holds.
    fn benefit(&self, key: ServerKey, server: &Server) -> f64 {
        self.cached(key) as f64 / server.rates.prefill
    }

    fn cached(&self, key: ServerKey) -> u64 {
        let cached = self.hints.cached_tokens(key, self.request.blocks);
        cached.min(self.request.work.prompt)
    }

    fn distance(&self, server: &Server) -> f64 {
        let near = server.info.data_centre == self.fleet.settings().data_centre;
        if near { 0.0 } else { DISTANCE.as_secs_f64() }
    }

    fn score_all(&self, keys: &[ServerKey], score: impl Fn(ServerKey) -> f64) -> Vec<Scored> {
        let keys = keys.iter().copied();
        keys.filter_map(|key| self.scored(key, score(key)))
            .collect()
    }

    fn scored(&self, key: ServerKey, score: f64) -> Option<Scored> {
        let id = self.fleet.server(key)?.info.id.clone();
        Some(Scored { key, id, score })
    }

    fn decide(&self, scored: Vec<Scored>, reason: Reason) -> Result<Decision, ErrorKind> {
        let best = least(&scored).ok_or(ErrorKind::NoServer)?;
        Ok(Decision {
            chosen: best.key,
            id: best.id.clone(),
            cached: self.cached(best.key),
            scored,
            reason,
        })
    }
}

fn least(scored: &[Scored]) -> Option<&Scored> {
    scored.iter().min_by(|a, b| a.score.total_cmp(&b.score))
}
