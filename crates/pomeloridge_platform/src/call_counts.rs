//! Counting of calls to the platform.

use std::cell::Cell;

use derive_more::Display;

/// The kinds of calls to the platform.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
#[display(rename_all = "snake_case")]
pub enum CallKind {
    /// Reading an object.
    Get,
    /// Writing an object.
    Put,
    /// Deleting an object.
    Delete,
    /// Listing objects.
    List,
    /// Watching objects.
    Watch,
    /// Listing VMs.
    Vms,
    /// Listing backend servers.
    Servers,
    /// Giving an order.
    Order,
    /// Listing orders.
    Orders,
    /// Reporting usage.
    Usage,
}

impl CallKind {
    /// Every kind.
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

/// Number of calls by kind, with those that failed among them.
#[derive(Debug, Default)]
pub struct CallCounts([Cell<u64>; CallKind::ALL.len()]);

impl CallCounts {
    /// Number of calls of one kind.
    pub fn of(&self, kind: CallKind) -> u64 {
        self.0[kind as usize].get()
    }

    /// Every kind with its number of calls.
    pub fn all(&self) -> impl Iterator<Item = (CallKind, u64)> {
        CallKind::ALL.into_iter().map(|kind| (kind, self.of(kind)))
    }

    pub(crate) fn add(&self, kind: CallKind) {
        let count = &self.0[kind as usize];
        count.set(count.get() + 1);
    }
}
