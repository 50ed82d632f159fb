//! Runtime of a test.

use std::future::Future;

/// Runs a future on a new runtime.
pub fn run<F: Future>(future: F) -> F::Output {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .expect("a runtime");
    runtime.block_on(future)
}
