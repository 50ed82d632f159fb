//! Decisions for recent requests, shown by `pomeloridge explain`.

use std::collections::{HashMap, VecDeque};

use pomeloridge_base::clock::SharedClock;
use serde::Serialize;

/// Maximum requests with stored decisions.
const MAX_REQUESTS: usize = 4096;
/// Maximum decisions stored per request.
const MAX_DECISIONS_PER_REQUEST: usize = 32;

/// A logged decision.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// Time in ms since the Unix epoch.
    pub at: u64,
    /// Decision and reason, as in the log.
    pub text: String,
}

/// Decisions for recent requests, each of which is also logged.
pub struct DecisionLog {
    clock: SharedClock,
    decisions: HashMap<String, Vec<Decision>>,
    /// Requests, oldest first.
    order: VecDeque<String>,
}

impl DecisionLog {
    /// Creates an empty log.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            decisions: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Logs and stores a decision for a request.
    pub fn record(&mut self, request: &str, text: String) {
        log::info!(target: "decision", "request={request} {text}");
        if !self.decisions.contains_key(request) {
            self.evict_oldest();
            self.order.push_back(request.to_owned());
        }
        let at = self.clock.unix_ms();
        let decisions = self.decisions.entry(request.to_owned()).or_default();
        if decisions.len() < MAX_DECISIONS_PER_REQUEST {
            decisions.push(Decision { at, text });
        }
    }

    /// Returns the decisions for a request, unless they were evicted.
    pub fn get(&self, request: &str) -> Option<&[Decision]> {
        self.decisions.get(request).map(Vec::as_slice)
    }

    fn evict_oldest(&mut self) {
        while self.order.len() >= MAX_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.decisions.remove(&oldest);
            }
        }
    }
}
