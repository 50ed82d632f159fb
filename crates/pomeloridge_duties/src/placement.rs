//! Decides which engines change their role and which load a model.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_policy::server::Role;

use crate::demand::OfferedLoad;
use crate::placement_view::{
    EngineStatus, EngineView, ModelView, PlacementAction, PlacementDecision, PlacementReason,
};

/// Number of variants of [`Role`].
const ROLE_COUNT: usize = 3;

/// Speed of an engine in a specialised role, relative to a mixed engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoleSpeed {
    /// Factor on prefill throughput.
    pub prefill: f64,
    /// Factor on decode throughput.
    pub decode: f64,
}

/// Settings of role placement and model loading.
#[derive(Clone, Copy, Debug)]
pub struct PlacementOptions {
    /// Relative speed of a prefill engine.
    pub prefill: RoleSpeed,
    /// Relative speed of a decode engine.
    pub decode: RoleSpeed,
    /// Time over which the gain of a role change is summed up.
    pub horizon: Duration,
    /// Time for which an engine is out of service during a role change.
    pub role_change_time: Duration,
    /// Smallest ratio of gain to loss at which a role is changed.
    pub min_gain_ratio: f64,
    /// Utilisation below which a role change gains nothing.
    pub low_utilisation: f64,
    /// Time for which the same role change must be proposed without a break before it is made.
    pub debounce_time: Duration,
    /// Most model loads in progress at once in the whole fleet.
    pub max_model_loads: usize,
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
            role_change_time: Duration::from_secs(8),
            min_gain_ratio: 2.0,
            low_utilisation: 0.6,
            debounce_time: Duration::from_secs(10),
            max_model_loads: 2,
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

/// Returns the model loads and the role change proposed for one model; see the
/// placement rules in [`crate::rules`].
///
/// A role change because of a load shift must still pass [`RoleChangeDebounce`].
pub fn decide_placement(view: &ModelView, options: &PlacementOptions) -> Vec<PlacementDecision> {
    if view.config.held {
        return Vec::new();
    }
    let mut decisions = model_loads(view, options);
    let order_pending = view
        .engines
        .iter()
        .any(|engine| engine.status == EngineStatus::OrderPending);
    if !order_pending && decisions.is_empty() {
        decisions
            .extend(pinned_role_change(view, options).or_else(|| best_role_change(view, options)));
    }
    decisions
}

fn model_loads(view: &ModelView, options: &PlacementOptions) -> Vec<PlacementDecision> {
    let free = options.max_model_loads.saturating_sub(view.model_loads);
    let model_missing = |engine: &&EngineView| engine.status == EngineStatus::ModelMissing;
    let engines = view.engines.iter().filter(model_missing).take(free);
    let load = |engine: &EngineView| PlacementDecision {
        action: PlacementAction::LoadModel(engine.id.clone()),
        reason: PlacementReason::ModelMissing,
        gain: options.horizon,
        loss: Duration::ZERO,
    };
    engines.map(load).collect()
}

fn pinned_role_change(view: &ModelView, options: &PlacementOptions) -> Option<PlacementDecision> {
    let engines = view
        .engines
        .iter()
        .filter(|engine| engine.status == EngineStatus::Serving);
    let mut wrong = engines.filter_map(|engine| Some((engine, engine.pinned?)));
    let (engine, to) = wrong.find(|(engine, role)| engine.role != *role)?;
    Some(PlacementDecision {
        action: PlacementAction::ChangeRole {
            engine: engine.id.clone(),
            from: engine.role,
            to,
        },
        reason: PlacementReason::Pinned,
        gain: Duration::ZERO,
        loss: options.role_change_time,
    })
}

/// Capacity of the serving engines, in units of one mixed engine.
#[derive(Clone, Copy, Debug, Default)]
struct Capacity {
    prefill: f64,
    decode: f64,
}

impl Capacity {
    fn of(engines: &[&EngineView], options: &PlacementOptions) -> Self {
        let none = Self::default();
        let add = |sum: Self, engine: &&EngineView| sum.add(options.speed(engine.role), 1.0);
        engines.iter().fold(none, add)
    }

    fn add(self, speed: RoleSpeed, engines: f64) -> Self {
        Self {
            prefill: self.prefill + engines * speed.prefill,
            decode: self.decode + engines * speed.decode,
        }
    }

