//! Types that all crates of pomeloridge share: identifiers, the clock, error kinds, settings,
//! configuration, metrics and HTTP over `monoio`.

pub mod clock;
pub mod config;
pub mod count_guard;
pub mod error;
pub mod http;
pub mod id;
pub mod meter;
pub mod net;
pub mod operator_tokens;
pub mod pacing;
pub mod refusal;
pub mod rule;
pub mod secret;
pub mod settings;
pub mod task;

use std::future::Future;
use std::pin::Pin;

/// A boxed future that need not be `Send`, as a node runs on one thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;
