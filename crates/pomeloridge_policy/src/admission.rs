//! Which requests are run, which wait, and which are refused.
//!
//! Each pool has a limit on requests in flight. When it is reached, requests
//! wait, and the client account that has had the least service goes next. A
//! request that would wait past its deadline is refused as soon as that is
//! known, so that its caller can go elsewhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Incarnation, Name};
use slotmap::SlotMap;

use crate::capacity::Capacity;
use crate::ledger::{Ledger, ServiceTotal};
use crate::queue::Pool;
use crate::ticket::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, Expired, Ticket, TicketKey, refusal,
    refuse, ticket,
};

/// Decides which requests run.
#[derive(Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    pools: BTreeMap<Name, Pool>,
    tickets: SlotMap<TicketKey, Ticket>,
    ledger: Ledger,
    arrivals: u64,
}

impl Admission {
    /// Decides by these settings; there are no pools yet.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the capacity of a pool that this node shares with `nodes - 1` others.
    ///
    /// `start_next` may return requests afterwards.
    pub fn set_capacity(&mut self, pool: &Name, capacity: Capacity, nodes: u32) {
        let entry = self.pools.entry(pool.clone()).or_default();
        entry.capacity = capacity;
        entry.nodes = nodes;
    }

    /// Decides on a request that arrives.
    pub fn arrive(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        let bounds = self.settings;
        let Some(pool) = self.pools.get_mut(&request.pool) else {
            return refuse(ErrorKind::NoServer, Duration::ZERO);
        };
        let limit = pool.limit();
        if limit == 0 {
            return refuse(ErrorKind::NoServer, Duration::ZERO);
        }
        if request.deadline <= now {
            return refuse(ErrorKind::Overloaded, Duration::ZERO);
        }
        let ticket = ticket(request, &bounds, self.arrivals);
        let own = pool.account_waiting(&request.account);
        if own == 0 && pool.waiting() == 0 && pool.running < limit {
            pool.counters.enter(&request.account, true);
            let key = self.tickets.insert(ticket);
            self.arrivals += 1;
            self.start(key, now);
            return AdmissionDecision::Start(key);
        }
        if own >= bounds.account_queue {
            return refuse(ErrorKind::AccountBusy, pool.drain_time());
        }
        if pool.waiting() >= bounds.queue {
            return refuse(ErrorKind::Overloaded, pool.drain_time());
        }
        pool.counters.enter(&request.account, own == 0);
        let late = pool.lateness(&request.account, own, ticket.scale, request.deadline, now);
        if let Some(late) = late {
            pool.counters.leave(&request.account);
            return refuse(ErrorKind::Overloaded, late);
        }
        let (number, scale) = (ticket.number, ticket.scale);
        let key = self.tickets.insert(ticket);
        self.arrivals += 1;
        pool.push(&request.account, key, number, scale);
        AdmissionDecision::Enqueue(key)
    }

    /// Starts the request that goes next, if a pool has room for one.
    ///
    /// To be called until it returns `None` whenever a request ended, was
    /// refused by a server or waits, and when a capacity was set.
    pub fn start_next(&mut self, now: Instant) -> Option<TicketKey> {
        let tickets = &self.tickets;
        let live = |key: TicketKey| tickets.get(key).is_some_and(|ticket| ticket.deadline > now);
        let mut pools = self.pools.values_mut();
        let key = pools.find_map(|pool| pool.pop(live))?;
        self.start(key, now);
        Some(key)
    }

    /// Takes out the waiting requests that can no longer meet their deadlines.
    pub fn expire(&mut self, now: Instant) -> Vec<Expired> {
        let mut expired = Vec::new();
        for pool in self.pools.values_mut() {
            for (key, late) in pool.take_late(&self.tickets, now) {
                let kind = if pool.limit() == 0 {
                    ErrorKind::NoServer
                } else {
                    ErrorKind::Overloaded
                };
                let refusal = refusal(kind, late);
                expired.push(Expired {
                    ticket: key,
                    refusal,
                });
                if let Some(ticket) = self.tickets.remove(key) {
                    pool.counters.leave(&ticket.account);
                }
            }
        }
        expired
    }

