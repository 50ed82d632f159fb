//! The operators' configuration as the gateway uses it.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_policy::dispatch::EngineSpec;

/// What may be done again with a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// They may run more than once.
    Idempotent,
    /// They may run at most once.
    NonIdempotent,
    /// They are answered by a stream of events.
    Stream {
        /// Whether another server may go on after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether a request may run again after it may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Service.
    pub service: Name,
    /// Weight among the shares.
    pub weight: u64,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host that it answers for.
    pub host: String,
    /// Prefix of the paths that it answers for, with slashes at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// Longest time that a request may be kept waiting.
    pub timeout: Duration,
    /// Time in which the first piece is due.
    pub latency_target: Duration,
    /// Longest pause between two pieces that is on time.
    pub gap_target: Option<Duration>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services, with their shares.
    pub shares: Vec<Share>,
    /// Servers that one attempt of a caller may be sent to.
    pub max_attempts: u32,
    /// Whether it needs no key.
    pub public: bool,
}

impl Route {
    /// The service of a request, by the weights of the shares.
    pub fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut left = draw.checked_rem(total)?;
        for share in &self.shares {
            if left < share.weight {
                return Some(&share.service);
            }
            left -= share.weight;
        }
        None
    }
}

/// How many servers of a service may be ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerScaling {
    /// Fewest in a data centre.
    pub min: u32,
    /// Most in a data centre.
    pub max: u32,
    /// Time until a new server serves.
    pub boot_time: Duration,
    /// Price of a cheap server as a part of another's; `None` without cheap ones.
    pub preemptible_price_ratio: Option<f64>,
    /// Price of a server and second by data centre.
    pub prices: Vec<(Name, f64)>,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingService {
    /// Name.
    pub name: Name,
    /// Connections that a server takes from all nodes.
    pub connections: usize,
    /// Its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// How its servers are ordered; `None` if they are not.
    pub scaling: Option<ServerScaling>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Account {
    /// Name.
    pub name: Name,
    /// Rank that goes before the route's.
    pub priority: Option<u8>,
}

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Bytes of a head.
    pub max_head_bytes: usize,
    /// Bytes of a body.
    pub max_body_bytes: usize,
    /// Time for a head.
    pub head_timeout: Duration,
    /// Time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    /// Version; a greater one is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: HashMap<Name, ServingService>,
    /// Bounds.
    pub limits: RequestLimits,
    /// Client accounts by the hashes of their keys; `None` if no key is asked for.
    pub accounts: Option<HashMap<KeyHash, Account>>,
}

impl ServingConfig {
    /// The route of a host and path: the one with the longest prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        });
        matching.max_by_key(|route| route.prefix.len())
    }
}
