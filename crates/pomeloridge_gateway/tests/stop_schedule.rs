//! A planned stop: requests that its signal has overtaken are refused, however late the process
//! notices the signal.

use std::time::{Duration, Instant};

use pomeloridge_gateway::{SignalTime, StopSchedule};
use yare::parameterized;

const UNREADY_TIME: Duration = Duration::from_secs(3);
const GRACE_TIME: Duration = Duration::from_secs(8);
/// Time for which the caller of a long request waits.
const CALLER_TIME: Duration = Duration::from_secs(10);
const MS: Duration = Duration::from_millis(1);

/// Returns the schedule of a process that looks for the signal at `looks`, the last of which finds
/// the one that was sent at `sent`.
fn schedule(sent: Instant, looks: &[Instant]) -> StopSchedule {
    let mut signal_time = SignalTime::new(looks[0]);
    let mut found = looks
        .iter()
        .filter_map(|look| signal_time.look(|| sent <= *look, *look));
    StopSchedule::new(found.next().unwrap(), UNREADY_TIME, GRACE_TIME)
}

/// Guards against streams that are taken too late to end, as the delay until the process notices
/// its signal was counted as time in which the load balancer may still send requests.
#[parameterized(
    at_once = { 0 },
    at_the_next_poll = { 100 },
    after_a_long_turn = { 350 },
    after_a_pause = { 2900 },
)]
fn a_request_sent_after_the_unready_time_is_refused(noticed_after_ms: u32) {
    let start = Instant::now();
    let sent = start + 50 * MS;
    let schedule = schedule(sent, &[start, sent + noticed_after_ms * MS]);
    for late_ms in [0, 1, 50, 100, 1000, 4199] {
        let now = sent + UNREADY_TIME + late_ms * MS;
        assert_eq!(schedule.admit(now + CALLER_TIME, now), None, "{late_ms}");
    }
}

/// Guards against refusing what the load balancer may still send, and what ends in time.
#[test]
fn requests_that_can_end_are_taken() {
    let start = Instant::now();
    let schedule = schedule(start + 50 * MS, &[start, start + 100 * MS]);
    let early = start + 2900 * MS;
    let latest = start + 7200 * MS;
    assert_eq!(schedule.admit(early + CALLER_TIME, early), Some(latest));
    let late = start + 5 * GRACE_TIME / 8;
    let deadline = late + 2 * Duration::from_secs(1);
    assert_eq!(schedule.admit(deadline, late), Some(deadline));
    assert_eq!(schedule.admit(latest + MS, latest), None);
}

/// Guards against settings that leave requests no time to end: those that may outlast the grace
/// time are refused from its middle on.
#[parameterized(
    longer_than_the_grace_time = { 9000 },
    nearly_as_long = { 7000 },
)]
fn a_long_unready_time_leaves_time_to_end(unready_ms: u32) {
    let start = Instant::now();
    let schedule = StopSchedule::new(start, unready_ms * MS, GRACE_TIME);
    let admit = |now: Instant| schedule.admit(now + CALLER_TIME, now);
    let middle = GRACE_TIME / 2;
    assert!(admit(start + middle).is_none());
    assert!(admit(start + middle.saturating_sub(MS)).is_some());
}
