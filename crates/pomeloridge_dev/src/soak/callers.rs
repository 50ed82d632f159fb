//! Callers that send requests of all kinds continuously and record the answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use derive_more::Display;
use http::Method;
use monoio::time::sleep;
use pomeloridge_base::http::{Connection, Fault, OutgoingRequest, Response};
use pomeloridge_fleet_standin::caller::{
    self, Crash, Exchange, exchange, is_ready, send_request, with_deadly_part,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::events::Clock;
use crate::launch::block_on;

/// Upper bound of a caller's pause between two requests, in ms.
const MAX_PAUSE_MS: u64 = 40;
/// One in this many requests meets a fault at its first server.
const FAULT_INTERVAL: u32 = 8;
/// One in this many requests crashes the server that works on it.
const CRASH_INTERVAL: u32 = 20;
/// Number of distinct crashing requests in a run; all callers send each repeatedly.
const CRASHING_REQUESTS: u64 = 2;
/// Crashes that they cause; the servers restart soon enough to serve other requests.
const CRASHES: [Crash; 4] = [Crash::Begin, Crash::Run, Crash::Midway, Crash::Restart];
/// Changes the seed, so that the choice of a deadly part does not depend on the faults.
const SEED_MASK: u64 = 0x4445_4144;
/// One in this many requests of a run with a deadly part contains it.
const DEADLY_INTERVAL: u32 = 12;
/// Interval between readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The routes of the fake platform's configuration.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display(rename_all = "lowercase")]
pub enum Route {
    /// A call that may be retried.
    Read,
    /// A call that must not be retried.
    Lodge,
    /// A stream that may be resumed on another server.
    Ask,
    /// A stream that must not be resumed.
    Note,
}

impl Route {
    pub(super) const ALL: [Self; 4] = [Self::Read, Self::Lodge, Self::Ask, Self::Note];

    /// Returns whether the answer is a stream.
    pub(super) fn is_stream(self) -> bool {
        matches!(self, Self::Ask | Self::Note)
    }

    /// Returns the maximum number of runs of one request.
    pub(super) fn max_runs(self) -> usize {
        match self {
            Self::Read | Self::Ask => 2,
            Self::Lodge | Self::Note => 1,
        }
    }
}

/// What a request does to the servers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It is answered; no other request is like it.
    #[default]
    Sound,
    /// It is answered; others share its path and body.
    Repeated,
    /// It meets a fault at its first server.
    Faulty,
    /// It crashes the server that works on it.
    Crashing,
    /// One part of its prompt crashes the server that begins to answer.
    Deadly,
}

/// Why a request got no complete answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be opened.
    Unreachable,
    /// The caller gave up.
    GaveUp,
    /// The connection ended.
    Closed,
}

/// A request and its answer. Times count from the fake's start.
#[derive(Debug)]
pub struct Call {
    /// Attempt id, unique in a run.
    pub attempt: String,
    /// Route of the request.
    pub route: Route,
    /// What it does to the servers.
    pub effect: Effect,
    /// Gateway that it was sent to.
    pub gateway: usize,
    /// Whether it went on a connection that had served another one.
    pub kept: bool,
    /// Time at which it was sent.
    pub sent: Duration,
    /// Time at which its answer was complete or given up.
    pub ended: Duration,
    /// Complete answer.
    pub answer: Result<Response, Failure>,
}

impl Call {
    /// Returns the time from its sending to its end.
    pub(super) fn duration(&self) -> Duration {
        self.ended.saturating_sub(self.sent)
    }

    /// Returns the HTTP status; 0 if no complete answer arrived.
    pub(super) fn status(&self) -> u16 {
        self.answer
            .as_ref()
            .map_or(0, |answer| answer.status.as_u16())
    }
}

/// A prompt part of a run that crashes servers.
#[derive(Clone, Copy, Debug)]
pub(super) struct DeadlyPart {
    /// Route of the requests that contain it.
    pub(super) route: Route,
    /// Number of the part.
    pub(super) number: u64,
}

/// Returns the deadly part of a seed; about half of the seeds have one.
pub(super) fn deadly_part(seed: u64) -> Option<DeadlyPart> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let route = [Route::Ask, Route::Note][rng.random_range(0..2)];
    rng.random::<bool>().then_some(DeadlyPart {
        route,
        number: seed,
    })
}

