//! Open-loop load generator: sends each request at its arrival time, regardless
//! of how many answers are outstanding.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::ScopedJoinHandle;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::{Clock, SystemClock};

use crate::arrivals::{Arrival, arrivals};
use crate::balancer::Balancer;
use crate::exchange::Sender;
use crate::plan::{Plan, Reclaim};
use crate::record::Outcome;

/// Delay before the run begins, in which the threads start.
const START_DELAY: Duration = Duration::from_millis(50);

/// Nodes and credentials for a run.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Caller address of each node.
    pub callers: Vec<SocketAddr>,
    /// Pairs of a client account's name and its key.
    pub keys: Vec<(String, String)>,
    /// Threads of the load generator; one suffices for a few hundred requests
    /// and about ten thousand tokens per second.
    pub threads: usize,
}

impl Endpoints {
    /// Returns the key of an account; empty if it has none.
    pub(crate) fn key(&self, account: &str) -> &str {
        let found = self.keys.iter().find(|(name, _)| name == account);
        found.map_or("", |(_, key)| key)
    }
}

/// Sends a plan's requests and waits for the last answer.
///
/// Calls `reclaim` on this thread when the plan's loss of a data centre is due;
/// the requests run on other threads.
///
/// # Errors
///
/// Fails if an account has no key, there is no caller address, or a thread can't
/// start.
pub fn run(
    endpoints: &Endpoints,
    plan: &Plan,
    reclaim: impl FnOnce(&Reclaim),
) -> io::Result<Outcome> {
    validate(endpoints, plan)?;
    let clock = SystemClock;
    let list = arrivals(plan);
    let origin = clock.now() + START_DELAY;
    let threads = endpoints.threads.max(1);
    let parts: Vec<Vec<Arrival>> = (0..threads)
        .map(|part| list.iter().skip(part).step_by(threads).copied().collect())
        .collect();
    let outcomes: Vec<io::Result<Outcome>> = std::thread::scope(|scope| {
        let start = |part: Vec<Arrival>| {
            scope.spawn(move || send_on_thread(endpoints, plan, &part, origin))
        };
        let started: Vec<_> = parts.into_iter().map(start).collect();
        if let Some(lost) = &plan.reclaim {
            let due = origin + Duration::from_secs_f64(lost.at_s);
            std::thread::sleep(due.saturating_duration_since(clock.now()));
            reclaim(lost);
        }
        let joined = started.into_iter().map(ScopedJoinHandle::join);
        let panicked = |_| Err(io::Error::other("a thread of the load generator panicked"));
        joined.map(|ended| ended.unwrap_or_else(panicked)).collect()
    });
    merge(outcomes)
}

fn validate(endpoints: &Endpoints, plan: &Plan) -> io::Result<()> {
    if endpoints.callers.is_empty() {
        return Err(io::Error::other("no caller address"));
    }
    let mut accounts = plan.accounts.iter();
    match accounts.find(|account| endpoints.key(&account.name).is_empty()) {
        Some(account) => Err(io::Error::other(format!("{} has no key", account.name))),
        None => Ok(()),
    }
}

fn merge(outcomes: Vec<io::Result<Outcome>>) -> io::Result<Outcome> {
    let mut merged = Outcome::default();
    for outcome in outcomes {
        let outcome = outcome?;
        merged.records.extend(outcome.records);
        merged.lag = merged.lag.max(outcome.lag);
    }
    merged.records.sort_by_key(|record| record.serial);
    Ok(merged)
}

fn send_on_thread(
    endpoints: &Endpoints,
    plan: &Plan,
    list: &[Arrival],
    origin: Instant,
) -> io::Result<Outcome> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    // Tasks must be `'static`, so each thread has its own copy.
    let sender = Rc::new(Sender {
        plan: plan.clone(),
        endpoints: endpoints.clone(),
        clock: Rc::new(SystemClock),
        origin,
        balancer: RefCell::new(Balancer::new(&endpoints.callers)),
    });
    Ok(runtime.block_on(send_all(&sender, list)))
}

/// Sends each request at its arrival time and waits for the last answer.
async fn send_all(sender: &Rc<Sender>, list: &[Arrival]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut tasks = Vec::with_capacity(list.len());
    for arrival in list {
        let wait = arrival.at.saturating_sub(sender.elapsed());
        if !wait.is_zero() {
            monoio::time::sleep(wait).await;
        }
        outcome.lag = outcome.lag.max(sender.elapsed().saturating_sub(arrival.at));
        let (sender, arrival) = (Rc::clone(sender), *arrival);
        tasks.push(monoio::spawn(async move { sender.send(&arrival).await }));
    }
    for task in tasks {
        outcome.records.push(task.await);
    }
    outcome
}
