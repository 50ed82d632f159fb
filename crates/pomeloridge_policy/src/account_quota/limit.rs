//! An account's limit and the part of it that a holder owns.

use derive_more::Display;

use super::{MAX_HOLDERS, QuotaTerms};

/// Part of the platform's slack that the holders give out. The rest covers requests that are sent
/// late.
const USED_SLACK: f64 = 0.8;
/// Least number of requests that a holder's part is to hold.
const MIN_REQUESTS: f64 = 4.0;
/// Least number of tokens that a holder's part is to hold, so that most requests need one holder.
const MIN_TOKENS: f64 = 32_768.0;

/// What an account's requests are counted in.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum QuotaUnit {
    /// Each request counts as one.
    #[display("requests")]
    Requests,
    /// Each request counts by its tokens.
    #[display("tokens")]
    Tokens {
        /// Tokens that a request without token counts counts as.
        plain: u64,
    },
}

/// The requests or tokens that the fleet may run for an account.
#[derive(Clone, Copy, Debug, Display, PartialEq)]
#[display("{rate}/s+{burst} {unit}")]
pub struct AccountLimit {
    unit: QuotaUnit,
    rate: f64,
    burst: f64,
}

/// The error of a limit that is negative or not finite.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the rate or the burst is not a finite number of at least 0")]
pub struct InvalidAccountLimit;

/// The part of an account's limit that one holder owns.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Part {
    /// Units that it gains a second.
    pub rate: f64,
    /// Units that it may grant at once.
    pub capacity: f64,
}

impl AccountLimit {
    /// Returns the limit of `rate` units a second and `burst` at once; none if the rate is 0.
    pub fn new(
        unit: QuotaUnit,
        rate: f64,
        burst: f64,
    ) -> Result<Option<Self>, InvalidAccountLimit> {
        let is_valid = |number: f64| number.is_finite() && number >= 0.0;
        if !is_valid(rate) || !is_valid(burst) {
            return Err(InvalidAccountLimit);
        }
        Ok((rate > 0.0).then_some(Self { unit, rate, burst }))
    }

    /// Returns the units that a request counts as; `tokens` are its prompt and output tokens, if
    /// it tells them.
    pub fn cost(self, tokens: Option<u64>) -> u64 {
        match self.unit {
            QuotaUnit::Requests => 1,
            QuotaUnit::Tokens { plain } => tokens.unwrap_or(plain),
        }
    }

    /// Returns the units a second.
    pub fn rate(self) -> f64 {
        self.rate
    }

    /// Returns the most units that all holders together have at a time.
    pub fn capacity(self, terms: QuotaTerms) -> f64 {
        self.burst + terms.slack * USED_SLACK
    }

    /// Returns whether both limits count in the same unit.
    pub(super) fn counts_like(self, other: Self) -> bool {
        use QuotaUnit::{Requests, Tokens};
        matches!(
            (self.unit, other.unit),
            (Requests, Requests) | (Tokens { .. }, Tokens { .. })
        )
    }

    /// Returns the number of holders among a number of nodes. A small allotment has fewer, so that
    /// a request seldom has to be put together from several.
    pub fn holders(self, terms: QuotaTerms, nodes: usize) -> usize {
        let least = match self.unit {
            QuotaUnit::Requests => MIN_REQUESTS,
            QuotaUnit::Tokens { .. } => MIN_TOKENS,
        };
        let count = (self.capacity(terms) / least) as usize;
        count.min(nodes).clamp(1, MAX_HOLDERS)
    }

    /// Returns the part of each holder.
    pub fn part(self, terms: QuotaTerms, nodes: usize) -> Part {
        let holders = self.holders(terms, nodes) as f64;
        Part {
            rate: self.rate / holders,
            capacity: self.capacity(terms) / holders,
        }
    }
}
