//! A set of batch numbers, stored as disjoint ranges.

use std::collections::BTreeMap;

/// Set of numbers from 1 on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges(BTreeMap<u64, u64>);

impl Ranges {
    /// Returns whether a number is in the set.
    pub fn contains(&self, number: u64) -> bool {
        let below = self.0.range(..=number).next_back();
        below.is_some_and(|(_, last)| *last >= number)
    }

    /// Adds the numbers from `first` to `last`, both included.
    pub fn insert(&mut self, first: u64, last: u64) {
        let (mut first, mut last) = (first, last);
        if first > last {
            return;
        }
        // Ranges that overlap or touch the new one are merged into it.
        while let Some((&start, &end)) = self.0.range(..=last.saturating_add(1)).next_back() {
            if end.saturating_add(1) < first {
                break;
            }
            self.0.remove(&start);
            first = first.min(start);
            last = last.max(end);
        }
        self.0.insert(first, last);
    }

    /// Returns the end of the contiguous range from 1; 0 if 1 is not in the set.
    pub fn prefix(&self) -> u64 {
        self.0.get(&1).copied().unwrap_or(0)
    }

    /// Returns the first range of missing numbers below a number in the set.
    pub fn first_gap(&self) -> Option<(u64, u64)> {
        let first = self.prefix() + 1;
        let (next, _) = self.0.range(first..).next()?;
        Some((first, next - 1))
    }

    /// Returns the lowest number from `from` on that is not in the set.
    pub fn next_missing(&self, from: u64) -> u64 {
        match self.0.range(..=from).next_back() {
            Some((_, last)) if *last >= from => last.saturating_add(1),
            _ => from,
        }
    }

    /// Iterates over the ranges as pairs of first and last number.
    pub fn iter(&self) -> impl Iterator<Item = (u64, u64)> {
        self.0.iter().map(|(first, last)| (*first, *last))
    }
}

impl FromIterator<(u64, u64)> for Ranges {
    fn from_iter<I: IntoIterator<Item = (u64, u64)>>(ranges: I) -> Self {
        let mut set = Self::default();
        for (first, last) in ranges {
            set.insert(first, last);
        }
        set
    }
}
