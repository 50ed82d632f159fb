//! The gateway's view of the operators' configuration.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use pomeloridge_policy::account_quota::AccountLimit;
use pomeloridge_policy::dispatch::EngineSpec;
use pomeloridge_policy::stream_versions::StreamId;

/// How a route's requests are answered and whether they may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests must run at most once.
    NonIdempotent,
    /// Requests are answered by a stream of events.
    Stream {
        /// Whether another server may resume the stream after the last event.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be sent again although an earlier attempt may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::Stream { resumable: true })
    }

    /// Returns whether another server may resume a stream of the route.
    pub fn is_resumable(self) -> bool {
        matches!(self, Self::Stream { resumable: true })
    }
}

/// A service's share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Share {
    /// Name of the service.
    pub service: Name,
    /// Weight relative to the route's other shares.
    pub weight: u64,
}

/// A route: maps a host and path prefix to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name.
    pub name: Name,
    /// Host that the route matches.
    pub host: String,
    /// Path prefix that the route matches, with slashes at both ends.
    pub prefix: String,
    /// How requests are answered and whether they may be retried.
    pub kind: RouteKind,
    /// Maximum time that a request may wait.
    pub timeout: Duration,
    /// Target time to the first piece of the response.
    pub latency_target: Duration,
    /// Target for the maximum gap between two pieces of the response.
    pub gap_target: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that receive the route's requests, with their shares.
    pub shares: Vec<Share>,
    /// Maximum number of servers that are tried for one attempt of a caller.
    pub max_attempts: u32,
    /// Whether requests need no API key.
    pub public: bool,
}

impl Route {
    /// Selects the service of a stream by the weights of the shares, the same each time that the
    /// stream is continued while they don't change.
    pub fn stream_service(&self, stream: StreamId) -> Option<&Name> {
        self.service(stream.draw())
    }

    /// Selects a service at random by the weights of the shares; `draw` is a random number.
    /// Returns `None` if all weights are 0.
    pub fn service(&self, draw: u64) -> Option<&Name> {
        let total: u64 = self.shares.iter().map(|share| share.weight).sum();
        let mut remaining = draw.checked_rem(total)?;
        for share in &self.shares {
            if remaining < share.weight {
                return Some(&share.service);
            }
            remaining -= share.weight;
        }
        None
    }
}

/// Limits and prices by which a service's servers are ordered.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerScaling {
    /// Minimum number of servers in a data centre.
    pub min: u32,
    /// Maximum number of servers in a data centre.
    pub max: u32,
    /// Time from an order until the new server serves requests.
    pub boot_time: Duration,
    /// Price of a preemptible server relative to that of an on-demand one; `None` if there are no
    /// preemptible servers.
    pub preemptible_price_ratio: Option<f64>,
    /// Price of a server per second, by data centre.
    pub prices: Vec<(Name, f64)>,
}

/// A service: an engine pool or a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServingService {
    /// Name.
    pub name: Name,
    /// Maximum number of connections to a server from all nodes together.
    pub connections: usize,
    /// Properties of its engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// How its servers are ordered; `None` if the fleet does not order them.
    pub scaling: Option<ServerScaling>,
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// Name.
    pub name: Name,
    /// Priority that overrides the route's.
    pub priority: Option<u8>,
    /// What the whole fleet may run for it; `None` if that is not limited.
    pub limit: Option<AccountLimit>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head.
    pub max_head_bytes: usize,
    /// Maximum size of a request body.
    pub max_body_bytes: usize,
    /// Maximum time to receive a request head.
    pub head_timeout: Duration,
    /// Maximum time that a connection may be idle.
    pub idle_timeout: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug)]
pub struct ServingConfig {
    /// Version; a higher one is newer.
    pub version: u64,
    /// Routes.
    pub routes: Vec<Rc<Route>>,
    /// Services by name.
    pub services: HashMap<Name, ServingService>,
    /// Limits on callers.
    pub limits: RequestLimits,
    /// Client accounts by the hashes of their API keys; `None` if keys are not checked.
    pub accounts: Option<HashMap<KeyHash, Account>>,
}

impl ServingConfig {
    /// Returns the route with the longest prefix that matches a host and path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Rc<Route>> {
        let matching = self.routes.iter().filter(|route| {
            route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix)
        });
        matching.max_by_key(|route| route.prefix.len())
    }
}
