//! Limits that servers name during a run, beside the other faults.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::Method;
use pomeloridge_fleet_standin::caller::{generation, request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::SERVERS;
use super::callers::send_once;
use crate::launch::{Fleet, post_json};

/// Changes the seed, so that limits do not depend on the other faults.
const SEED_MASK: u64 = 0x4c49_4d49_5453;
/// Number of the servers that name limits.
const LIMITED_SERVERS: usize = 5;
/// Values of limits, malformed ones among them.
const LIMITS: [&str; 7] = ["0", "0.5", "2.5", "3", "20", "1e12", "few"];
/// Maximum number of limits in a run.
const MAX_LIMITS: usize = 6;
/// Time in which limits are named.
const NAMING_TIME: Duration = Duration::from_secs(2);
/// Time for which a server names a limit, unless it names another one before.
const NAMED_TIME: Duration = Duration::from_secs(8);
/// Timeout for gateways to learn that the limits have ended.
const LEARNING_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two requests that find that out.
const LEARNING_PAUSE: Duration = Duration::from_millis(50);

/// A change of the limit that a server names.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitChange {
    /// Time from the start of the run.
    pub(super) at: Duration,
    server: &'static str,
    /// Limit; `None` if the server names none any more.
    limit: Option<&'static str>,
}

impl LimitChange {
    /// Makes the change.
    pub(super) fn apply(&self, fleet: &Fleet) -> Result<(), String> {
        let mut limits = json!({});
        limits[self.server] = json!(self.limit);
        post_json(fleet.duties, "/-/limits", &limits).map(|_: Value| ())
    }
}

impl std::fmt::Display for LimitChange {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (server, limit) = (self.server, self.limit.unwrap_or("none"));
        write!(
            formatter,
            "Limit({server}={limit}) {}ms",
            self.at.as_millis()
        )
    }
}

/// Returns a seed's limits: several servers, or all, name some, change them and end them.
pub(super) fn plan(seed: u64) -> Vec<LimitChange> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let mut changes = Vec::new();
    for _ in 0..rng.random_range(0..=MAX_LIMITS) {
        let at = Duration::from_millis(rng.random_range(0..NAMING_TIME.as_millis() as u64));
        let server = SERVERS[rng.random_range(0..LIMITED_SERVERS)];
        let limit = LIMITS[rng.random_range(0..LIMITS.len())];
        let named = LimitChange {
            at,
            server,
            limit: Some(limit),
        };
        changes.extend([
            named,
            LimitChange {
                at: at + NAMED_TIME,
                limit: None,
                ..named
            },
        ]);
    }
    changes.sort_by_key(|change| change.at);
    changes
}

/// Waits until every gateway serves again after the limits have ended. Returns the violations.
pub(super) fn wait_for_end(fleet: &Fleet, changes: &[LimitChange]) -> Vec<String> {
    if changes.is_empty() {
        return Vec::new();
    }
    let end = Instant::now() + LEARNING_TIMEOUT;
    let mut number = 0;
    let mut is_served = |gateway, route: &str| {
        number += 1;
        let attempt = format!("limit-end-{number}");
        let mut message = match route {
            "read" => request(Method::GET, route, &attempt),
            _ => generation(route, &attempt, 300),
        };
        // A path of its own: the callers' requests may be quarantined, as they share one.
        message.target = format!("/{route}/{attempt}");
        send_once(gateway, &message).is_ok_and(|answer| answer.status == 200)
    };
    let gateways = fleet.gateways.iter().enumerate();
    let mut checks: Vec<Check> = gateways
        .flat_map(|(index, gateway)| {
            ["read", "ask"].map(|route| Check {
                index,
                gateway: gateway.caller,
                route,
                is_served: false,
            })
        })
        .collect();
    // All gateways are asked until the last one serves: one without requests learns of no end.
    while checks.iter().any(|check| !check.is_served) && Instant::now() < end {
        for check in &mut checks {
            check.is_served |= is_served(check.gateway, check.route);
        }
        std::thread::sleep(LEARNING_PAUSE);
    }
    let unserved = checks.iter().filter(|check| !check.is_served);
    let violations = unserved.map(|check| {
        let Check { index, route, .. } = check;
        format!("gateway {index} does not serve `{route}` {LEARNING_TIMEOUT:?} after the limits")
    });
    violations.collect()
}

/// Whether a gateway serves a route.
struct Check {
    index: usize,
    gateway: SocketAddr,
    route: &'static str,
    is_served: bool,
}
