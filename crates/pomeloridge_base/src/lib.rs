//! What every package of pomeloridge shares: identifiers, the clock, the closed
//! list of error kinds, node settings and HTTP over `monoio`.

pub mod clock;
pub mod config;
pub mod error;
pub mod http;
pub mod id;
pub mod meter;
pub mod net;
pub mod rule;
pub mod secret;
pub mod settings;
