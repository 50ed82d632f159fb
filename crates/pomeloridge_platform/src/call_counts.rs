//! Counts of calls to the platform.

use std::cell::Cell;

use derive_more::Display;

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum CallKind {
    /// Reads an object.
    Get,
    /// Writes an object.
    Put,
    /// Deletes an object.
    Delete,
    /// Lists objects.
    List,
    /// Waits for changes to objects.
    Watch,
    /// Lists VMs.
    Vms,
    /// Lists backend servers.
    Servers,
    /// Sends an order.
    Order,
    /// Lists orders.
    Orders,
    /// Reports usage.
    Usage,
}

impl CallKind {
    /// Every kind, in the order of declaration.
    pub const ALL: [Self; 10] = [
        Self::Get,
        Self::Put,
        Self::Delete,
        Self::List,
        Self::Watch,
        Self::Vms,
        Self::Servers,
        Self::Order,
        Self::Orders,
        Self::Usage,
    ];
}

/// Number of calls by kind, including failed ones.
#[derive(Debug, Default)]
pub struct CallCounts([Cell<u64>; CallKind::ALL.len()]);

impl CallCounts {
    /// Returns the number of calls of one kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].get()
    }

    /// Returns every kind with its number of calls.
    pub fn all(&self) -> impl Iterator<Item = (CallKind, u64)> {
        CallKind::ALL.into_iter().map(|kind| (kind, self.of(kind)))
    }

    pub(crate) fn increment(&self, kind: CallKind) {
        let count = &self.0[kind as usize];
        count.set(count.get() + 1);
    }
}
