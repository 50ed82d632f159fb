//! Virtual token counters: how much service each client account has received.
//!
//! A counter holds tokens divided by the account's weight. The account with the lowest
//! counter is served next. The floor is the highest counter at which an account was served;
//! a returning account starts there at least, so that it earns no credit while idle.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Maximum number of virtual tokens by which a returning account starts above the floor.
///
/// Service received while no other account wanted it must not count against the account for
/// long.
pub const MAX_DEBT: f64 = 100_000.0;
/// Number of accounts above which idle ones at or below the floor are removed.
const MAX_ACCOUNTS: usize = 65_536;

/// The counters of one pool.
#[derive(Debug, Default)]
pub struct TokenCounters {
    accounts: HashMap<Name, Counter>,
    floor: f64,
}

#[derive(Clone, Copy, Debug)]
struct Counter {
    /// Virtual tokens, raised to the floor when the account returns.
    value: f64,
    /// Virtual tokens expected of requests in flight.
    reserved: f64,
    /// Virtual tokens served by this node since its start.
    served: f64,
    /// When `served` last changed.
    changed: Option<Instant>,
    /// Requests waiting or running.
    active: u32,
}

impl TokenCounters {
    /// Returns the counter by which an account is ordered.
    pub fn value(&self, account: &Name) -> f64 {
        let counter = self.accounts.get(account);
        counter.map_or(self.floor, |counter| counter.value + counter.reserved)
    }

    /// Returns the counter at which a returning account starts.
    pub fn floor(&self) -> f64 {
        self.floor
    }

    /// Records the arrival of a request; `returns` if the account had none waiting.
    pub(crate) fn add_request(&mut self, account: &Name, returns: bool) {
        self.remove_idle_accounts();
        let floor = self.floor;
        let counter = self.entry(account);
        counter.active += 1;
        if returns {
            let low = floor - counter.reserved;
            counter.value = counter.value.clamp(low, low + MAX_DEBT);
        }
    }

    /// Records that a request has ended or will not run.
    pub(crate) fn remove_request(&mut self, account: &Name) {
        if let Some(counter) = self.accounts.get_mut(account) {
            counter.active = counter.active.saturating_sub(1);
        }
    }

    /// Raises the floor to the counter of the account that is served next.
    pub(crate) fn raise_floor(&mut self, account: &Name) {
        self.floor = self.floor.max(self.value(account));
    }

    /// Adds service provided by this node.
    pub(crate) fn charge(&mut self, account: &Name, tokens: f64, now: Instant) {
        let counter = self.entry(account);
        counter.value += tokens;
        counter.served += tokens;
        counter.changed = Some(now);
    }

    /// Adds to the expected use of requests in flight; negative values release it.
    pub(crate) fn reserve(&mut self, account: &Name, tokens: f64) {
        let counter = self.entry(account);
        counter.reserved = (counter.reserved + tokens).max(0.0);
    }

    /// Adds service provided by a peer.
    pub(crate) fn add_peer_service(&mut self, account: &Name, tokens: f64) {
        self.remove_idle_accounts();
        self.entry(account).value += tokens;
    }

    /// Returns the virtual tokens served by this node to each account that it served within a
    /// time.
    pub(crate) fn served(
        &self,
        within: Duration,
        now: Instant,
    ) -> impl Iterator<Item = (&Name, f64)> {
        let recent = move |at: Instant| now.saturating_duration_since(at) <= within;
        let changed = move |counter: &Counter| counter.changed.is_some_and(recent);
        let accounts = self.accounts.iter();
        accounts
            .filter(move |(_, counter)| changed(counter))
            .map(|(name, c)| (name, c.served))
    }

    fn entry(&mut self, account: &Name) -> &mut Counter {
        let floor = self.floor;
        self.accounts.entry(account.clone()).or_insert(Counter {
            value: floor,
            reserved: 0.0,
            served: 0.0,
            changed: None,
            active: 0,
        })
    }

    fn remove_idle_accounts(&mut self) {
        if self.accounts.len() >= MAX_ACCOUNTS {
            let floor = self.floor;
            self.accounts
                .retain(|_, counter| counter.active > 0 || counter.value > floor);
        }
    }
}
