//! An account with an allotment, whose callers ask for more than it beside the faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_fleet_standin::caller::{Exchange, exchange, request, with_key};
use pomeloridge_fleet_standin::history::{Entry, most_in_window, runs_of};
use pomeloridge_fleet_standin::operator::{set_allotment, toggle_account};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use super::callers::{Call, Effect, Route, classify, send_once};
use super::events::Clock;
use crate::launch::{Fleet, block_on, get_json, post_json};

/// Account with the allotment.
pub(super) const ACCOUNT: &str = "carla";
/// Key of that account. Attempts of its requests end with it.
pub(super) const KEY: &str = "key-of-carla";
/// Window and factor of the users' rule on allotments.
const WINDOW: Duration = Duration::from_secs(8);
const FACTOR: f64 = 1.1;
/// Changes the seed, so that allotments do not depend on the other faults.
const SEED_MASK: u64 = 0x414c_4c4f_5453;
/// Requests a second and at once.
const RATES: std::ops::Range<u32> = 10..40;
const BURSTS: std::ops::Range<u32> = 10..40;
/// Pause between two requests at a gateway, answered or not.
const PAUSE: Duration = Duration::from_millis(40);
/// Timeout for every gateway to serve the account after the faults.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
const RECOVERY_PAUSE: Duration = Duration::from_millis(100);

/// The requests that the fleet may run for the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allotment {
    /// Requests a second.
    pub rate: u32,
    /// Requests at once.
    pub burst: u32,
}

impl Allotment {
    /// Returns a seed's allotment.
    pub(super) fn draw(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
        Self {
            rate: rng.random_range(RATES),
            burst: rng.random_range(BURSTS),
        }
    }

    /// Returns the runs that the users' rule allows in a window.
    fn allowed(self) -> usize {
        let per_window = f64::from(self.rate) * WINDOW.as_secs_f64();
        ((per_window + f64::from(self.burst)) * FACTOR) as usize
    }
}

/// Adds the account to the configuration, and waits until gateways that were new grant its
/// requests.
pub(super) fn configure(fleet: &Fleet, allotment: Allotment) -> Result<(), String> {
    let config = get_json(fleet.duties, "/-/config")?;
    let (config, _) = toggle_account(&config, ACCOUNT, KEY);
    let (rate, burst) = (f64::from(allotment.rate), f64::from(allotment.burst));
    let config = set_allotment(&config, ACCOUNT, rate, burst);
    post_json(fleet.duties, "/-/config", &config).map(|_: Value| ())?;
    std::thread::sleep(WINDOW);
    Ok(())
}

fn limited_request(attempt: &str) -> OutgoingRequest {
    let mut message = with_key(request(Method::GET, "read", attempt), KEY);
    // No two are alike.
    message.target = format!("/read/{attempt}");
    message
}

/// Starts the account's callers on a separate thread, one for each gateway; they end once `done`
/// is set.
pub(super) fn start(
    gateways: Vec<SocketAddr>,
    seed: u64,
    clock: Clock,
    done: Arc<AtomicBool>,
) -> JoinHandle<Vec<Call>> {
    std::thread::spawn(move || {
        block_on(async move {
            let mut sent = Vec::new();
            for number in 0.. {
                if done.load(Ordering::Relaxed) {
                    break;
                }
                for (index, gateway) in gateways.iter().copied().enumerate() {
                    let attempt = format!("a{seed}g{index}n{number}-{KEY}");
                    sent.push(monoio::spawn(send((index, gateway), attempt, clock)));
                }
                sleep(PAUSE).await;
            }
            let mut calls = Vec::new();
            for call in sent {
                calls.push(call.await);
            }
            calls
        })
    })
}

async fn send((gateway, address): (usize, SocketAddr), attempt: String, clock: Clock) -> Call {
    let message = limited_request(&attempt);
    let sent = clock.now();
    let Exchange { kept, outcome } = exchange(address, None, &message).await;
    Call {
        attempt,
        route: Route::Read,
        effect: Effect::Sound,
        gateway,
        kept,
        sent,
        ended: clock.now(),
        answer: outcome
            .map(|(answer, _)| answer)
            .map_err(|fault| classify(&fault)),
    }
}

/// Returns the violation if servers ran more requests of the account in a window than the users'
/// rule allows.
pub fn check(history: &[Value], allotment: Allotment) -> Vec<String> {
    let entries: Vec<Entry> = history.iter().filter_map(Entry::decode).collect();
    let most = most_in_window(&runs_of(&entries, ACCOUNT), WINDOW);
    let allowed = allotment.allowed();
    let violation = (most > allowed).then(|| {
        format!("servers ran {most} requests of `{ACCOUNT}` in {WINDOW:?}, {allowed} are allowed")
    });
    violation.into_iter().collect()
}

/// Waits until every gateway serves the account after the faults. Returns the violations.
pub(super) fn wait_until_served(fleet: &Fleet) -> Vec<String> {
    let end = Instant::now() + RECOVERY_TIMEOUT;
    let mut violations = Vec::new();
    for (index, gateway) in fleet.gateways.iter().enumerate() {
        let mut number = 0;
        let mut is_served = || {
            number += 1;
            let message = limited_request(&format!("served-{index}-{number}-{KEY}"));
            send_once(gateway.caller, &message).is_ok_and(|answer| answer.status == 200)
        };
        while !is_served() {
            if Instant::now() >= end {
                violations.push(format!(
                    "gateway {index} does not serve `{ACCOUNT}` {RECOVERY_TIMEOUT:?} after the faults"
                ));
                break;
            }
            std::thread::sleep(RECOVERY_PAUSE);
        }
    }
    violations
}
