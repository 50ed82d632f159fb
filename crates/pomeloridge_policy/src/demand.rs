//! Recent demand for each pool at this node.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;

/// Time over which demand is averaged.
pub const WINDOW: Duration = Duration::from_secs(5);
/// Length of one bucket of the window.
const BUCKET_LENGTH: Duration = Duration::from_millis(500);

/// Demand for one pool, as a sum or per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Admitted requests.
    pub requests: f64,
    /// Prompt tokens of the admitted requests.
    pub prompt: f64,
    /// Generated output tokens.
    pub output: f64,
    /// Requests refused for lack of servers.
    pub refused: f64,
}

#[derive(Debug)]
struct Bucket {
    start: Instant,
    sum: Demand,
}

/// Counts demand over a sliding window.
#[derive(Debug, Default)]
pub struct DemandMeter {
    pools: HashMap<Name, VecDeque<Bucket>>,
}

impl DemandMeter {
    /// Counts an admitted request.
    pub fn record_start(&mut self, pool: &Name, prompt: u64, now: Instant) {
        let sum = self.bucket(pool, now);
        sum.requests += 1.0;
        sum.prompt += prompt as f64;
    }

    /// Counts generated output tokens.
    pub fn record_output(&mut self, pool: &Name, tokens: u64, now: Instant) {
        self.bucket(pool, now).output += tokens as f64;
    }

    /// Counts a request refused for lack of servers.
    pub fn record_refusal(&mut self, pool: &Name, now: Instant) {
        self.bucket(pool, now).refused += 1.0;
    }

    /// Returns the demand for each pool per second.
    pub fn rates(&mut self, now: Instant) -> Vec<(Name, Demand)> {
        let seconds = WINDOW.as_secs_f64();
        for buckets in self.pools.values_mut() {
            drop_expired(buckets, now);
        }
        self.pools.retain(|_, buckets| !buckets.is_empty());
        let rate = |buckets: &VecDeque<Bucket>| {
            buckets
                .iter()
                .fold(Demand::default(), |sum, bucket| Demand {
                    requests: sum.requests + bucket.sum.requests / seconds,
                    prompt: sum.prompt + bucket.sum.prompt / seconds,
                    output: sum.output + bucket.sum.output / seconds,
                    refused: sum.refused + bucket.sum.refused / seconds,
                })
        };
        let pools = self.pools.iter();
        pools
            .map(|(name, buckets)| (name.clone(), rate(buckets)))
            .collect()
    }

    fn bucket(&mut self, pool: &Name, now: Instant) -> &mut Demand {
        let buckets = self.pools.entry(pool.clone()).or_default();
        drop_expired(buckets, now);
        let is_open = |bucket: &Bucket| now.saturating_duration_since(bucket.start) < BUCKET_LENGTH;
        if !buckets.back().is_some_and(is_open) {
            buckets.push_back(Bucket {
                start: now,
                sum: Demand::default(),
            });
        }
        let last = buckets.len() - 1;
        &mut buckets[last].sum
    }
}

fn drop_expired(buckets: &mut VecDeque<Bucket>, now: Instant) {
    let is_expired = |bucket: &Bucket| now.saturating_duration_since(bucket.start) >= WINDOW;
    while buckets.front().is_some_and(is_expired) {
        buckets.pop_front();
    }
}
