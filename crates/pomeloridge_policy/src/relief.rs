//! Decides whether a run moves to another engine because it would end too late where it is.
//!
//! An engine may turn slow, or be reclaimed, after it was chosen. What its run has sent so far shows
//! how long the rest takes there. The run's KV cache can be moved while it goes on, so that another
//! engine continues it at the cost of a transfer. That pays only if the run would miss its deadline
//! or its gap target where it is, and another engine is clearly faster: both times are predictions
//! that are off by a factor. If all engines are slow, nothing moves.
//!
//! A run that can't end in time on any engine stays. The length of its answer is an estimate, so
//! that it may still end in time, and its caller reads what it gets until then.

use std::time::Duration;

use derive_more::Display;

/// Share of the time left within which a run is expected to end if it does so on time.
const SAFE_SHARE: f64 = 0.8;
/// Factor by which a run must end sooner elsewhere.
const MIN_GAIN: u32 = 2;
/// Multiple of the time of the transfer that a run must still have to go to be moved.
const MIN_TRANSFERS: u32 = 4;
/// Gaps after which the pace of a run is known.
const MIN_GAPS: u64 = 2;
/// Longest part of the gap target, or of the time left without one, that a transfer may take.
const MAX_TRANSFER_SHARE: f64 = 0.5;

/// What is known of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunProgress {
    /// Gaps between the events so far.
    pub gaps: u64,
    /// Time that a gap has taken lately.
    pub gap: Duration,
    /// Events still expected.
    pub events_left: f64,
    /// Time until the caller leaves.
    pub time_left: Duration,
    /// Time until the engine leaves, if that is known.
    pub engine_left: Option<Duration>,
    /// Target for a gap, unless it has been missed already.
    pub gap_target: Option<Duration>,
}

impl RunProgress {
    /// Returns the time that the rest takes on its engine.
    pub fn end(&self) -> Duration {
        self.gap.mul_f64(self.events_left)
    }

    /// Returns why the run should move, if it should.
    pub fn need(&self) -> Option<ReliefReason> {
        let engine_left = self.engine_left.unwrap_or(Duration::MAX);
        if self.gaps < MIN_GAPS {
            return None;
        }
        if self.end() > engine_left {
            return Some(ReliefReason::Leaving);
        }
        if self.end() > self.time_left.mul_f64(SAFE_SHARE) {
            return Some(ReliefReason::Deadline);
        }
        let is_near = |target: Duration| self.gap > target.mul_f64(SAFE_SHARE);
        self.gap_target
            .is_some_and(is_near)
            .then_some(ReliefReason::Gap)
    }
}

/// Why a run moves.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ReliefReason {
    /// Its caller would leave before its end.
    #[display("deadline")]
    Deadline,
    /// Its events come nearly as slowly as its caller accepts.
    #[display("gap")]
    Gap,
    /// Its engine leaves before its end.
    #[display("leaving")]
    Leaving,
}

/// An engine that may continue a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReliefEngine<K> {
    /// Engine.
    pub engine: K,
    /// Time that moving the KV cache takes.
    pub transfer: Duration,
    /// Time between two events there.
    pub gap: Duration,
}

/// A decision to move a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Move<K> {
    /// Engine that continues the run.
    pub engine: K,
    /// Why.
    pub reason: ReliefReason,
    /// Time that the rest would take where the run is.
    pub stay: Duration,
    /// Time that the rest takes on the other engine, the transfer included.
    pub end: Duration,
}

/// Returns where a run moves, or `None` if it stays. The engines have room for it.
pub fn decide<K: Copy>(
    run: &RunProgress,
    engines: impl IntoIterator<Item = ReliefEngine<K>>,
) -> Option<Move<K>> {
    let reason = run.need()?;
    let stay = run.end();
    let longest_transfer = run
        .gap_target
        .unwrap_or(run.time_left)
        .mul_f64(MAX_TRANSFER_SHARE);
    let moves = engines.into_iter().filter_map(|engine| {
        let rest = engine.gap.mul_f64(run.events_left);
        let end = engine.transfer + rest;
        let is_quick =
            engine.transfer <= longest_transfer && engine.transfer * MIN_TRANSFERS < stay;
        let helps = match reason {
            ReliefReason::Leaving => end <= run.time_left,
            ReliefReason::Deadline => {
                end <= run.time_left.mul_f64(SAFE_SHARE) && end * MIN_GAIN <= stay
            }
            ReliefReason::Gap => engine.gap * MIN_GAIN <= run.gap,
        };
        (is_quick && helps).then_some(Move {
            engine: engine.engine,
            reason,
            stay,
            end,
        })
    });
    moves.min_by_key(|found| found.end)
}
