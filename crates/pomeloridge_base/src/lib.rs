//! What every package of pomeloridge shares: identifiers, the clock, the closed
//! list of error kinds, node settings and HTTP over `monoio`.

pub mod clock;
pub mod config;
pub mod count_guard;
pub mod error;
pub mod http;
pub mod id;
pub mod meter;
pub mod net;
pub mod refusal;
pub mod rule;
pub mod secret;
pub mod settings;

use std::future::Future;
use std::pin::Pin;

/// A future on the node's one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
