//! Timeouts for silent servers, and the timeouts expected of callers.
//!
//! A burst of long prompts fills the queues of the engines. An engine with a long queue
//! is slow but not lost. Abandoning it would discard the work that it has done and repeat
//! that work on an engine where other requests wait.

use std::time::Duration;

/// Silence allowed of an idle server, to which the predicted time adds.
const BASE_SILENCE_TIMEOUT: Duration = Duration::from_millis(700);
/// Silence allowed of a server in the middle of an answer, to which the time to the next data adds.
/// A sound server may pause for a second or so, and the answer is late by then wherever it goes
/// on.
const BASE_ANSWER_SILENCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Multiple of the predicted time for which a server may be silent in addition.
const SILENCE_PREDICTION_FACTOR: u32 = 2;
/// Shortest time after which callers abandon a stream without a first piece; multiples of
/// the stream's targets may extend it.
const MIN_CALLER_TTFT_TIMEOUT: Duration = Duration::from_secs(2);
/// Multiple of the target time to first token for which callers wait.
const CALLER_TTFT_TARGET_FACTOR: u32 = 4;
/// Multiple of the target gap between pieces for which callers wait.
const CALLER_GAP_FACTOR: u32 = 8;

/// Returns the silence after which a server is considered lost if it should have sent data
/// within `predicted`.
pub fn silence_timeout(predicted: Duration) -> Duration {
    BASE_SILENCE_TIMEOUT + predicted * SILENCE_PREDICTION_FACTOR
}

/// Returns the silence after which a server that has begun its answer is considered lost if its next
/// data is due within `gap`.
pub fn answer_silence_timeout(gap: Duration) -> Duration {
    BASE_ANSWER_SILENCE_TIMEOUT + gap * SILENCE_PREDICTION_FACTOR
}

/// Returns the time for which a caller is expected to wait for the first piece of a stream
/// with these targets, at most `max_timeout`, its timeout for the whole request.
pub fn caller_ttft_timeout(
    target: Duration,
    gap_target: Option<Duration>,
    max_timeout: Duration,
) -> Duration {
    let gap = gap_target.unwrap_or_default() * CALLER_GAP_FACTOR;
    let timeout = MIN_CALLER_TTFT_TIMEOUT
        .max(target * CALLER_TTFT_TARGET_FACTOR)
        .max(gap);
    timeout.min(max_timeout)
}
