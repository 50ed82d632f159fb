//! Usage reports by window.

use std::collections::BTreeMap;

use pomeloridge_base::id::Epoch;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// One client account's figures.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub(crate) struct Figures {
    requests: u64,
    prompt_tokens: u64,
    output_tokens: u64,
}

/// A report as it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct UsageBody {
    pub(crate) window: Value,
    #[serde(default)]
    pub(crate) fence: Epoch,
    pub(crate) accounts: BTreeMap<String, Figures>,
}

/// What became of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reported {
    New,
    Repeated,
    /// The window was reported with other figures.
    Differs,
}

/// The reports taken, by window.
#[derive(Debug, Default)]
pub(crate) struct Usage {
    windows: BTreeMap<String, BTreeMap<String, Figures>>,
}

impl Usage {
    /// Takes a report unless its window has other figures.
    pub(crate) fn take(&mut self, report: &UsageBody) -> Reported {
        let window = report.window.to_string();
        match self.windows.get(&window) {
            Some(known) if *known == report.accounts => Reported::Repeated,
            Some(_) => Reported::Differs,
            None => {
                self.windows.insert(window, report.accounts.clone());
                Reported::New
            }
        }
    }
}