    /// Charges output tokens of a running request.
    pub fn charge_output(&mut self, key: TicketKey, tokens: u64, now: Instant) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&ticket.pool) else {
            return;
        };
        let charge = tokens as f64 * self.settings.output_charge * ticket.scale;
        let expected = charge.min(ticket.reserved);
        ticket.reserved -= expected;
        ticket.charged += charge;
        pool.counters.reserve(&ticket.account, -expected);
        pool.counters.charge(&ticket.account, charge, now);
    }

    /// Puts a running request back to the head of its account's queue.
    ///
    /// For a request that every server refused unread; its prompt is not
    /// charged a second time.
    pub fn requeue(&mut self, key: TicketKey) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&ticket.pool) else {
            return;
        };
        if ticket.started.take().is_some() {
            pool.running = pool.running.saturating_sub(1);
            pool.push_front(&ticket.account, key, ticket.number, ticket.scale);
        }
    }

    /// Ends a request that was answered, and learns how long it took.
    pub fn finish(&mut self, key: TicketKey, now: Instant) {
        if let Some(ticket) = self.remove(key)
            && let Some(started) = ticket.started
            && let Some(pool) = self.pools.get_mut(&ticket.pool)
        {
            let taken = now.saturating_duration_since(started);
            pool.learn(taken, ticket.charged / ticket.scale);
        }
    }

    /// Ends a request that waits or runs without an answer.
    pub fn cancel(&mut self, key: TicketKey) {
        self.remove(key);
    }

    /// Lowers this node's share of a pool after a server refused for want of slots.
    pub fn record_server_refusal(&mut self, pool: &Name, now: Instant) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.share.refuse(now);
        }
    }

    /// Raises this node's share of a pool after a server took a request.
    pub fn record_server_acceptance(&mut self, pool: &Name) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.share.succeed();
        }
    }

    /// Adds the service that a peer reports.
    pub fn merge(&mut self, peer: &Name, incarnation: Incarnation, totals: &[ServiceTotal]) {
        for added in self.ledger.update(peer, incarnation, totals) {
            let pool = self.pools.entry(added.pool).or_default();
            pool.counters.add(&added.account, added.total);
        }
    }

    /// Forgets the totals of a peer that has left.
    pub fn forget_peer(&mut self, peer: &Name) {
        self.ledger.forget(peer);
    }

    /// This node's totals that changed within a time, for the peers.
    pub fn export(&self, within: Duration, now: Instant) -> Vec<ServiceTotal> {
        let pools = self.pools.iter();
        let totals = pools.flat_map(|(name, pool)| {
            let served = pool.counters.served(within, now);
            served.map(|(account, total)| ServiceTotal {
                pool: name.clone(),
                account: account.clone(),
                total,
            })
        });
        totals.collect()
    }

    /// What admission knows of a pool, for metrics.
    pub fn state(&self, pool: &Name) -> PoolState {
        let pool = self.pools.get(pool);
        pool.map_or_else(PoolState::default, |pool| PoolState {
            limit: pool.limit(),
            running: pool.running,
            waiting: pool.waiting(),
        })
    }

    /// Whether a request waits or runs.
    pub fn contains(&self, key: TicketKey) -> bool {
        self.tickets.contains_key(key)
    }

    /// Marks a request as running, and charges its prompt.
    fn start(&mut self, key: TicketKey, now: Instant) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&ticket.pool) else {
            return;
        };
        ticket.started = Some(now);
        pool.running += 1;
        pool.counters.serve(&ticket.account);
        if let Some(prompt) = ticket.prompt.take() {
            ticket.charged += prompt;
            pool.counters.charge(&ticket.account, prompt, now);
            pool.counters.reserve(&ticket.account, ticket.reserved);
        }
    }

    fn remove(&mut self, key: TicketKey) -> Option<Ticket> {
        let ticket = self.tickets.remove(key)?;
        let pool = self.pools.get_mut(&ticket.pool)?;
        if ticket.started.is_some() {
            pool.running = pool.running.saturating_sub(1);
        } else {
            pool.take(&ticket.account, key);
        }
        if ticket.prompt.is_none() {
            pool.counters.reserve(&ticket.account, -ticket.reserved);
        }
        pool.counters.leave(&ticket.account);
        Some(ticket)
    }
}

/// What admission knows of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolState {
    /// Requests that may be in flight.
    pub limit: u32,
    /// Requests in flight.
    pub running: u32,
    /// Requests that wait.
    pub waiting: usize,
}
