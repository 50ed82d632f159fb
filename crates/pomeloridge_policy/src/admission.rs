//! Admission control: decides which requests start, wait or are refused.
//!
//! Each pool limits its requests in flight. Requests over the limit are queued
//! per client account, and the account that has received the least service is
//! served next. A request that is estimated to miss its deadline is refused as
//! soon as that is known, so that its caller can go elsewhere.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Incarnation, Name};
use slotmap::SlotMap;

use crate::capacity::Capacity;
use crate::peer_usage::{PeerUsage, ServedTotal};
use crate::queue::Pool;
use crate::ticket::{
    AdmissionDecision, AdmissionRequest, AdmissionSettings, Expired, Ticket, TicketKey, new_ticket,
    refusal, refuse,
};

/// Admission state of all pools of a node.
#[derive(Debug, Default)]
pub struct Admission {
    settings: AdmissionSettings,
    pools: BTreeMap<Name, Pool>,
    tickets: SlotMap<TicketKey, Ticket>,
    peer_usage: PeerUsage,
    arrivals: u64,
}

impl Admission {
    /// Creates an admission controller without pools.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Sets the capacity of a pool that this node shares with `nodes - 1` others.
    ///
    /// Call `start_next` afterwards: a larger capacity may let requests start.
    pub fn set_capacity(&mut self, pool: &Name, capacity: Capacity, nodes: u32) {
        let entry = self.pools.entry(pool.clone()).or_default();
        entry.capacity = capacity;
        entry.nodes = nodes;
    }

    /// Starts, queues or refuses an arriving request.
    pub fn arrive(&mut self, request: &AdmissionRequest, now: Instant) -> AdmissionDecision {
        let settings = self.settings;
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
        let ticket = new_ticket(request, &settings, self.arrivals);
        let account_waiting = pool.account_waiting(&request.account);
        if account_waiting == 0 && pool.waiting() == 0 && pool.running < limit {
            pool.counters.add_request(&request.account, true);
            let key = self.tickets.insert(ticket);
            self.arrivals += 1;
            self.start(key, now);
            return AdmissionDecision::Start(key);
        }
        if account_waiting >= settings.account_queue {
            return refuse(ErrorKind::AccountBusy, pool.drain_time());
        }
        if pool.waiting() >= settings.queue {
            return refuse(ErrorKind::Overloaded, pool.drain_time());
        }
        pool.counters
            .add_request(&request.account, account_waiting == 0);
        let lateness = pool.lateness(
            &request.account,
            account_waiting,
            ticket.inverse_weight,
            request.deadline,
            now,
        );
        if let Some(lateness) = lateness {
            pool.counters.remove_request(&request.account);
            return refuse(ErrorKind::Overloaded, lateness);
        }
        let (arrival, inverse_weight) = (ticket.arrival, ticket.inverse_weight);
        let key = self.tickets.insert(ticket);
        self.arrivals += 1;
        pool.push_back(&request.account, key, arrival, inverse_weight);
        AdmissionDecision::Enqueue(key)
    }

    /// Starts the next waiting request of a pool that is below its limit.
    ///
    /// Call this until it returns `None` whenever a request has been queued, has
    /// ended or was refused by a server, and after a capacity was set.
    pub fn start_next(&mut self, now: Instant) -> Option<TicketKey> {
        let tickets = &self.tickets;
        let before_deadline =
            |key: TicketKey| tickets.get(key).is_some_and(|ticket| ticket.deadline > now);
        let mut pools = self.pools.values_mut();
        let key = pools.find_map(|pool| pool.pop(before_deadline))?;
        self.start(key, now);
        Some(key)
    }

    /// Removes and returns the waiting requests that can no longer meet their deadlines.
    pub fn expire(&mut self, now: Instant) -> Vec<Expired> {
        let mut expired = Vec::new();
        for pool in self.pools.values_mut() {
            for (key, lateness) in pool.remove_late(&self.tickets, now) {
                let kind = if pool.limit() == 0 {
                    ErrorKind::NoServer
                } else {
                    ErrorKind::Overloaded
                };
                let refusal = refusal(kind, lateness);
                expired.push(Expired {
                    ticket: key,
                    refusal,
                });
                if let Some(ticket) = self.tickets.remove(key) {
                    pool.counters.remove_request(&ticket.account);
                }
            }
        }
        expired
    }

