//! Estimates the output tokens of a request from earlier answers.
//!
//! Callers ask for far more output tokens than they receive. Charging and scoring requests
//! by that limit would count the difference against the caller.

use std::collections::HashMap;

use pomeloridge_base::id::Name;

use crate::load::update_average;

/// Output tokens expected before the first answer.
const DEFAULT_OUTPUT_TOKENS: f64 = 128.0;
/// Accounts of one pool at which all of its account means are discarded and learned again.
const MAX_ACCOUNTS: usize = 65_536;

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
    /// Returns the output tokens expected of a request that is limited to `max_tokens`.
    ///
    /// For an account without answers, the mean of the pool is used.
    pub fn expected(&self, pool: &Name, account: &Name, max_tokens: u64) -> u64 {
        let pool = self.pools.get(pool);
        let own = pool.and_then(|pool| pool.accounts.get(account).copied());
        let pool_mean = pool.map(|pool| pool.mean);
        let mean = own.or(pool_mean).unwrap_or(DEFAULT_OUTPUT_TOKENS);
        (mean.ceil() as u64).min(max_tokens)
    }

    /// Learns from an answer that was not cut off.
    pub fn learn(&mut self, pool: &Name, account: &Name, output: u64) {
        let observed = output as f64;
        let pool = self.pools.entry(pool.clone()).or_insert(PoolOutput {
            mean: observed,
            accounts: HashMap::new(),
        });
        update_average(&mut pool.mean, observed);
        if pool.accounts.len() >= MAX_ACCOUNTS && !pool.accounts.contains_key(account) {
            pool.accounts.clear();
        }
        let own = pool.accounts.entry(account.clone()).or_insert(observed);
        update_average(own, observed);
    }
}
