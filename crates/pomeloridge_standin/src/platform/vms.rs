//! The list of VMs, returned with a lag.

use serde::{Deserialize, Serialize};

/// State of a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum VmState {
    #[default]
    Live,
    Leaving,
}

/// A VM as set by control calls and returned to clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Vm {
    name: String,
    address: String,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    state: VmState,
}

/// All lists that were set, each with its time in Unix ms.
#[derive(Debug, Default)]
pub(crate) struct Vms {
    lists: Vec<(u64, Vec<Vm>)>,
}

impl Vms {
    /// Sets the list; the first one is visible without lag.
    pub(crate) fn set(&mut self, list: Vec<Vm>, now: u64) {
        let at = if self.lists.is_empty() { 0 } else { now };
        self.lists.push((at, list));
    }

    /// Returns the list as of `at` (Unix ms).
    pub(crate) fn list(&self, at: u64) -> &[Vm] {
        let mut newest_first = self.lists.iter().rev();
        let shown = newest_first.find(|(since, _)| *since <= at);
        shown.map_or(&[], |(_, list)| list)
    }
}
