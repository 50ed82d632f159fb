//! How long a server may be silent before it is given up, and how long callers wait.
//!
//! Pattern answered: a burst of long prompts that fills the engines' queues. An engine that
//! is behind its work is slow, not gone; to give it up throws away what it has done, and
//! begins it again where others wait.

use std::time::Duration;

/// Silence of a server that has nothing to do.
const IDLE_SILENCE: Duration = Duration::from_millis(700);
/// Times the predicted time that a server may be silent beside.
const PREDICTED_TIMES: u32 = 2;
/// Callers leave a stream whose first piece does not come within this time, or within some
/// multiples of its targets.
const STREAM_PATIENCE: Duration = Duration::from_secs(2);
/// Multiple of the target for the first piece.
const TARGET_TIMES: u32 = 4;
/// Multiple of the longest pause that is on time.
const GAP_TIMES: u32 = 8;

/// Silence after which a server is given up that was to send something within `predicted`.
pub fn silence_timeout(predicted: Duration) -> Duration {
    IDLE_SILENCE + predicted * PREDICTED_TIMES
}

/// Time for which a caller waits for the first piece of a stream with these targets, if it
/// waits for the whole no longer than `longest`.
pub fn caller_ttft_timeout(target: Duration, gap: Option<Duration>, longest: Duration) -> Duration {
    let gap = gap.unwrap_or_default() * GAP_TIMES;
    let patience = STREAM_PATIENCE.max(target * TARGET_TIMES).max(gap);
    patience.min(longest)
}
