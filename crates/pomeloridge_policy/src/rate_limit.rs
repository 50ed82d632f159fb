//! Request rates that backend servers name as their limits.

use derive_more::Display;

/// The number of requests a second that a server takes from the whole fleet.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

/// The error of a limit that is negative or not finite.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("the limit is not a finite number of at least 0")]
pub struct InvalidRateLimit;

impl RateLimit {
    /// Returns the limit in requests a second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = InvalidRateLimit;

    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        let is_valid = per_second.is_finite() && per_second >= 0.0;
        is_valid.then_some(Self(per_second)).ok_or(InvalidRateLimit)
    }
}
