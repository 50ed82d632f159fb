//! Measures the time of an operation and the memory of a value.

use std::hint::black_box;
use std::time::{Duration, Instant};

use crate::alloc::live_bytes;

/// Approximate duration of one round, which repeats the operation.
const ROUND_TIME: Duration = Duration::from_millis(10);
/// Number of rounds; the fastest counts, because other processes can only slow a round down.
const ROUNDS: usize = 7;

/// Returns the nanoseconds per call in the fastest of several rounds.
pub fn nanoseconds<T>(mut call: impl FnMut() -> T) -> f64 {
    let start = Instant::now();
    black_box(call());
    let once = start.elapsed().max(Duration::from_nanos(20));
    let calls = (ROUND_TIME.as_nanos() / once.as_nanos()).clamp(1, 100_000) as usize;
    let rounds = (0..ROUNDS).map(|_| {
        let start = Instant::now();
        for _ in 0..calls {
            black_box(call());
        }
        start.elapsed().as_nanos() as f64 / calls as f64
    });
    rounds.fold(f64::INFINITY, f64::min)
}

/// Returns the bytes that a value keeps allocated.
pub fn bytes<T>(make: impl FnOnce() -> T) -> f64 {
    let before = live_bytes();
    let value = black_box(make());
    let after = live_bytes();
    drop(value);
    (after - before) as f64
}
