//! What a holder has of an account's allotment, and what it grants of it.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::Part;

/// Fraction of its capacity that a holder keeps for requests; only what is beyond it is granted in
/// advance.
const KEPT_FRACTION: f64 = 0.5;

/// Number of slots into which the counted time is divided.
const SLOTS: u32 = 64;

/// What a node asks a holder for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Units that a request lacks; less does not help.
    pub needed: u64,
    /// Further units for the requests that the node expects.
    pub extra: u64,
}

/// A holder's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Grant {
    /// Units granted.
    pub amount: u64,
    /// Units that the holder has left.
    pub balance: u64,
    /// Whether the holder grants nothing for now, whatever it has.
    pub is_closed: bool,
}

impl Grant {
    /// The answer of a node that is no holder or must not grant.
    pub const CLOSED: Self = Self {
        amount: 0,
        balance: 0,
        is_closed: true,
    };
}

/// A holder's part of an account's allotment, and what it granted of it lately.
///
/// In each span up to the counted time, no more is granted than the capacity and that span's rate.
/// What was granted before does not count any more, as the platform does not count it either.
#[derive(Debug)]
pub(super) struct Ledger {
    part: Part,
    slot_length: Duration,
    /// When the current slot began.
    slot_start: Instant,
    /// Units granted in the current slot and those before it, the latest first.
    slots: VecDeque<f64>,
}

impl Ledger {
    /// Creates the ledger of a part that may have been used up to its capacity until `since`. What
    /// was granted counts for `counted_time`.
    pub(super) fn new(part: Part, counted_time: Duration, since: Instant) -> Self {
        Self {
            part,
            slot_length: counted_time / SLOTS,
            slot_start: since,
            slots: VecDeque::from([part.capacity]),
        }
    }

    /// Replaces the part. Capacity that is added may have been used by another holder.
    pub(super) fn set_part(&mut self, part: Part, now: Instant) {
        self.advance(now);
        let added = (part.capacity - self.part.capacity).max(0.0);
        if let Some(current) = self.slots.front_mut() {
            *current += added;
        }
        self.part = part;
    }

    /// Records what is granted.
    pub(super) fn grant(&mut self, ask: Ask, now: Instant) -> Grant {
        self.advance(now);
        let available = self.available(now) as u64;
        let granted = if ask.needed <= available {
            let kept = (self.part.capacity * KEPT_FRACTION) as u64;
            let spare = (available - ask.needed).saturating_sub(kept);
            ask.needed + ask.extra.min(spare)
        } else {
            0
        };
        if let Some(current) = self.slots.front_mut() {
            *current += granted as f64;
        }
        Grant {
            amount: granted,
            balance: available - granted,
            is_closed: false,
        }
    }

    /// Returns what may be granted: the least that any span up to the counted time leaves.
    fn available(&self, now: Instant) -> f64 {
        let mut time = now.saturating_duration_since(self.slot_start);
        let mut granted = 0.0;
        let mut available = self.part.capacity;
        for slot in &self.slots {
            granted += slot;
            let gained = self.part.rate * time.as_secs_f64();
            available = available.min(self.part.capacity + gained - granted);
            time += self.slot_length;
        }
        available.max(0.0)
    }

    /// Begins the slots that are due, and forgets those that no longer count.
    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.slot_start);
        let due = elapsed.div_duration_f64(self.slot_length) as u32;
        for _ in 0..due.min(SLOTS + 1) {
            self.slots.push_front(0.0);
        }
        self.slots.truncate(SLOTS as usize + 1);
        self.slot_start += self.slot_length * due;
    }
}
