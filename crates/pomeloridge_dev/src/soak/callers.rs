//! Callers that keep asking all kinds of requests and note what they get.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use derive_more::Display;
use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::{Connection, OutgoingRequest, Response};
use pomeloridge_fleet_standin::caller::{self, Crash, is_ready, send_request};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::launch::block_on;

/// Longest pause of a caller between two requests, in ms.
const PAUSE_MS: u64 = 40;
/// One in so many requests meets a fault at its first server.
const FAULT_SHARE: u32 = 8;
/// One in so many requests ends the server that works on it.
const CRASH_SHARE: u32 = 20;
/// Requests that do so in a run; each comes again and again, from all callers.
const CRASHING: u64 = 2;
/// What they do; the servers are soon back, so that others can be served.
const CRASHES: [Crash; 4] = [Crash::Begin, Crash::Run, Crash::Midway, Crash::Restart];
/// Pause between two looks at readiness.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// The routes of the fake platform's configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Route {
    /// May be repeated.
    Read,
    /// Must not be repeated.
    Lodge,
    /// A stream that may go on elsewhere.
    Ask,
    /// A stream that may not.
    Note,
}

impl Route {
    const ALL: [Self; 4] = [Self::Read, Self::Lodge, Self::Ask, Self::Note];

    /// Whether its answer is a stream.
    pub(super) fn streams(self) -> bool {
        matches!(self, Self::Ask | Self::Note)
    }

    /// Runs of one request at most.
    pub(super) fn most_runs(self) -> usize {
        match self {
            Self::Read | Self::Ask => 2,
            Self::Lodge | Self::Note => 1,
        }
    }
}

/// One request and what came of it.
#[derive(Debug)]
pub struct Call {
    /// Attempt id.
    pub attempt: String,
    /// Route.
    pub route: Route,
    /// `None` if no whole answer came.
    pub answer: Option<Response>,
}

impl Call {
    /// Status; 0 if no whole answer came.
    pub(super) fn status(&self) -> u16 {
        self.answer
            .as_ref()
            .map_or(0, |answer| answer.status.as_u16())
    }
}

/// A request to a route with its own attempt id.
pub(super) fn request(route: Route, attempt: &str) -> OutgoingRequest {
    // Some prompts are long enough to be read apart.
    let long = attempt.len().is_multiple_of(2);
    let name = route.to_string();
    match route {
        Route::Read => caller::request(Method::GET, &name, attempt),
        Route::Lodge => caller::request(Method::POST, &name, attempt),
        Route::Ask | Route::Note => {
            caller::generation(&name, attempt, if long { 12_000 } else { 300 })
        }
    }
}

/// A request to any route, which may meet a fault at its first server.
fn ordinary(rng: &mut StdRng, attempt: &str) -> (Route, OutgoingRequest) {
    let route = Route::ALL[rng.random_range(0..Route::ALL.len())];
    let mut message = request(route, attempt);
    if rng.random_range(0..FAULT_SHARE) == 0 {
        let faults = ["lost", "shed", "error", "cut"];
        message = message.with_header("x-fault", faults[rng.random_range(0..faults.len())]);
    }
    (route, message)
}

/// A request that ends the server that works on it, the same for one number.
fn crashing(number: u64, attempt: &str) -> (Route, OutgoingRequest) {
    let of = |count: usize| number as usize % count;
    let route = Route::ALL[of(Route::ALL.len())];
    let crash = CRASHES[of(CRASHES.len())];
    (
        route,
        crash.apply(request(route, attempt), &number.to_string()),
    )
}

/// Starts callers on a thread of their own; they end once `done` is set.
pub(super) fn start(
    gateways: Vec<SocketAddr>,
    seed: u64,
    callers: u64,
    done: Arc<AtomicBool>,
) -> JoinHandle<Result<Vec<Call>, String>> {
    std::thread::spawn(move || {
        block_on(async move {
            let callers = (0..callers).map(|caller| {
                let (gateways, done) = (gateways.clone(), Arc::clone(&done));
                let rng = StdRng::seed_from_u64(seed * callers + caller);
                monoio::spawn(ask_on(gateways, seed, (caller, rng), done))
            });
            let mut calls = Vec::new();
            for caller in callers.collect::<Vec<_>>() {
                calls.extend(caller.await);
            }
            Ok(calls)
        })
    })
}

async fn ask_on(
    gateways: Vec<SocketAddr>,
    seed: u64,
    (caller, mut rng): (u64, StdRng),
    done: Arc<AtomicBool>,
) -> Vec<Call> {
    let mut kept: HashMap<SocketAddr, Connection> = HashMap::new();
    let mut calls = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let attempt = format!("s{seed}c{caller}n{}", calls.len());
        let (route, message) = if rng.random_range(0..CRASH_SHARE) == 0 {
            crashing(seed + rng.random_range(0..CRASHING), &attempt)
        } else {
            ordinary(&mut rng, &attempt)
        };
        let gateway = gateways[rng.random_range(0..gateways.len())];
        // Callers keep their connections for as long as they work.
        let answer = send_request(gateway, kept.remove(&gateway), &message).await;
        let answer = answer.map(|(answer, connection)| {
            if connection.reusable() {
                kept.insert(gateway, connection);
            }
            answer
        });
        calls.push(Call {
            attempt,
            route,
            answer: answer.ok(),
        });
        sleep(Duration::from_millis(rng.random_range(0..PAUSE_MS))).await;
    }
    calls
}

/// Asks once on a fresh connection.
pub(super) fn ask_once(gateway: SocketAddr, message: &OutgoingRequest) -> Result<Response, String> {
    block_on(async {
        let answer = send_request(gateway, None, message).await;
        answer.map(|(answer, _)| answer)
    })
}

/// Waits until all these say that they are ready; false if `time` passes before.
pub(super) fn until_ready(gateways: Vec<SocketAddr>, time: Duration) -> Result<bool, String> {
    block_on(async {
        let end = Instant::now() + time;
        for gateway in gateways {
            while !is_ready(gateway).await {
                if Instant::now() >= end {
                    return Ok(false);
                }
                sleep(LOOK_PAUSE).await;
            }
        }
        Ok(true)
    })
}
