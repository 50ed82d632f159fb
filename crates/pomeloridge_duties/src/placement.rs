//! The decision which engine takes which role, and which loads a model.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

use crate::demand::OfferedLoad;
use crate::placement_view::{
    EngineView, ModelView, PlacementChoice, PlacementDecision, PlacementReason, Standing,
};

/// Number of roles.
const ROLES: usize = 3;

/// How much faster than a mixed engine an engine of some role works.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSpeed {
    /// Factor on reading prompts.
    pub prefill: f64,
    /// Factor on making output.
    pub decode: f64,
}

/// Settings of placement.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOptions {
    /// Speeds of a prefill engine.
    pub prefill: RoleSpeed,
    /// Speeds of a decode engine.
    pub decode: RoleSpeed,
    /// Time over which a move must pay.
    pub horizon: Duration,
    /// Time for which an engine is away for a move.
    pub change: Duration,
    /// Gain must be so many times the loss.
    pub margin: f64,
    /// Utilisation below which nothing is gained by a move.
    pub relaxed: f64,
    /// Time for which the same move must have been wanted.
    pub hold: Duration,
    /// Loads of models under way at once in the whole fleet.
    pub loads: usize,
}

impl Default for PlacementOptions {
    fn default() -> Self {
        Self {
            prefill: RoleSpeed {
                prefill: 1.6,
                decode: 0.5,
            },
            decode: RoleSpeed {
                prefill: 0.4,
                decode: 1.3,
            },
            horizon: Duration::from_mins(1),
            change: Duration::from_secs(8),
            margin: 2.0,
            relaxed: 0.6,
            hold: Duration::from_secs(10),
            loads: 2,
        }
    }
}

impl PlacementOptions {
    fn speed(&self, role: Role) -> RoleSpeed {
        match role {
            Role::Prefill => self.prefill,
            Role::Decode => self.decode,
            Role::Mixed => RoleSpeed {
                prefill: 1.0,
                decode: 1.0,
            },
        }
    }
}

/// Decides on loads and on the move wanted for one model; see the rules on placement.
///
/// A move for the mix still has to be wanted for the hold time.
pub fn place(view: &ModelView, options: &PlacementOptions) -> Vec<PlacementDecision> {
    if view.plan.held {
        return Vec::new();
    }
    let mut decisions = loads(view, options);
    let moving = view
        .engines
        .iter()
        .any(|engine| engine.standing == Standing::Ordered);
    if !moving && decisions.is_empty() {
        decisions.extend(pinned(view, options).or_else(|| best_move(view, options)));
    }
    decisions
}

fn loads(view: &ModelView, options: &PlacementOptions) -> Vec<PlacementDecision> {
    let free = options.loads.saturating_sub(view.loads);
    let lacking = |engine: &&EngineView| engine.standing == Standing::Lacking;
    let engines = view.engines.iter().filter(lacking).take(free);
    let load = |engine: &EngineView| PlacementDecision {
        choice: PlacementChoice::Load(engine.id.clone()),
        reason: PlacementReason::Lacking,
        gain: options.horizon,
        loss: Duration::ZERO,
    };
    engines.map(load).collect()
}

fn pinned(view: &ModelView, options: &PlacementOptions) -> Option<PlacementDecision> {
    let engines = view
        .engines
        .iter()
        .filter(|engine| engine.standing == Standing::Serving);
    let mut wrong = engines.filter_map(|engine| Some((engine, engine.pinned?)));
    let (engine, to) = wrong.find(|(engine, role)| engine.role != *role)?;
    Some(PlacementDecision {
        choice: PlacementChoice::Move {
            engine: engine.id.clone(),
            from: engine.role,
            to,
        },
        reason: PlacementReason::Pinned,
        gain: Duration::ZERO,
        loss: options.change,
    })
}

/// What the serving engines can do, in mixed engines.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    prefill: f64,
    decode: f64,
}

impl Capacity {
    fn of(engines: &[&EngineView], options: &PlacementOptions) -> Self {
        let none = Self::default();
        let add = |sum: Self, engine: &&EngineView| sum.changed(options.speed(engine.role), 1.0);
        engines.iter().fold(none, add)
    }

