//! The requests of one pool that wait, in a queue for each client account, and
//! the estimate of how long a position in a queue will wait.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use slotmap::SlotMap;

use crate::capacity::Capacity;
use crate::counter::Counters;
use crate::load::update_average;
use crate::share::Share;
use crate::ticket::{Ticket, TicketKey};

/// Duration of a request that is expected before one ended, in seconds.
const DEFAULT_SERVICE: f64 = 1.0;
/// Charge of a request that is expected before one ended, in tokens.
const DEFAULT_COST: f64 = 1000.0;
/// Part of the mean duration that a request takes at least.
const LEAST_RUN: f64 = 0.5;
/// Factor of the estimated wait that a waiting request is allowed to be short
/// of, so that an estimate that swings refuses nothing that would be in time.
const DOUBT: f64 = 2.0;

/// One pool: its capacity, what runs, and what waits.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) capacity: Capacity,
    pub(crate) nodes: u32,
    pub(crate) share: Share,
    pub(crate) running: u32,
    pub(crate) counters: Counters,
    queues: BTreeMap<Name, AccountQueue>,
    waiting: usize,
    /// Mean duration of a request, in seconds.
    service: f64,
    /// Mean charge of a request, in tokens without weight.
    cost: f64,
}

/// The waiting requests of one account.
#[derive(Debug)]
struct AccountQueue {
    entries: VecDeque<Entry>,
    /// Virtual tokens for one token of charge.
    scale: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: TicketKey,
    number: u64,
}

/// An account that competes for the next turn.
#[derive(Clone, Copy, Debug)]
struct Rival {
    value: f64,
    /// Virtual tokens of one of its requests.
    cost: f64,
    waiting: usize,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            capacity: Capacity::default(),
            nodes: 1,
            share: Share::default(),
            running: 0,
            counters: Counters::default(),
            queues: BTreeMap::new(),
            waiting: 0,
            service: DEFAULT_SERVICE,
            cost: DEFAULT_COST,
        }
    }
}

impl Pool {
    /// Requests that may be in flight.
    pub(crate) fn limit(&self) -> u32 {
        self.share.limit(self.capacity, self.nodes)
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting
    }

    /// Requests of one account that wait.
    pub(crate) fn account_waiting(&self, account: &Name) -> usize {
        self.queues
            .get(account)
            .map_or(0, |queue| queue.entries.len())
    }

    pub(crate) fn push(&mut self, account: &Name, key: TicketKey, number: u64, scale: f64) {
        self.queue(account, scale)
            .entries
            .push_back(Entry { key, number });
        self.waiting += 1;
    }

    pub(crate) fn push_front(&mut self, account: &Name, key: TicketKey, number: u64, scale: f64) {
        self.queue(account, scale)
            .entries
            .push_front(Entry { key, number });
        self.waiting += 1;
    }

    fn queue(&mut self, account: &Name, scale: f64) -> &mut AccountQueue {
        let queue = self
            .queues
            .entry(account.clone())
            .or_insert_with(|| AccountQueue {
                entries: VecDeque::new(),
                scale,
            });
        queue.scale = scale;
        queue
    }

    /// Takes the request that goes next, if there is room for one.
    ///
    /// That is the first live one of the account with the least counter; of
    /// equal accounts, the one that has waited longest.
    pub(crate) fn pop(&mut self, live: impl Fn(TicketKey) -> bool) -> Option<TicketKey> {
        if self.running >= self.limit() {
            return None;
        }
        let heads = self.queues.iter().filter_map(|(account, queue)| {
            let entry = queue.entries.iter().find(|entry| live(entry.key))?;
            Some((account, self.counters.value(account), *entry))
        });
        let least = heads.min_by(|a, b| a.1.total_cmp(&b.1).then(a.2.number.cmp(&b.2.number)));
        let (account, _, entry) = least?;
        let account = account.clone();
        self.take(&account, entry.key);
        Some(entry.key)
    }

    /// Takes a request out of its queue.
    pub(crate) fn take(&mut self, account: &Name, key: TicketKey) {
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

    /// Learns from a request that ended.
    pub(crate) fn learn(&mut self, taken: Duration, cost: f64) {
        update_average(&mut self.service, taken.as_secs_f64());
        update_average(&mut self.cost, cost);
        self.cost = self.cost.max(1.0);
    }

    /// Time until everything that waits now has started.
    pub(crate) fn drain_time(&self) -> Duration {
        self.time_for(self.waiting)
    }

    /// How much too late a request would start; `None` if it is in time.
    pub(crate) fn lateness(
        &self,
        account: &Name,
        position: usize,
        scale: f64,
        deadline: Instant,
        now: Instant,
    ) -> Option<Duration> {
        let value = self.counters.value(account);
        let wait = self.wait(&self.rivals(account), position, value, scale);
        let late = wait.saturating_sub(self.slack(deadline, now));
        (!late.is_zero()).then_some(late)
    }

    /// Takes out the requests that can't start in time.
    pub(crate) fn take_late(
        &mut self,
        tickets: &SlotMap<TicketKey, Ticket>,
        now: Instant,
    ) -> Vec<(TicketKey, Duration)> {
        let mut late = Vec::new();
        for (account, queue) in &self.queues {
            let value = self.counters.value(account);
            let rivals = self.rivals(account);
            for (position, waiting) in queue.entries.iter().enumerate() {
                let Some(ticket) = tickets.get(waiting.key) else {
                    continue;
                };
                let slack = self.slack(ticket.deadline, now);
                let wait = self.wait(&rivals, position, value, queue.scale);
                if slack.is_zero() || wait > slack.mul_f64(DOUBT) {
                    late.push((account.clone(), waiting.key, wait.saturating_sub(slack)));
                }
            }
        }
        for (account, key, _) in &late {
            self.take(account, *key);
        }
        late.into_iter().map(|(_, key, wait)| (key, wait)).collect()
    }

    /// Time left until a request must have started.
    fn slack(&self, deadline: Instant, now: Instant) -> Duration {
        let run = Duration::from_secs_f64(self.service * LEAST_RUN);
        deadline.saturating_duration_since(now).saturating_sub(run)
    }

    /// The accounts that compete with one for the next turn.
    fn rivals(&self, account: &Name) -> Vec<Rival> {
        let others = self.queues.iter().filter(|(name, _)| *name != account);
        let rivals = others.map(|(name, queue)| Rival {
            value: self.counters.value(name),
            cost: self.cost * queue.scale,
            waiting: queue.entries.len(),
        });
        rivals.collect()
    }

    /// Estimated wait at a position in the queue of an account with a counter; 0 is
    /// its head.
    ///
    /// Rivals go first as far as their counters are behind.
    fn wait(&self, rivals: &[Rival], position: usize, value: f64, scale: f64) -> Duration {
        let own = value + (position + 1) as f64 * self.cost * scale;
        let turns = |rival: &Rival| {
            let turns = ((own - rival.value) / rival.cost).ceil().max(0.0);
            (turns as usize).min(rival.waiting)
        };
        let ahead: usize = rivals.iter().map(turns).sum();
        self.time_for(ahead + position + 1)
    }

    /// Time until this many waiting requests have started.
    fn time_for(&self, requests: usize) -> Duration {
        let limit = self.limit();
        // After capacity was lost, more may run than may be started.
        let turns = (requests + self.running as usize).saturating_sub(limit as usize) as f64;
        Duration::from_secs_f64(turns * self.service / f64::from(limit.max(1)))
    }
}