    /// Returns the higher of the prefill and decode utilisation.
    fn utilisation(self, offered_load: OfferedLoad) -> f64 {
        if self.prefill <= 0.0 || self.decode <= 0.0 {
            return f64::INFINITY;
        }
        (offered_load.prefill / self.prefill).max(offered_load.decode / self.decode)
    }
}

/// Returns the role change with the greatest gain, if the gain outweighs the loss.
///
/// Of changes with equal gain, the one of the least loaded engine is chosen.
fn best_role_change(view: &ModelView, options: &PlacementOptions) -> Option<PlacementDecision> {
    let serving = |engine: &&EngineView| engine.status == EngineStatus::Serving;
    let serving: Vec<_> = view.engines.iter().filter(serving).collect();
    let roles = count_roles(&serving);
    let now = Capacity::of(&serving, options);
    let before = now.utilisation(view.offered_load);
    let is_last_of_role =
        |engine: &EngineView| roles[&engine.data_centre][engine.role as usize] < 2;
    let movable = |engine: &&&EngineView| engine.pinned.is_none() && !is_last_of_role(engine);
    let changes = serving.iter().filter(movable).flat_map(|engine| {
        let others = [Role::Prefill, Role::Decode, Role::Mixed].into_iter();
        let others = others.filter(|role| *role != engine.role);
        others.map(|to| (*engine, to))
    });
    let gains = changes.map(|(engine, to)| {
        let without = now.add(options.speed(engine.role), -1.0);
        let after = without.add(options.speed(to), 1.0);
        let after = after.utilisation(view.offered_load);
        (engine, to, gain(before, after, serving.len(), options))
    });
    let rank = |(engine, _, gain): &(&EngineView, Role, Duration)| {
        (*gain, Reverse(engine.load), Reverse(engine.id.clone()))
    };
    let (engine, to, gain) = gains.max_by_key(rank)?;
    let pays = gain > options.role_change_time.mul_f64(options.min_gain_ratio);
    pays.then(|| PlacementDecision {
        action: PlacementAction::ChangeRole {
            engine: engine.id.clone(),
            from: engine.role,
            to,
        },
        reason: PlacementReason::LoadShift,
        gain,
        loss: options.role_change_time,
    })
}

/// Counts the serving engines of each data centre by role.
fn count_roles<'a>(serving: &[&'a EngineView]) -> HashMap<&'a Name, [u32; ROLE_COUNT]> {
    let mut counts = HashMap::<_, [u32; ROLE_COUNT]>::new();
    for engine in serving {
        let here = counts.entry(&engine.data_centre).or_default();
        here[engine.role as usize] += 1;
    }
    counts
}

/// Returns the engine time gained over the horizon when utilisation falls.
///
/// Utilisation is clamped on both sides: below `low_utilisation` requests hardly
/// queue, and above 2.0 a role change does not become more urgent.
fn gain(before: f64, after: f64, engines: usize, options: &PlacementOptions) -> Duration {
    let bounded = |value: f64| value.clamp(options.low_utilisation, 2.0);
    let fall = (bounded(before) - bounded(after)).max(0.0);
    options.horizon.mul_f64(fall * engines as f64)
}

/// Role change proposed for each model, with the time since which it has been proposed.
#[derive(Clone, Debug, Default)]
pub struct RoleChangeDebounce(BTreeMap<Name, (Role, Instant)>);

impl RoleChangeDebounce {
    /// Returns whether a decision may be carried out now.
    ///
    /// A role change because of a load shift must have been proposed, to the same
    /// role, without a break for `debounce_time`; other decisions need not wait.
    pub fn allows(
        &mut self,
        model: &Name,
        decision: &PlacementDecision,
        now: Instant,
        options: &PlacementOptions,
    ) -> bool {
        let PlacementAction::ChangeRole { to, .. } = &decision.action else {
            return true;
        };
        if decision.reason != PlacementReason::LoadShift {
            return true;
        }
        let proposed = self.0.get(model).filter(|(role, _)| role == to);
        let since = proposed.map_or(now, |(_, since)| *since);
        self.0.insert(model.clone(), (*to, since));
        now.saturating_duration_since(since) >= options.debounce_time
    }

    /// Discards the role change proposed for a model, after it was ordered or is no longer proposed.
    pub fn reset(&mut self, model: &Name) {
        self.0.remove(model);
    }
}
