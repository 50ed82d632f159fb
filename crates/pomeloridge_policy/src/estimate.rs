//! The output expected of a request, learned from the answers before it.
//!
//! Callers ask for far more output tokens than they get. Charging and scoring
//! by what they ask for would hold the difference against them.

use std::collections::HashMap;

use pomeloridge_base::id::Name;

use crate::load::blend;

/// Output tokens expected before any answer was seen.
const DEFAULT_OUTPUT: f64 = 128.0;
/// Accounts of one pool after which all are learned anew.
const ACCOUNTS_KEPT: usize = 65_536;

/// Mean output of each client account and pool.
#[derive(Debug, Default)]
pub struct OutputEstimates {
    pools: HashMap<Name, PoolOutput>,
}

#[derive(Debug)]
struct PoolOutput {
    /// Mean output of all accounts, in tokens.
    mean: f64,
    /// Mean output of one account, in tokens.
    accounts: HashMap<Name, f64>,
}

impl OutputEstimates {
    /// Output tokens expected of a request that asks for at most `most`.
    ///
    /// An account without answers is expected to be like the others.
    pub fn expected(&self, pool: &Name, account: &Name, most: u64) -> u64 {
        let pool = self.pools.get(pool);
        let own = pool.and_then(|pool| pool.accounts.get(account).copied());
        let others = pool.map(|pool| pool.mean);
        let mean = own.or(others).unwrap_or(DEFAULT_OUTPUT);
        (mean.ceil() as u64).min(most)
    }

    /// Learns from an answer that ended by itself.
    pub fn learn(&mut self, pool: &Name, account: &Name, output: u64) {
        let observed = output as f64;
        let pool = self.pools.entry(pool.clone()).or_insert(PoolOutput {
            mean: observed,
            accounts: HashMap::new(),
        });
        blend(&mut pool.mean, observed);
        if pool.accounts.len() >= ACCOUNTS_KEPT && !pool.accounts.contains_key(account) {
            pool.accounts.clear();
        }
        let own = pool.accounts.entry(account.clone()).or_insert(observed);
        blend(own, observed);
    }
}
