//! The waiting requests of one pool, in one queue per client account, and the
//! estimate of their wait.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use slotmap::SlotMap;

use crate::capacity::Capacity;
use crate::load::update_average;
use crate::slot_share::SlotShare;
use crate::ticket::{Ticket, TicketKey};
use crate::token_counter::TokenCounters;

/// Initial value of the mean duration of a request, in seconds.
const DEFAULT_DURATION_SECONDS: f64 = 1.0;
/// Initial value of the mean charge of a request, in tokens before weighting.
const DEFAULT_CHARGE_TOKENS: f64 = 1000.0;
/// Fraction of the mean duration that every request is assumed to take.
const MIN_RUN_FRACTION: f64 = 0.5;
/// A request that is already waiting is refused only if its estimated wait exceeds
/// this multiple of its slack, so that a fluctuating estimate does not refuse requests that
/// would start in time.
const WAIT_TOLERANCE: f64 = 2.0;

/// Capacity, counters and queues of one pool.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) capacity: Capacity,
    pub(crate) nodes: u32,
    pub(crate) share: SlotShare,
    pub(crate) running: u32,
    pub(crate) counters: TokenCounters,
    queues: BTreeMap<Name, AccountQueue>,
    waiting: usize,
    /// Mean duration of a request, in seconds.
    mean_duration: f64,
    /// Mean charge of a request, in tokens before weighting.
    mean_charge: f64,
}

/// The waiting requests of one account.
#[derive(Debug)]
struct AccountQueue {
    entries: VecDeque<Entry>,
    /// Virtual tokens per charged token.
    inverse_weight: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: TicketKey,
    arrival: u64,
}

/// Another account with waiting requests, as used to estimate a wait.
#[derive(Clone, Copy, Debug)]
struct CompetingAccount {
    counter: f64,
    /// Mean charge of one of its requests, in virtual tokens.
    request_charge: f64,
    waiting: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            capacity: Capacity::default(),
            nodes: 1,
            share: SlotShare::default(),
            running: 0,
            counters: TokenCounters::default(),
            queues: BTreeMap::new(),
            waiting: 0,
            mean_duration: DEFAULT_DURATION_SECONDS,
            mean_charge: DEFAULT_CHARGE_TOKENS,
        }
    }
}