/// Returns a request to a route with an attempt id.
pub(super) fn request(route: Route, attempt: &str) -> OutgoingRequest {
    // Some prompts are long enough for a separate prefill.
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

/// Draws a request to any route, with or without a fault at its first server.
fn ordinary_request(rng: &mut StdRng, attempt: &str) -> (Route, Effect, OutgoingRequest) {
    let route = Route::ALL[rng.random_range(0..Route::ALL.len())];
    let mut message = request(route, attempt);
    // Requests with the same path and body count as the same one, sent again.
    let is_repeated: bool = rng.random();
    if !is_repeated {
        message.target = format!("/{route}/{attempt}");
    }
    if rng.random_range(0..FAULT_INTERVAL) == 0 {
        let faults = ["lost", "shed", "error", "cut"];
        let fault = faults[rng.random_range(0..faults.len())];
        return (route, Effect::Faulty, message.with_header("x-fault", fault));
    }
    let effect = if is_repeated {
        Effect::Repeated
    } else {
        Effect::Sound
    };
    (route, effect, message)
}

/// Returns a request that crashes the server that works on it, determined by `number`.
fn crashing_request(number: u64, attempt: &str) -> (Route, Effect, OutgoingRequest) {
    let index = |count: usize| number as usize % count;
    let route = Route::ALL[index(Route::ALL.len())];
    let crash = CRASHES[index(CRASHES.len())];
    let message = crash.apply(request(route, attempt), &number.to_string());
    (route, Effect::Crashing, message)
}

/// Draws a request of any kind.
fn draw(rng: &mut StdRng, seed: u64, attempt: &str) -> (Route, Effect, OutgoingRequest) {
    if rng.random_range(0..CRASH_INTERVAL) == 0 {
        return crashing_request(seed + rng.random_range(0..CRASHING_REQUESTS), attempt);
    }
    if let Some(DeadlyPart { route, number }) = deadly_part(seed)
        && rng.random_range(0..DEADLY_INTERVAL) == 0
    {
        let mut message = with_deadly_part(request(route, attempt), number);
        // No two are alike.
        message.target = format!("/{route}/{attempt}");
        return (route, Effect::Deadly, message);
    }
    ordinary_request(rng, attempt)
}

/// Starts callers on a separate thread; they end once `done` is set.
pub(super) fn start(
    gateways: Vec<SocketAddr>,
    seed: u64,
    callers: u64,
    clock: Clock,
    done: Arc<AtomicBool>,
) -> JoinHandle<Result<Vec<Call>, String>> {
    std::thread::spawn(move || {
        block_on(async move {
            let callers = (0..callers).map(|caller| {
                let (gateways, done) = (gateways.clone(), Arc::clone(&done));
                let rng = StdRng::seed_from_u64(seed * callers + caller);
                monoio::spawn(send_until_done(gateways, seed, (caller, rng), clock, done))
            });
            let mut calls = Vec::new();
            for caller in callers.collect::<Vec<_>>() {
                calls.extend(caller.await);
            }
            Ok(calls)
        })
    })
}

/// Draws a gateway; one of them gets half of the requests.
fn draw_gateway(rng: &mut StdRng, seed: u64, gateways: usize) -> usize {
    if rng.random() {
        return seed as usize % gateways;
    }
    rng.random_range(0..gateways)
}

async fn send_until_done(
    gateways: Vec<SocketAddr>,
    seed: u64,
    (caller, mut rng): (u64, StdRng),
    clock: Clock,
    done: Arc<AtomicBool>,
) -> Vec<Call> {
    let mut connections: HashMap<usize, Connection> = HashMap::new();
    let mut calls = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let attempt = format!("s{seed}c{caller}n{}", calls.len());
        let (route, effect, message) = draw(&mut rng, seed, &attempt);
        let gateway = draw_gateway(&mut rng, seed, gateways.len());
        let sent = clock.now();
        // Callers reuse their connections while these work.
        let connection = connections.remove(&gateway);
        let Exchange { kept, outcome } = exchange(gateways[gateway], connection, &message).await;
        let answer = outcome.map(|(answer, connection)| {
            if connection.reusable() {
                connections.insert(gateway, connection);
            }
            answer
        });
        calls.push(Call {
            attempt,
            route,
            effect,
            gateway,
            kept,
            sent,
            ended: clock.now(),
            answer: answer.map_err(|fault| classify(&fault)),
        });
        sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS))).await;
    }
    calls
}

pub(super) fn classify(fault: &Fault) -> Failure {
    match fault {
        Fault::Connect(_) => Failure::Unreachable,
        Fault::Timeout => Failure::GaveUp,
        _ => Failure::Closed,
    }
}

/// Sends a request on a new connection.
pub(super) fn send_once(
    gateway: SocketAddr,
    message: &OutgoingRequest,
) -> Result<Response, String> {
    block_on(async {
        let answer = send_request(gateway, None, message).await;
        answer.map(|(answer, _)| answer)
    })
}

/// Waits until all gateways are ready; returns false if `timeout` passes first.
pub(super) fn wait_until_ready(
    gateways: Vec<SocketAddr>,
    timeout: Duration,
) -> Result<bool, String> {
    block_on(async {
        let end = Instant::now() + timeout;
        for gateway in gateways {
            while !is_ready(gateway).await {
                if Instant::now() >= end {
                    return Ok(false);
                }
                sleep(POLL_INTERVAL).await;
            }
        }
        Ok(true)
    })
}
