//! Usage reports by usage window.

use std::collections::BTreeMap;

use pomeloridge_base::id::Epoch;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Usage of one client account in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Figures {
    requests: u64,
    prompt_tokens: u64,
    output_tokens: u64,
}

/// Body of `POST /usage`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct UsageBody {
    pub(crate) window: Value,
    #[serde(default)]
    pub(crate) fence: Epoch,
    pub(crate) accounts: BTreeMap<String, Figures>,
}

/// Outcome of a usage report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReportOutcome {
    New,
    Repeated,
    /// The window was reported with different usage.
    Conflict,
}

/// Recorded usage by window and account.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    windows: BTreeMap<String, BTreeMap<String, Figures>>,
}

impl Usage {
    /// Records a report unless its window has different usage.
    pub(crate) fn record(&mut self, report: &UsageBody) -> ReportOutcome {
        let window = report.window.to_string();
        match self.windows.get(&window) {
            Some(known) if *known == report.accounts => ReportOutcome::Repeated,
            Some(_) => ReportOutcome::Conflict,
            None => {
                self.windows.insert(window, report.accounts.clone());
                ReportOutcome::New
            }
        }
    }
}