impl Pool {
    /// Returns the maximum number of requests in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.share.limit(self.capacity, self.nodes)
    }

    /// Returns the number of waiting requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Returns the number of waiting requests of one account.
    pub(crate) fn account_waiting(&self, account: &Name) -> usize {
        self.queues
            .get(account)
            .map_or(0, |queue| queue.entries.len())
    }

    pub(crate) fn push_back(
        &mut self,
        account: &Name,
        key: TicketKey,
        arrival: u64,
        inverse_weight: f64,
    ) {
        self.queue(account, inverse_weight)
            .entries
            .push_back(Entry { key, arrival });
        self.waiting += 1;
    }

    pub(crate) fn push_front(
        &mut self,
        account: &Name,
        key: TicketKey,
        arrival: u64,
        inverse_weight: f64,
    ) {
        self.queue(account, inverse_weight)
            .entries
            .push_front(Entry { key, arrival });
        self.waiting += 1;
    }

    fn queue(&mut self, account: &Name, inverse_weight: f64) -> &mut AccountQueue {
        let queue = self
            .queues
            .entry(account.clone())
            .or_insert_with(|| AccountQueue {
                entries: VecDeque::new(),
                inverse_weight,
            });
        queue.inverse_weight = inverse_weight;
        queue
    }

    /// Removes and returns the next request to start, unless the limit is reached.
    ///
    /// This is the first request that satisfies `is_eligible` of the account with
    /// the lowest counter. Of equal counters, the request that arrived first wins.
    pub(crate) fn pop(&mut self, is_eligible: impl Fn(TicketKey) -> bool) -> Option<TicketKey> {
        if self.running >= self.limit() {
            return None;
        }
        let heads = self.queues.iter().filter_map(|(account, queue)| {
            let entry = queue.entries.iter().find(|entry| is_eligible(entry.key))?;
            Some((account, self.counters.value(account), *entry))
        });
        let next = heads.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.arrival.cmp(&b.2.arrival)));
        let (account, _, entry) = next?;
        let account = account.clone();
        self.remove(&account, entry.key);
        Some(entry.key)
    }

    /// Removes a request from its queue.
    pub(crate) fn remove(&mut self, account: &Name, key: TicketKey) {
        let Some(queue) = self.queues.get_mut(account) else {
            return;
        };
        let before = queue.entries.len();
        queue.entries.retain(|entry| entry.key != key);
        self.waiting -= before - queue.entries.len();
        if queue.entries.is_empty() {
            self.queues.remove(account);
        }
    }

    /// Updates the mean duration and charge with those of an answered request.
    pub(crate) fn record_finished(&mut self, duration: Duration, charge: f64) {
        update_average(&mut self.mean_duration, duration.as_secs_f64());
        update_average(&mut self.mean_charge, charge);
        self.mean_charge = self.mean_charge.max(1.0);
    }

    /// Estimates the time until all waiting requests have started.
    pub(crate) fn drain_time(&self) -> Duration {
        self.time_to_start(self.waiting)
    }

    /// Estimates how much too late a request would start; `None` if it is in time.
    pub(crate) fn lateness(
        &self,
        account: &Name,
        position: usize,
        inverse_weight: f64,
        deadline: Instant,
        now: Instant,
    ) -> Option<Duration> {
        let counter = self.counters.value(account);
        let competitors = self.competitors(account);
        let wait = self.estimate_wait(&competitors, position, counter, inverse_weight);
        let lateness = wait.saturating_sub(self.slack(deadline, now));
        (!lateness.is_zero()).then_some(lateness)
    }

    /// Removes and returns the requests that can't start in time, with their lateness.
    pub(crate) fn remove_late(
        &mut self,
        tickets: &SlotMap<TicketKey, Ticket>,
        now: Instant,
    ) -> Vec<(TicketKey, Duration)> {
        let mut late = Vec::new();
        for (account, queue) in &self.queues {
            let counter = self.counters.value(account);
            let competitors = self.competitors(account);
            for (position, entry) in queue.entries.iter().enumerate() {
                let Some(ticket) = tickets.get(entry.key) else {
                    continue;
                };
                let slack = self.slack(ticket.deadline, now);
                let wait =
                    self.estimate_wait(&competitors, position, counter, queue.inverse_weight);
                if slack.is_zero() || wait > slack.mul_f64(WAIT_TOLERANCE) {
                    late.push((account.clone(), entry.key, wait.saturating_sub(slack)));
                }
            }
        }
        for (account, key, _) in &late {
            self.remove(account, *key);
        }
        late.into_iter()
            .map(|(_, key, lateness)| (key, lateness))
            .collect()
    }

    /// Returns the time left until a request must have started.
    fn slack(&self, deadline: Instant, now: Instant) -> Duration {
        let min_run = Duration::from_secs_f64(self.mean_duration * MIN_RUN_FRACTION);
        deadline
            .saturating_duration_since(now)
            .saturating_sub(min_run)
    }

    /// Returns the other accounts that have waiting requests.
    fn competitors(&self, account: &Name) -> Vec<CompetingAccount> {
        let others = self.queues.iter().filter(|(name, _)| *name != account);
        let competitors = others.map(|(name, queue)| CompetingAccount {
            counter: self.counters.value(name),
            request_charge: self.mean_charge * queue.inverse_weight,
            waiting: queue.entries.len(),
        });
        competitors.collect()
    }

    /// Estimates the wait at a position in an account's queue; position 0 is the head.
    ///
    /// A competing account is served first until its counter reaches the one that
    /// this account will have once the request has started.
    fn estimate_wait(
        &self,
        competitors: &[CompetingAccount],
        position: usize,
        counter: f64,
        inverse_weight: f64,
    ) -> Duration {
        let counter_after = counter + (position + 1) as f64 * self.mean_charge * inverse_weight;
        let requests_ahead = |competitor: &CompetingAccount| {
            let requests = ((counter_after - competitor.counter) / competitor.request_charge)
                .ceil()
                .max(0.0);
            (requests as usize).min(competitor.waiting)
        };
        let ahead: usize = competitors.iter().map(requests_ahead).sum();
        self.time_to_start(ahead + position + 1)
    }

    /// Estimates the time until this many waiting requests have started.
    fn time_to_start(&self, requests: usize) -> Duration {
        let limit = self.limit();
        // After a loss of capacity, more requests may be running than the limit allows.
        let must_end = (requests + self.running as usize).saturating_sub(limit as usize) as f64;
        Duration::from_secs_f64(must_end * self.mean_duration / f64::from(limit.max(1)))
    }
}
