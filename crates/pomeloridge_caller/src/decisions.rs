//! The decisions made for recent requests, kept for `pomeloridge explain`.

use std::collections::{HashMap, VecDeque};

use pomeloridge_base::clock::SharedClock;
use serde::Serialize;

/// Requests whose decisions are kept.
const KEPT_REQUESTS: usize = 4096;
/// Decisions kept of one request.
const KEPT_LINES: usize = 32;

/// One decision.
#[derive(Clone, Debug, Serialize)]
pub struct Decision {
    /// When, in ms since the Unix epoch.
    pub at: u64,
    /// What was decided, and why.
    pub text: String,
}

/// The decisions of recent requests; each is also a line of the log.
pub struct DecisionLog {
    clock: SharedClock,
    lines: HashMap<String, Vec<Decision>>,
    order: VecDeque<String>,
}

impl DecisionLog {
    /// An empty log.
    pub fn new(clock: SharedClock) -> Self {
        Self {
            clock,
            lines: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Logs a decision for a request and keeps it.
    pub fn record(&mut self, request: &str, text: String) {
        log::info!(target: "decision", "request={request} {text}");
        if !self.lines.contains_key(request) {
            self.make_room();
            self.order.push_back(request.to_owned());
        }
        let at = self.clock.unix_ms();
        let lines = self.lines.entry(request.to_owned()).or_default();
        if lines.len() < KEPT_LINES {
            lines.push(Decision { at, text });
        }
    }

    /// The decisions for a request, if they are still kept.
    pub fn get(&self, request: &str) -> Option<&[Decision]> {
        self.lines.get(request).map(Vec::as_slice)
    }

    fn make_room(&mut self) {
        while self.order.len() >= KEPT_REQUESTS {
            if let Some(oldest) = self.order.pop_front() {
                self.lines.remove(&oldest);
            }
        }
    }
}
