//! Seeded restores of the object store from an older copy, some of them within seconds.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;

use crate::launch::{Fleet, post_json};

/// Sets the seeds of the restores apart from those of the other faults.
const SEED_OFFSET: u64 = 0x6572_6173;
/// Maximum number of restores in a run.
const MAX_RESTORES: usize = 2;
/// Time in which the store goes away, in milliseconds from the start of the run.
const TIMES_MS: std::ops::Range<u64> = 1000..8000;
/// Age of the copy, in milliseconds.
const AGES_MS: std::ops::Range<u64> = 500..8000;
/// Time for which the store is away, in milliseconds.
const AWAY_MS: std::ops::Range<u64> = 50..1500;
/// Time after which servers and operators have written again what is lost, in milliseconds.
const REWRITE_MS: std::ops::Range<u64> = 100..1800;

/// A restore of the store.
#[derive(Clone, Copy, Debug, Display)]
#[display("StoreRestored(age {age} away {away} rewrite {rewrite}) {}ms", at.as_millis())]
pub(super) struct Restore {
    /// When the store goes away, from the start of the run.
    pub(super) at: Duration,
    age: u64,
    away: u64,
    rewrite: u64,
}

impl Restore {
    /// Has the fake platform go away and come back.
    pub(super) fn apply(&self, fleet: &Fleet) -> Result<(), String> {
        let plan = json!({ "age_ms": self.age, "away_ms": self.away, "rewrite_ms": self.rewrite });
        post_json(fleet.duties, "/-/restore", &plan).map(|_| ())
    }
}

/// Returns a seed's restores, in order.
pub(super) fn plan(seed: u64) -> Vec<Restore> {
    let mut rng = StdRng::seed_from_u64(seed ^ SEED_OFFSET);
    let count = rng.random_range(0..=MAX_RESTORES);
    let restores = (0..count).map(|_| Restore {
        at: Duration::from_millis(rng.random_range(TIMES_MS)),
        age: rng.random_range(AGES_MS),
        away: rng.random_range(AWAY_MS),
        rewrite: rng.random_range(REWRITE_MS),
    });
    let mut restores: Vec<Restore> = restores.collect();
    restores.sort_by_key(|restore| restore.at);
    restores
}