    /// Charges output tokens of a running request to its account.
    pub fn charge_output(&mut self, key: TicketKey, tokens: u64, now: Instant) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&ticket.pool) else {
            return;
        };
        let charge = tokens as f64 * self.settings.output_charge * ticket.inverse_weight;
        let released = charge.min(ticket.reserved);
        ticket.reserved -= released;
        ticket.charged += charge;
        pool.counters.reserve(&ticket.account, -released);
        pool.counters.charge(&ticket.account, charge, now);
    }

    /// Returns a running request to the head of its account's queue.
    ///
    /// Used when every server refused the request without processing it. Its
    /// prompt is not charged a second time.
    pub fn requeue(&mut self, key: TicketKey) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&ticket.pool) else {
            return;
        };
        if ticket.started.take().is_some() {
            pool.running = pool.running.saturating_sub(1);
            pool.push_front(&ticket.account, key, ticket.arrival, ticket.inverse_weight);
        }
    }

    /// Removes an answered request and updates the pool's mean duration and charge.
    pub fn finish(&mut self, key: TicketKey, now: Instant) {
        if let Some(ticket) = self.remove(key)
            && let Some(started) = ticket.started
            && let Some(pool) = self.pools.get_mut(&ticket.pool)
        {
            let duration = now.saturating_duration_since(started);
            pool.record_finished(duration, ticket.charged / ticket.inverse_weight);
        }
    }

    /// Removes a waiting or running request that gets no answer.
    pub fn cancel(&mut self, key: TicketKey) {
        self.remove(key);
    }

    /// Lowers this node's share of a pool after a server refused a request for lack of slots.
    pub fn record_server_refusal(&mut self, pool: &Name, now: Instant) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.share.record_refusal(now);
        }
    }

    /// Raises this node's share of a pool after a server accepted a request.
    pub fn record_server_acceptance(&mut self, pool: &Name) {
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.share.record_success();
        }
    }

    /// Adds the service reported by a peer to the accounts' counters.
    pub fn merge(&mut self, peer: &Name, incarnation: Incarnation, totals: &[ServedTotal]) {
        for added in self.peer_usage.update(peer, incarnation, totals) {
            let pool = self.pools.entry(added.pool).or_default();
            pool.counters.add_peer_service(&added.account, added.total);
        }
    }

    /// Removes the totals of a peer that has left.
    pub fn forget_peer(&mut self, peer: &Name) {
        self.peer_usage.remove(peer);
    }

    /// Returns this node's service totals that changed within `within`, to send to peers.
    pub fn export(&self, within: Duration, now: Instant) -> Vec<ServedTotal> {
        let pools = self.pools.iter();
        let totals = pools.flat_map(|(name, pool)| {
            let served = pool.counters.served(within, now);
            served.map(|(account, total)| ServedTotal {
                pool: name.clone(),
                account: account.clone(),
                total,
            })
        });
        totals.collect()
    }

    /// Returns the limit of a pool and its request counts, for metrics.
    pub fn state(&self, pool: &Name) -> PoolState {
        let pool = self.pools.get(pool);
        pool.map_or_else(PoolState::default, |pool| PoolState {
            limit: pool.limit(),
            running: pool.running,
            waiting: pool.waiting(),
        })
    }

    /// Returns whether a request waits or runs.
    pub fn contains(&self, key: TicketKey) -> bool {
        self.tickets.contains_key(key)
    }

    /// Marks a request as running, charges its prompt and reserves its expected output.
    fn start(&mut self, key: TicketKey, now: Instant) {
        let Some(ticket) = self.tickets.get_mut(key) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(&ticket.pool) else {
            return;
        };
        ticket.started = Some(now);
        pool.running += 1;
        pool.counters.raise_floor(&ticket.account);
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
            pool.remove(&ticket.account, key);
        }
        if ticket.prompt.is_none() {
            pool.counters.reserve(&ticket.account, -ticket.reserved);
        }
        pool.counters.remove_request(&ticket.account);
        Some(ticket)
    }
}

/// The limit of a pool and its request counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolState {
    /// Maximum requests in flight.
    pub limit: u32,
    /// Requests in flight.
    pub running: u32,
    /// Requests in the queues.
    pub waiting: usize,
}
