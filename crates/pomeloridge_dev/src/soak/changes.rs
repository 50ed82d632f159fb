//! Changes of the configuration during a run, several in a row.

use std::time::Duration;

use derive_more::Display;
use pomeloridge_fleet_standin::operator::{
    set_idle_timeout, set_route, toggle_account, toggle_key,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::callers::Route;
use crate::launch::{Fleet, get_json, post_json};

/// Changes the seed, so that changes do not depend on the other faults.
const SEED_MASK: u64 = 0x4348_414e_4745;
/// Key that configuration changes add and remove.
pub(super) const SPARE_KEY: &str = "key-of-anna-2";
/// Client account that configuration changes add and remove.
pub(super) const SPARE_ACCOUNT: &str = "berta";
/// Key of that account.
pub(super) const SPARE_ACCOUNT_KEY: &str = "key-of-berta";
/// Services of the route `read`, one after the other.
const SERVICES: [&str; 2] = ["filings", "archive"];
/// Idle timeouts of callers' connections, in ms.
const IDLE_TIMEOUTS: [u64; 4] = [300, 1000, 5000, 15_000];
/// Timeouts of routes, in ms.
const ROUTE_TIMEOUTS: [u64; 4] = [800, 1500, 3000, 4000];
/// Maximum number of series in a run.
const MAX_SERIES: usize = 3;
/// Maximum number of changes in a series.
const MAX_CHANGES: usize = 5;
/// Time in which series begin, in ms.
const SERIES_TIME_MS: u64 = 7500;
/// Maximum pause between two changes of a series, in ms.
const MAX_PAUSE_MS: u64 = 300;

/// A change of the configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub(super) enum Change {
    /// Adds the spare key, or removes it.
    #[display("Key")]
    Key,
    /// Adds the spare account, or removes it.
    #[display("Account")]
    Account,
    /// Sets the idle timeout of callers' connections, in ms.
    #[display("Idle({_0})")]
    Idle(u64),
    /// Sets the timeout of a route, in ms.
    #[display("Timeout({_0}, {_1})")]
    Timeout(Route, u64),
    /// Moves the route `read` to the other service.
    #[display("Move")]
    Move,
}

/// State of the last configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Configured {
    /// Whether it contains the spare key.
    pub(super) spare_key: bool,
    /// Whether it contains the spare account.
    pub(super) spare_account: bool,
}

impl Change {
    /// Makes the change.
    pub(super) fn apply(self, fleet: &Fleet, configured: &mut Configured) -> Result<(), String> {
        // The store may be away, or back without the latest changes.
        let config = &get_json(fleet.duties, "/-/config")?;
        let next = match self {
            Self::Key => {
                let (next, is_present) = toggle_key(config, SPARE_KEY);
                configured.spare_key = is_present;
                next
            }
            Self::Account => {
                let (next, is_present) = toggle_account(config, SPARE_ACCOUNT, SPARE_ACCOUNT_KEY);
                configured.spare_account = is_present;
                next
            }
            Self::Idle(ms) => set_idle_timeout(config, Duration::from_millis(ms)),
            Self::Timeout(route, ms) => {
                set_route(config, &route.to_string(), "timeoutMs", &json!(ms))
            }
            Self::Move => {
                let routes = config["routes"].as_array().into_iter().flatten();
                let is_first = routes
                    .filter(|route| route["name"] == Route::Read.to_string())
                    .any(|route| route["service"] == SERVICES[0]);
                let service = SERVICES[usize::from(is_first)];
                set_route(config, &Route::Read.to_string(), "service", &json!(service))
            }
        };
        post_json(fleet.duties, "/-/config", &next).map(|_: Value| ())
    }
}

/// Returns a seed's changes with their times from the start of the run.
pub(super) fn plan(seed: u64) -> Vec<(Duration, Change)> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let mut changes = Vec::new();
    for _ in 0..rng.random_range(0..=MAX_SERIES) {
        let mut at = rng.random_range(0..SERIES_TIME_MS);
        for _ in 0..rng.random_range(1..=MAX_CHANGES) {
            changes.push((Duration::from_millis(at), draw(&mut rng)));
            at += rng.random_range(1..MAX_PAUSE_MS);
        }
    }
    changes
}

fn draw(rng: &mut StdRng) -> Change {
    match rng.random_range(0..5) {
        0 => Change::Key,
        1 => Change::Account,
        2 => Change::Idle(IDLE_TIMEOUTS[rng.random_range(0..IDLE_TIMEOUTS.len())]),
        3 => {
            let route = Route::ALL[rng.random_range(0..Route::ALL.len())];
            let timeout = ROUTE_TIMEOUTS[rng.random_range(0..ROUTE_TIMEOUTS.len())];
            Change::Timeout(route, timeout)
        }
        _ => Change::Move,
    }
}
