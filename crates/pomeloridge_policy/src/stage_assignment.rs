//! Which engines read prompts and which make tokens.
//!
//! Pattern answered: the mix of prompt and output work differs from the stages
//! that the engines came with, and swings for longer than a change of stage costs.
//! The engines are divided as the work is; a change is made only for a whole
//! engine's worth of work, and one at a time while there is load.

use pomeloridge_base::id::Name;

use crate::dispatch::Stage;

/// Part of the engines that read prompts before any load was seen.
const READERS_BEFORE_LOAD: f64 = 0.45;
/// Load, in engines, below which changes cost nothing.
const IDLE_LOAD: f64 = 0.2;
/// Engines by which the division must be off before a change under load.
const LOADED_SLACK: f64 = 1.2;
/// Changes that may be under way at once while there is no load.
const IDLE_CHANGES: usize = 8;

/// An engine as the decision sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineView {
    /// Identity.
    pub id: Name,
    /// Data centre.
    pub data_centre: Name,
    /// Stage, the new one if a change is under way.
    pub stage: Stage,
    /// Requests that run there.
    pub running: u32,
    /// Whether a change is under way.
    pub changing: bool,
}

/// Work in engines that would be fully used by it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageLoad {
    /// Reading of prompts.
    pub prefill: f64,
    /// Making of tokens.
    pub decode: f64,
}

impl StageLoad {
    /// All work.
    pub fn total(&self) -> f64 {
        self.prefill + self.decode
    }

    /// Whether there is so little work that changes cost nothing.
    pub fn is_idle(&self) -> bool {
        self.total() < IDLE_LOAD
    }
}

/// A change of an engine's stage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StageChange {
    /// Engine.
    pub id: Name,
    /// Stage that it is to have.
    pub stage: Stage,
}

/// Decides the changes to be ordered now.
pub fn plan_stage_changes(engines: &[EngineView], load: StageLoad) -> Vec<StageChange> {
    let staged: Vec<&EngineView> = engines
        .iter()
        .filter(|engine| engine.stage != Stage::Unified)
        .collect();
    let count = staged.len();
    if count < 2 {
        return Vec::new();
    }
    let under_way = staged.iter().filter(|engine| engine.changing).count();
    let idle = load.is_idle();
    let part = if idle {
        READERS_BEFORE_LOAD
    } else {
        load.prefill / load.total()
    };
    let wanted = (count as f64 * part).clamp(1.0, count as f64 - 1.0);
    let readers = of_stage(&staged, Stage::Prefill).count() as f64;
    let off = wanted - readers;
    let slack = if idle { 0.5 } else { LOADED_SLACK };
    let allowed = if idle { IDLE_CHANGES } else { 1 };
    if off.abs() <= slack || under_way >= allowed {
        return Vec::new();
    }
    let (from, to) = if off > 0.0 {
        (Stage::Decode, Stage::Prefill)
    } else {
        (Stage::Prefill, Stage::Decode)
    };
    let number = (off.abs().round() as usize).clamp(1, allowed - under_way);
    pick(&staged, from, to, number)
}

fn of_stage<'a>(
    engines: &'a [&EngineView],
    stage: Stage,
) -> impl Iterator<Item = &'a EngineView> + 'a {
    let engines = engines.iter().copied();
    engines.filter(move |engine| engine.stage == stage)
}

/// The least busy engines, first where their new stage is rarest.
fn pick(engines: &[&EngineView], from: Stage, to: Stage, number: usize) -> Vec<StageChange> {
    let mut taken: Vec<&EngineView> = Vec::new();
    for _ in 0..number {
        let in_centre = |centre: &Name| {
            let there = of_stage(engines, to).filter(|e| e.data_centre == *centre);
            let soon = taken.iter().filter(|e| e.data_centre == *centre);
            there.count() + soon.count()
        };
        let open = of_stage(engines, from)
            .filter(|engine| !engine.changing && !taken.iter().any(|t| t.id == engine.id));
        let best = open.min_by_key(|engine| (in_centre(&engine.data_centre), engine.running));
        let Some(best) = best else { break };
        taken.push(best);
    }
    let change = |engine: &EngineView| StageChange {
        id: engine.id.clone(),
        stage: to,
    };
    taken.into_iter().map(change).collect()
}