    fn changed(self, speed: RoleSpeed, by: f64) -> Self {
        Self {
            prefill: self.prefill + by * speed.prefill,
            decode: self.decode + by * speed.decode,
        }
    }

    /// The utilisation of the scarcer kind of work.
    fn utilisation(self, mix: OfferedLoad) -> f64 {
        if self.prefill <= 0.0 || self.decode <= 0.0 {
            return f64::INFINITY;
        }
        (mix.prefill / self.prefill).max(mix.decode / self.decode)
    }
}

/// The move that gains most, if it gains more than it costs.
///
/// Among moves that gain the same, the least loaded engine is taken.
fn best_move(view: &ModelView, options: &PlacementOptions) -> Option<PlacementDecision> {
    let serving = |engine: &&EngineView| engine.standing == Standing::Serving;
    let serving: Vec<_> = view.engines.iter().filter(serving).collect();
    let roles = count_roles(&serving);
    let now = Capacity::of(&serving, options);
    let before = now.utilisation(view.mix);
    let last = |engine: &EngineView| roles[&engine.data_centre][engine.role as usize] < 2;
    let free = |engine: &&&EngineView| engine.pinned.is_none() && !last(engine);
    let moves = serving.iter().filter(free).flat_map(|engine| {
        let others = [Role::Prefill, Role::Decode, Role::Mixed].into_iter();
        let others = others.filter(|role| *role != engine.role);
        others.map(|to| (*engine, to))
    });
    let gains = moves.map(|(engine, to)| {
        let without = now.changed(options.speed(engine.role), -1.0);
        let after = without.changed(options.speed(to), 1.0);
        let after = after.utilisation(view.mix);
        (engine, to, gain(before, after, serving.len(), options))
    });
    let rank = |(engine, _, gain): &(&EngineView, Role, Duration)| {
        (*gain, Reverse(engine.load), Reverse(engine.id.clone()))
    };
    let (engine, to, gain) = gains.max_by_key(rank)?;
    let pays = gain > options.change.mul_f64(options.margin);
    pays.then(|| PlacementDecision {
        choice: PlacementChoice::Move {
            engine: engine.id.clone(),
            from: engine.role,
            to,
        },
        reason: PlacementReason::Mix,
        gain,
        loss: options.change,
    })
}

/// Serving engines in each data centre, by role.
fn count_roles<'a>(serving: &[&'a EngineView]) -> HashMap<&'a Name, [u32; ROLES]> {
    let mut counts = HashMap::<_, [u32; ROLES]>::new();
    for engine in serving {
        let here = counts.entry(&engine.data_centre).or_default();
        here[engine.role as usize] += 1;
    }
    counts
}

/// Engine time gained over the horizon when utilisation falls.
///
/// Below the relaxed utilisation requests hardly wait for each other, and
/// beyond twice what the engines can do a move is as urgent as it can be.
fn gain(before: f64, after: f64, engines: usize, options: &PlacementOptions) -> Duration {
    let bounded = |value: f64| value.clamp(options.relaxed, 2.0);
    let fall = (bounded(before) - bounded(after)).max(0.0);
    options.horizon.mul_f64(fall * engines as f64)
}

/// Since when each model has wanted its move.
#[derive(Clone, Debug, Default)]
pub struct MoveHold(BTreeMap<Name, (Role, Instant)>);

impl MoveHold {
    /// Whether a decision may be carried out now.
    ///
    /// A move for the mix must have been wanted, to the same role, without a
    /// break for the hold time; other decisions need not wait.
    pub fn allows(
        &mut self,
        model: &Name,
        decision: &PlacementDecision,
        now: Instant,
        options: &PlacementOptions,
    ) -> bool {
        let PlacementChoice::Move { to, .. } = &decision.choice else {
            return true;
        };
        if decision.reason != PlacementReason::Mix {
            return true;
        }
        let wanted = self.0.get(model).filter(|(role, _)| role == to);
        let since = wanted.map_or(now, |(_, since)| *since);
        self.0.insert(model.clone(), (*to, since));
        now.saturating_duration_since(since) >= options.hold
    }

    /// Notes that a model wants no move, or has been given one.
    pub fn clear(&mut self, model: &Name) {
        self.0.remove(model);
    }
}
