//! Decides which engines run prefill and which run decode.
//!
//! The mix of prefill and decode work may differ from the stages in which engines start,
//! and may shift for longer than a stage change takes. Engines are divided in proportion
//! to the work. Under load, a change is made only if the division is off by more than a
//! whole engine, and only one change at a time.

use pomeloridge_base::id::Name;

use crate::dispatch::Stage;

/// Share of the engines that are assigned to prefill while there is no load.
const IDLE_PREFILL_SHARE: f64 = 0.45;
/// Load in engines below which stage changes have no cost.
const IDLE_LOAD: f64 = 0.2;
/// Number of engines by which the division must be off before a change under load.
const LOADED_TOLERANCE: f64 = 1.2;
/// Maximum number of concurrent changes while there is no load.
const MAX_IDLE_CHANGES: usize = 8;

/// The state of an engine on which the decision is based.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Identity.
    pub id: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Stage; the new one if a change is in progress.
    pub stage: Stage,
    /// Requests running on it.
    pub running: u32,
    /// Whether a stage change is in progress.
    pub changing: bool,
    /// Whether this node can't reach it. It counts in its stage, as it may be back soon, but takes
    /// no order.
    pub ejected: bool,
}

/// Load as the number of engines that it would fully use.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Prefill load.
    pub prefill: f64,
    /// Decode load.
    pub decode: f64,
}

impl StageLoad {
    /// Returns the total load.
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }

    /// Returns whether the load is so low that stage changes have no cost.
    pub fn is_idle(&self) -> bool {
        self.total() < IDLE_LOAD
    }
}

/// A stage change of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Identity of the engine.
    pub id: Name,
    /// New stage.
    pub stage: Stage,
}

/// Returns the stage changes to order now.
pub fn plan_stage_changes(engines: &[EngineView], load: StageLoad) -> Vec<StageChange> {
    let staged: Vec<&EngineView> = engines
        .iter()
        .filter(|engine| engine.stage != Stage::Unified)
        .collect();
    let count = staged.len();
    if count < 2 {
        return Vec::new();
    }
    let in_progress = staged.iter().filter(|engine| engine.changing).count();
    let idle = load.is_idle();
    let prefill_share = if idle {
        IDLE_PREFILL_SHARE
    } else {
        load.prefill / load.total()
    };
    let target = (count as f64 * prefill_share).clamp(1.0, count as f64 - 1.0);
    let prefill_engines = of_stage(&staged, Stage::Prefill).count() as f64;
    let difference = target - prefill_engines;
    let tolerance = if idle { 0.5 } else { LOADED_TOLERANCE };
    let max_changes = if idle { MAX_IDLE_CHANGES } else { 1 };
    if difference.abs() <= tolerance || in_progress >= max_changes {
        return Vec::new();
    }
    let (from, to) = if difference > 0.0 {
        (Stage::Decode, Stage::Prefill)
    } else {
        (Stage::Prefill, Stage::Decode)
    };
    let change_count = (difference.abs().round() as usize).clamp(1, max_changes - in_progress);
    pick_engines(&staged, from, to, change_count)
}

fn of_stage<'a>(
    engines: &'a [&EngineView],
    stage: Stage,
) -> impl Iterator<Item = &'a EngineView> + 'a {
    let engines = engines.iter().copied();
    engines.filter(move |engine| engine.stage == stage)
}

/// Picks the engines to change, first from the data centres with the fewest engines of the
/// new stage, and there the least busy ones.
fn pick_engines(engines: &[&EngineView], from: Stage, to: Stage, count: usize) -> Vec<StageChange> {
    let mut picked: Vec<&EngineView> = Vec::new();
    for _ in 0..count {
        let in_centre = |centre: &Name| {
            let existing = of_stage(engines, to).filter(|e| e.data_centre == *centre);
            let planned = picked.iter().filter(|e| e.data_centre == *centre);
            existing.count() + planned.count()
        };
        let candidates = of_stage(engines, from).filter(|engine| {
            !engine.changing && !engine.ejected && !picked.iter().any(|t| t.id == engine.id)
        });
        let best = candidates.min_by_key(|engine| (in_centre(&engine.data_centre), engine.running));
        let Some(best) = best else { break };
        picked.push(best);
    }
    let change = |engine: &EngineView| StageChange {
        id: engine.id.clone(),
        stage: to,
    };
    picked.into_iter().map(change).collect()
}
