//! Roles, and how fast each kind of work goes in them.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// What an engine is set up for.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Does both at full speed.
    #[default]
    #[display("mixed")]
    Mixed,
    /// Reads prompts faster and makes tokens slower.
    #[display("prefill")]
    Prefill,
    /// Makes tokens faster and reads prompts slower.
    #[display("decode")]
    Decode,
}

impl Role {
    /// Factor on the prompt tokens a second.
    pub(crate) fn prefill_factor(self) -> f64 {
        match self {
            Self::Mixed => 1.0,
            Self::Prefill => 1.6,
            Self::Decode => 0.4,
        }
    }

    /// Factor on the output tokens a second.
    pub(crate) fn decode_factor(self) -> f64 {
        match self {
            Self::Mixed => 1.0,
            Self::Prefill => 0.5,
            Self::Decode => 1.3,
        }
    }
}
