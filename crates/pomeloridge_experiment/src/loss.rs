//! Effect of the loss of a data centre on callers.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::plan::{Plan, Reclaim};
use crate::record::Record;
use crate::report::rounded;
use crate::verdict::Verdict;

/// Time before the loss that serves as the baseline, in unscaled s.
const BASELINE_S: f64 = 120.0;
/// Gap between tokens that counts as a stall, in multiples of the gap target; a
/// stream stalls while another engine resumes it.
const STALL_GAPS: f64 = 20.0;
/// Error codes that end a stream whose backend server was lost.
const SERVER_CODES: [&str; 2] = ["server_lost", "deadline_passed"];

/// Effect of the loss of a data centre on callers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LossReport {
    /// Data centre that was lost.
    pub data_centre: String,
    /// Real seconds from the loss until the last request was sent that still hit a
    /// lost server: a 502 or 504, a lost answer, a stream that ended with such an
    /// error or stalled, or a node that refused the connection. Failures that a
    /// node hides by a quick retry before the first token are not counted.
    pub stale_s: f64,
    /// Requests in flight at the loss or sent after it that hit a lost server.
    pub hit: u64,
    /// Share of accepted requests before the loss that got no good answer.
    pub late_before: f64,
    /// Share of accepted requests after the loss that got no good answer.
    pub late_after: f64,
    /// Excess of `late_after` over what the lost capacity explains.
    pub late_excess: f64,
}

/// Compares the time after the plan's loss with the time before.
pub fn loss_report(
    plan: &Plan,
    loss: &Reclaim,
    records: &[Record],
    verdicts: &[Verdict],
) -> LossReport {
    let at = Duration::from_secs_f64(loss.at_s);
    let from = at.saturating_sub(Duration::from_secs_f64(BASELINE_S / plan.scale));
    let all = || records.iter().zip(verdicts);
    let before = all().filter(|(record, _)| record.start >= from && record.end < at);
    let after = all().filter(|(record, _)| record.start >= at);
    let late_before = late_share(before);
    let late_after = late_share(after.clone());
    let explained = 1.0 - (1.0 - late_before) * loss.left.min(1.0);
    let hits = after.filter(|(record, verdict)| hit_lost_server(plan, at, record, **verdict));
    let stale = hits
        .map(|(record, _)| record.start.saturating_sub(at))
        .max();
    let affected = all().filter(|(record, _)| record.end >= at);
    let hit = affected.filter(|(record, verdict)| hit_lost_server(plan, at, record, **verdict));
    LossReport {
        data_centre: loss.data_centre.clone(),
        stale_s: rounded(stale.unwrap_or_default().as_secs_f64()),
        hit: hit.count() as u64,
        late_before: rounded(late_before),
        late_after: rounded(late_after),
        late_excess: rounded((late_after - explained).max(0.0)),
    }
}

/// Returns whether a caller could see that its request hit a lost server or node.
fn hit_lost_server(plan: &Plan, at: Duration, record: &Record, verdict: Verdict) -> bool {
    let cut = SERVER_CODES.contains(&record.code.as_str());
    let status = matches!(record.status, 502 | 504);
    let lost = verdict == Verdict::Lost || record.connect_failures > 0;
    status || cut || lost || stalled(plan, at, record)
}

/// Returns whether a stream stalled after `at`.
fn stalled(plan: &Plan, at: Duration, record: &Record) -> bool {
    let longest = plan.scaled(plan.targets.gap_ms * STALL_GAPS);
    let mut pairs = record.tokens.windows(2);
    pairs.any(|pair| {
        let gap = pair[1].saturating_sub(pair[0]);
        gap > longest && record.start + pair[1] >= at
    })
}

/// Returns the share of accepted requests without a good answer; 0 if none was accepted.
fn late_share<'a>(records: impl Iterator<Item = (&'a Record, &'a Verdict)>) -> f64 {
    let (mut accepted, mut late) = (0_u64, 0_u64);
    for (_, verdict) in records.filter(|(_, verdict)| **verdict != Verdict::Refused) {
        accepted += 1;
        late += u64::from(*verdict != Verdict::Good);
    }
    late as f64 / accepted.max(1) as f64
}
