//! The open-loop load generator: requests are sent when they arrive, however
//! many answers are outstanding.

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

/// Time in which the threads start, before the first request can be due.
const START_TIME: Duration = Duration::from_millis(50);

/// Where the requests go.
#[derive(Clone, Debug)]
pub struct Endpoints {
    /// Where each node takes callers.
    pub callers: Vec<SocketAddr>,
    /// Key of each client account, by name.
    pub keys: Vec<(String, String)>,
    /// Threads of the load generator; one suffices for a few hundred requests
    /// and some ten thousand tokens a second.
    pub threads: usize,
}

impl Endpoints {
    /// The key of an account; empty if it has none.
    pub(crate) fn key(&self, account: &str) -> &str {
        let found = self.keys.iter().find(|(name, _)| name == account);
        found.map_or("", |(_, key)| key)
    }
}

/// Offers a plan's requests and waits for the last answer.
///
/// `reclaim` is called on this thread at the moment that the plan names for the
/// loss of a data centre; the requests run on threads of their own meanwhile.
///
/// # Errors
///
/// An account without a key, no caller address, or a thread that can't start.
pub fn run(
    endpoints: &Endpoints,
    plan: &Plan,
    reclaim: impl FnOnce(&Reclaim),
) -> io::Result<Outcome> {
    check(endpoints, plan)?;
    let clock = SystemClock;
    let list = arrivals(plan);
    let origin = clock.now() + START_TIME;
    let threads = endpoints.threads.max(1);
    let parts: Vec<Vec<Arrival>> = (0..threads)
        .map(|part| list.iter().skip(part).step_by(threads).copied().collect())
        .collect();
    let outcomes: Vec<io::Result<Outcome>> = std::thread::scope(|scope| {
        let start = |part: Vec<Arrival>| {
            scope.spawn(move || offer_on_thread(endpoints, plan, &part, origin))
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

fn check(endpoints: &Endpoints, plan: &Plan) -> io::Result<()> {
    if endpoints.callers.is_empty() {
        return Err(io::Error::other("no caller address is given"));
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

fn offer_on_thread(
    endpoints: &Endpoints,
    plan: &Plan,
    list: &[Arrival],
    origin: Instant,
) -> io::Result<Outcome> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()?;
    // Tasks outlive this call's borrows, so each thread has a copy of its own.
    let sender = Rc::new(Sender {
        plan: plan.clone(),
        endpoints: endpoints.clone(),
        clock: Rc::new(SystemClock),
        origin,
        balancer: RefCell::new(Balancer::new(&endpoints.callers)),
    });
    Ok(runtime.block_on(offer(&sender, list)))
}

/// Sends each request when it is due, and waits for the last answer.
async fn offer(sender: &Rc<Sender>, list: &[Arrival]) -> Outcome {
    let mut outcome = Outcome::default();
    let mut tasks = Vec::with_capacity(list.len());
    for arrival in list {
        let early = arrival.at.saturating_sub(sender.now());
        if !early.is_zero() {
            monoio::time::sleep(early).await;
        }
        outcome.lag = outcome.lag.max(sender.now().saturating_sub(arrival.at));
        let (sender, arrival) = (Rc::clone(sender), *arrival);
        tasks.push(monoio::spawn(async move { sender.serve(&arrival).await }));
    }
    for task in tasks {
        outcome.records.push(task.await);
    }
    outcome
}
