//! Software versions that come and leave during a run, gateways that are all killed at once, and
//! callers that take their streams up again.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use derive_more::Display;
use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_fleet_standin::caller::generation;
use pomeloridge_fleet_standin::streams::{Counts, Stream, follow};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::launch::{Fleet, block_on, post_json};

/// Changes the seed, so that these events do not depend on the other faults.
const SEED_MASK: u64 = 0x5645_5253;
/// Servers of each version that comes.
const SERVERS: usize = 2;
/// Callers that take their streams up again.
const CALLERS: u64 = 12;
/// Tries of a stream, and the time in which they are made.
const TRIES: usize = 60;
const CALLER_TIME: Duration = Duration::from_secs(4);
/// Faults of the first try.
const FAULTS: [&str; 5] = ["", "slow-100", "slow-150", "cut", "cut,cut"];
/// Minimum number of streams that are taken up again for a share to be judged.
const MIN_TAKEN_UP: usize = 12;

/// A change of the versions, or an end of all gateways.
#[derive(Clone, Copy, Debug, Display)]
pub(super) enum VersionChange {
    /// Servers of a version come.
    #[display("Come(v{_0})")]
    Come(u64),
    /// The servers of a version leave.
    #[display("Leave(v{version} listed {listed} for {for_ms})")]
    Leave {
        version: u64,
        listed: bool,
        for_ms: u64,
    },
    /// All gateways are killed at once.
    KillAll,
    /// All gateways start again.
    StartAll,
}

impl VersionChange {
    /// Tells the fake platform; ends and starts of gateways are none of its business.
    pub(super) fn apply(self, fleet: &Fleet) -> Result<(), String> {
        for index in 0..SERVERS {
            let (path, order) = match self {
                Self::Come(version) => {
                    let order = json!({
                        "server": server(version, index), "service": "assistant",
                        "stage": "decode", "version": format!("v{version}"),
                    });
                    ("/-/start", order)
                }
                Self::Leave {
                    version,
                    listed,
                    for_ms,
                } => {
                    let server = server(version, index);
                    let order = json!({ "server": server, "listed": listed, "for_ms": for_ms });
                    ("/-/leave", order)
                }
                Self::KillAll | Self::StartAll => return Ok(()),
            };
            post_json(fleet.duties, path, &order)?;
        }
        Ok(())
    }
}

fn server(version: u64, index: usize) -> String {
    format!("assistant-v{version}-{index}")
}

/// Returns a seed's changes with their times from the start of the run. The servers of the first
/// version stay; of the others, one version at a time serves beside them. All gateways are killed
/// while two versions serve, and just after one has left.
pub(super) fn plan(seed: u64) -> Vec<(Duration, VersionChange)> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_MASK);
    let mut changes = Vec::new();
    let mut last = 2;
    let mut at = rng.random_range(300..1500);
    changes.push((at, VersionChange::Come(last)));
    if rng.random() {
        at += rng.random_range(1000..2500);
        changes.push((at, leave(&mut rng, last)));
        last += 1;
        // The next version may come before the former one has left.
        let next = at + rng.random_range(0..1000);
        changes.push((next, VersionChange::Come(last)));
    }
    let mut killed = rng.random_range(6000..6500);
    let mut kill = |killed: u64, down: u64| {
        changes.push((killed, VersionChange::KillAll));
        changes.push((killed + down, VersionChange::StartAll));
    };
    kill(killed, rng.random_range(50..600));
    let leaves = killed + rng.random_range(1500..2500);
    let leaving = leave(&mut rng, last);
    killed = leaves + rng.random_range(100..1000);
    kill(killed, rng.random_range(50..600));
    changes.push((leaves, leaving));
    changes.sort_by_key(|(at, _)| *at);
    let changes = changes.into_iter();
    changes
        .map(|(at, change)| (Duration::from_millis(at), change))
        .collect()
}

fn leave(rng: &mut StdRng, version: u64) -> VersionChange {
    VersionChange::Leave {
        version,
        listed: rng.random(),
        for_ms: rng.random_range(50..800),
    }
}

/// A stream and its time from the start of the run.
#[derive(Debug)]
pub(super) struct TakenStream {
    /// Time at which its last try ended.
    pub(super) ended: Duration,
    /// The stream.
    pub(super) stream: Stream,
}

/// Starts callers on a separate thread; they end once `done` is set.
pub(super) fn start(
    gateways: Vec<SocketAddr>,
    seed: u64,
    done: Arc<AtomicBool>,
) -> JoinHandle<Vec<TakenStream>> {
    std::thread::spawn(move || {
        let start = Instant::now();
        block_on(async move {
            let callers = (0..CALLERS).map(|caller| {
                let (gateways, done) = (gateways.clone(), Arc::clone(&done));
                let rng = StdRng::seed_from_u64((seed ^ SEED_MASK) * CALLERS + caller);
                let label = format!("v{seed}c{caller}");
                monoio::spawn(send_until_done(gateways, (label, rng), start, done))
            });
            let mut streams = Vec::new();
            for caller in callers.collect::<Vec<_>>() {
                streams.extend(caller.await);
            }
            streams
        })
    })
}

async fn send_until_done(
    gateways: Vec<SocketAddr>,
    (label, mut rng): (String, StdRng),
    start: Instant,
    done: Arc<AtomicBool>,
) -> Vec<TakenStream> {
    let mut streams = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let name = format!("{label}n{}", streams.len());
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let first = rng.random_range(0..gateways.len());
        let request = |sent: usize| -> OutgoingRequest {
            let fault = if sent == 0 { fault } else { "" };
            let mut request = generation("ask", &name, 300).with_header("x-fault", fault);
            // No two are alike.
            request.target = format!("/ask/{name}");
            request
        };
        let gateway = |sent: usize| gateways[(first + sent) % gateways.len()];
        let stream = follow(&name, request, gateway, (TRIES, CALLER_TIME)).await;
        streams.push(TakenStream {
            ended: start.elapsed(),
            stream,
        });
    }
    streams
}

/// Returns the violations of streams: text of several versions in one of them, and, if the
/// gateways were in touch, too few that went on where their version still serves.
pub(super) fn check(streams: &[TakenStream], seed: u64, in_touch: bool) -> Vec<String> {
    let violations = streams.iter().flat_map(|taken| {
        let violations = taken.stream.violations().into_iter();
        violations.map(|violation| format!("{violation}: {:?}", taken.stream.tries))
    });
    let mut violations: Vec<String> = violations.collect();
    let changes = plan(seed);
    let has_left = |taken: &&TakenStream| {
        let version = taken.stream.versions().first().copied();
        changes.iter().any(|(at, change)| match change {
            VersionChange::Leave { version: left, .. } => {
                *at <= taken.ended && version == Some(format!("v{left}").as_str())
            }
            _ => false,
        })
    };
    let judged = streams.iter().filter(|taken| !has_left(taken));
    let counts = Counts::of(judged.map(|taken| &taken.stream));
    if in_touch && counts.taken_up >= MIN_TAKEN_UP && counts.has_lost() {
        violations.push(format!("too few streams went on: {counts:?}"));
    }
    violations
}
