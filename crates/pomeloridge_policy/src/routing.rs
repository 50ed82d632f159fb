//! Selection of a backend server for a request.
//!
//! Two randomly drawn servers and the affinity choice are scored by the estimated
//! time that the request would spend on them; the lowest score wins. Drawing only
//! two keeps nodes with load data of different age from all choosing the same
//! server.

use std::collections::HashMap;
use std::fmt;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::Name;
use rand::Rng;
use rand::seq::{SliceRandom, index};

use crate::candidate::{RouteRequest, Tier, affinity_choice, candidates};
use crate::load;
use crate::prefix::PrefixHints;
use crate::server::{Server, ServerKey};
use crate::server_table::ServerTable;

/// Number of candidates drawn at random.
const RANDOM_CANDIDATES: usize = 2;
/// Round-trip time added to the score of a server in another data centre.
pub const CROSS_DATA_CENTRE_PENALTY: Duration = Duration::from_millis(1);

/// Strategy for choosing a server.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// The lowest estimated time of two random servers and the affinity choice.
    #[default]
    #[display("estimated")]
    Estimated,
    /// Each server in rotation.
    #[display("round_robin")]
    RoundRobin,
    /// The fewest requests in the last load report, without corrections.
    #[display("least_reported")]
    LeastReported,
}

/// Why a server was chosen.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Reason {
    /// It was the only candidate.
    #[display("only")]
    Only,
    /// It had the lowest estimated time of the servers drawn.
    #[display("least_time")]
    LeastTime,
    /// It had the lowest estimated time and is the affinity choice.
    #[display("affinity")]
    Affinity,
    /// It had the fewest requests in flight of the servers without another suspect.
    #[display("apart")]
    Isolated,
    /// It was next in rotation.
    #[display("turn")]
    RoundRobin,
    /// It had the fewest requests in its load report.
    #[display("least_reported")]
    LeastReported,
    /// Only preemptible servers of a suspect data centre were left.
    #[display("suspect_data_centre")]
    SuspectDataCentre,
    /// All servers are ejected, and it was ejected first.
    #[display("longest_ejected")]
    LongestEjected,
}

/// A candidate and its score.
#[derive(Clone, Debug, PartialEq)]
pub struct ScoredServer {
    /// Key of the server.
    pub key: ServerKey,
    /// Identifier of the server.
    pub id: Name,
    /// Estimated time in seconds, less the time saved by cached tokens; or the
    /// number of requests, for policies that don't estimate time. Lower is better.
    pub score: f64,
}

/// The chosen server and the candidates that were scored.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// Key of the chosen server.
    pub chosen: ServerKey,
    /// Identifier of the chosen server.
    pub id: Name,
    /// Candidates that were scored.
    pub scored: Vec<ScoredServer>,
    /// Why the server was chosen.
    pub reason: Reason,
    /// Prompt tokens that the server is expected to have cached.
    pub cached: u64,
}

impl fmt::Display for Decision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "server={} reason={} candidates=", self.id, self.reason)?;
        for (n, scored) in self.scored.iter().enumerate() {
            let separator = if n == 0 { "" } else { "," };
            write!(f, "{separator}{}:{:.4}", scored.id, scored.score)?;
        }
        write!(f, " cached={}", self.cached)
    }
}

/// Chooses servers according to a policy.
#[derive(Debug, Default)]
pub struct Router {
    policy: RoutingPolicy,
    /// Round-robin position of each pool.
    rotation: HashMap<Name, usize>,
}

impl Router {
    /// Creates a router with a policy.
    pub fn new(policy: RoutingPolicy) -> Self {
        Self {
            policy,
            rotation: HashMap::new(),
        }
    }

    /// Chooses a server for a request, or fails with `NoServer` if there is no candidate.
    pub fn route(
        &mut self,
        servers: &ServerTable,
        hints: &PrefixHints,
        request: &RouteRequest,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Result<Decision, ErrorKind> {
        let candidates = candidates(servers, request, now);
        let selection = Selection {
            servers,
            hints,
            request,
            now,
        };
        let (scored, reason) = if request.suspect {
            (
                selection.score_by_in_flight(&candidates.keys),
                Reason::Isolated,
            )
        } else {
            match self.policy {
                RoutingPolicy::Estimated => selection.score_by_time(&candidates.keys, rng),
                RoutingPolicy::RoundRobin => (
                    self.next_in_rotation(&selection, &candidates.keys),
                    Reason::RoundRobin,
                ),
                RoutingPolicy::LeastReported => (
                    selection.score_by_report(&candidates.keys, rng),
                    Reason::LeastReported,
                ),
            }
        };
        let reason = match candidates.tier {
            Tier::Usable if candidates.keys.len() == 1 => Reason::Only,
            Tier::Usable => reason,
            Tier::Suspect => Reason::SuspectDataCentre,
            Tier::Ejected => Reason::LongestEjected,
        };
        selection.select_lowest(scored, reason)
    }

    fn next_in_rotation(&mut self, selection: &Selection, keys: &[ServerKey]) -> Vec<ScoredServer> {
        let position = self
            .rotation
            .entry(selection.request.pool.clone())
            .or_default();
        *position = position.wrapping_add(1);
        let index = *position % keys.len().max(1);
        let key = keys.get(index).copied();
        key.into_iter()
            .filter_map(|key| selection.scored_server(key, 0.0))
            .collect()
    }
}

/// The inputs of one routing decision.
struct Selection<'a> {
    servers: &'a ServerTable,
    hints: &'a PrefixHints,
    request: &'a RouteRequest<'a>,
    now: Instant,
}

