//! The list of VMs, which shows what was true some time ago.

use serde::{Deserialize, Serialize};

/// Whether a VM is to stay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum VmState {
    #[default]
    Live,
    Leaving,
}

/// A VM as it is listed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Vm {
    name: String,
    address: String,
    #[serde(default)]
    data_centre: String,
    #[serde(default)]
    state: VmState,
}

/// The lists set so far with their times in Unix ms.
#[derive(Debug, Default)]
pub(crate) struct Vms {
    lists: Vec<(u64, Vec<Vm>)>,
}

impl Vms {
    /// Sets the list; the first one is shown without lag.
    pub(crate) fn set(&mut self, list: Vec<Vm>, now: u64) {
        let at = if self.lists.is_empty() { 0 } else { now };
        self.lists.push((at, list));
    }

    /// The list as it was at `at`.
    pub(crate) fn list(&self, at: u64) -> &[Vm] {
        let mut newest_first = self.lists.iter().rev();
        let shown = newest_first.find(|(since, _)| *since <= at);
        shown.map_or(&[], |(_, list)| list)
    }
}
