//! Tasks whose panics end only themselves. Without this, a panic in any task ends the process
//! with all the requests in it.

use std::any::Any;
use std::future::Future;
use std::panic::AssertUnwindSafe;
use std::time::Duration;

use futures_util::FutureExt;

use crate::meter::{Counter, Meter};

/// Most characters of a panic's message that are logged.
const MAX_REASON_CHARS: usize = 200;
/// Delay before a task that has panicked is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// Runs a future. Returns `None` if it panics, after counting and logging that.
///
/// The future must leave shared state usable when it is dropped at any point.
pub async fn catch_panic<F: Future>(name: &str, meter: &Meter, future: F) -> Option<F::Output> {
    match AssertUnwindSafe(future).catch_unwind().await {
        Ok(output) => Some(output),
        Err(panic) => {
            meter.increment(Counter::Panics);
            let reason: String = message(&*panic).chars().take(MAX_REASON_CHARS).collect();
            log::error!("task name={name} outcome=panicked reason={reason:?}");
            None
        }
    }
}

/// Runs a task until it ends, and starts it again after each panic.
pub async fn keep_running<F: Future<Output = ()>>(
    name: &str,
    meter: &Meter,
    mut start: impl FnMut() -> F,
) {
    while catch_panic(name, meter, start()).await.is_none() {
        monoio::time::sleep(RESTART_DELAY).await;
    }
}

fn message(panic: &(dyn Any + Send)) -> &str {
    let text = panic.downcast_ref::<&str>().copied();
    let formatted = || panic.downcast_ref::<String>().map(String::as_str);
    text.or_else(formatted).unwrap_or("unknown")
}
