//! Engine roles and their effect on the prefill and decode rates.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Role of an engine.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize, clap::ValueEnum,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefills and decodes at the configured rates.
    #[default]
    #[display("mixed")]
    Mixed,
    /// Prefills faster and decodes slower.
    #[display("prefill")]
    Prefill,
    /// Decodes faster and prefills slower.
    #[display("decode")]
    Decode,
}

impl Role {
    /// Returns the factor applied to the prefill rate.
    pub(crate) fn prefill_factor(self) -> f64 {
        match self {
            Self::Mixed => 1.0,
            Self::Prefill => 1.6,
            Self::Decode => 0.4,
        }
    }

    /// Returns the factor applied to the decode rate.
    pub(crate) fn decode_factor(self) -> f64 {
        match self {
            Self::Mixed => 1.0,
            Self::Prefill => 0.5,
            Self::Decode => 1.3,
        }
    }
}