impl Selection<'_> {
    fn score_by_time(&self, keys: &[ServerKey], rng: &mut impl Rng) -> (Vec<ScoredServer>, Reason) {
        let affinity = affinity_choice(self.servers, self.request, keys, self.now);
        let mut drawn: Vec<ServerKey> =
            index::sample(rng, keys.len(), RANDOM_CANDIDATES.min(keys.len()))
                .into_iter()
                .map(|n| keys[n])
                .collect();
        if let Some(key) = affinity
            && !drawn.contains(&key)
        {
            drawn.push(key);
        }
        let scored = self.score_all(&drawn, |key| self.estimated_seconds(key));
        let best = lowest_score(&scored).map(|best| best.key);
        let reason = if best.is_some() && best == affinity {
            Reason::Affinity
        } else {
            Reason::LeastTime
        };
        (scored, reason)
    }

    fn score_by_in_flight(&self, keys: &[ServerKey]) -> Vec<ScoredServer> {
        let in_flight = |key| f64::from(self.servers.load(key, self.now).in_flight);
        self.score_all(keys, in_flight)
    }

    /// Scores by the last load reports; shuffles first, so that ties are broken at random.
    fn score_by_report(&self, keys: &[ServerKey], rng: &mut impl Rng) -> Vec<ScoredServer> {
        let mut keys = keys.to_vec();
        keys.shuffle(rng);
        let requests = |key| {
            let report = self.servers.server(key).and_then(|s| s.report.as_ref());
            report.map_or(0.0, |report| f64::from(report.running + report.queued))
        };
        self.score_all(&keys, requests)
    }

    /// Estimates the seconds that the request would spend on a server, not counting
    /// those in which its output is generated at full speed.
    fn estimated_seconds(&self, key: ServerKey) -> f64 {
        let Some(server) = self.servers.server(key) else {
            return f64::INFINITY;
        };
        let load = self.servers.load(key, self.now);
        let wait = load::wait_seconds(load, &server.rates, server.slots(), self.request.work);
        wait - self.cached_prefill_seconds(key, server) + self.distance_penalty_seconds(server)
    }

    /// Returns the seconds of prefill saved by the prompt tokens cached on a server.
    fn cached_prefill_seconds(&self, key: ServerKey, server: &Server) -> f64 {
        self.cached_tokens(key) as f64 / server.rates.prefill
    }

    fn cached_tokens(&self, key: ServerKey) -> u64 {
        let cached = self.hints.cached_tokens(key, self.request.blocks);
        cached.min(self.request.work.prompt)
    }

    fn distance_penalty_seconds(&self, server: &Server) -> f64 {
        let same_data_centre = server.info.data_centre == self.servers.settings().data_centre;
        if same_data_centre {
            0.0
        } else {
            CROSS_DATA_CENTRE_PENALTY.as_secs_f64()
        }
    }

    fn score_all(&self, keys: &[ServerKey], score: impl Fn(ServerKey) -> f64) -> Vec<ScoredServer> {
        let keys = keys.iter().copied();
        keys.filter_map(|key| self.scored_server(key, score(key)))
            .collect()
    }

    fn scored_server(&self, key: ServerKey, score: f64) -> Option<ScoredServer> {
        let id = self.servers.server(key)?.info.id.clone();
        Some(ScoredServer { key, id, score })
    }

    fn select_lowest(
        &self,
        scored: Vec<ScoredServer>,
        reason: Reason,
    ) -> Result<Decision, ErrorKind> {
        let best = lowest_score(&scored).ok_or(ErrorKind::NoServer)?;
        Ok(Decision {
            chosen: best.key,
            id: best.id.clone(),
            cached: self.cached_tokens(best.key),
            scored,
            reason,
        })
    }
}

fn lowest_score(scored: &[ScoredServer]) -> Option<&ScoredServer> {
    scored.iter().min_by(|a, b| a.score.total_cmp(&b.score))
}
