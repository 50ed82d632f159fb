//! Carries the placement of roles and models out, one round at a time.

use std::collections::BTreeMap;
use std::time::Instant;

use pomeloridge_base::id::Name;
use pomeloridge_platform::{BackendServer, PlatformError, ServerKind};
use pomeloridge_policy::server::ServerState;

use crate::autoscaling_task::{last_reported_role, policy_server_state};
use crate::demand::OfferedLoad;
use crate::engine_goals::{EngineGoalOptions, EngineGoals};
use crate::engine_order::DutyContext;
use crate::fleet_snapshot::FleetSnapshot;
use crate::goal::Goal;
use crate::placement::{MoveHold, PlacementOptions};
use crate::placement_baseline::PlacementPolicy;
use crate::placement_view::{EngineView, ModelView, PlacementChoice, Standing};
use crate::plan::{PoolPlan, ServerRates};

/// Part of the averaged mix that each round's demand makes.
const MIX_PART: f64 = 0.2;

/// The placement of roles in one holding of the lease.
pub(crate) struct Placement {
    policy: PlacementPolicy,
    options: PlacementOptions,
    mixes: BTreeMap<Name, OfferedLoad>,
    hold: MoveHold,
}

impl Placement {
    pub(crate) fn new(policy: PlacementPolicy, options: PlacementOptions) -> Self {
        Self {
            policy,
            options,
            mixes: BTreeMap::new(),
            hold: MoveHold::default(),
        }
    }

    /// Decides on one pool and writes the goals of its engines.
    pub(crate) async fn act(
        &mut self,
        context: &DutyContext,
        engines: (&mut EngineGoals, &EngineGoalOptions),
        facts: &FleetSnapshot,
        plan: &PoolPlan,
        servers: &[BackendServer],
    ) -> Result<(), PlatformError> {
        let Some(rates) = plan.rates else {
            return Ok(());
        };
        let (line, options) = engines;
        let now = context.now();
        let mix = self.average(facts, plan, rates);
        let views = engine_views(servers, facts, plan, line, now);
        let view = ModelView {
            plan,
            engines: &views,
            mix,
            loads: line.open_load_count(),
        };
        let decisions = self.policy.decide(&view, &self.options);
        let moves = |choice: &PlacementChoice| matches!(choice, PlacementChoice::Move { .. });
        if !decisions.iter().any(|decision| moves(&decision.choice)) {
            self.hold.clear(&plan.pool);
        }
        for decision in decisions {
            let allowed = self.hold.allows(&plan.pool, &decision, now, &self.options);
            if self.policy.holds() && !allowed {
                continue;
            }
            log::info!("placement pool={} {decision}", plan.pool);
            let (engine, goal) = match decision.choice {
                PlacementChoice::Move { engine, to, .. } => {
                    self.hold.clear(&plan.pool);
                    (engine, Goal::Role { role: to.into() })
                }
                PlacementChoice::Load(engine) => {
                    let model = plan.pool.clone();
                    (engine, Goal::Load { model })
                }
            };
            line.begin(context, options, &engine, goal).await?;
        }
        Ok(())
    }

    fn average(
        &mut self,
        facts: &FleetSnapshot,
        plan: &PoolPlan,
        rates: ServerRates,
    ) -> OfferedLoad {
        let demand = facts
            .demand
            .pools
            .get(&plan.pool)
            .copied()
            .unwrap_or_default();
        let present = demand.offered_load(rates);
        let mix = self.mixes.entry(plan.pool.clone()).or_insert(present);
        *mix = mix.interpolate(present, MIX_PART);
        *mix
    }
}

fn engine_views(
    servers: &[BackendServer],
    facts: &FleetSnapshot,
    plan: &PoolPlan,
    line: &mut EngineGoals,
    now: Instant,
) -> Vec<EngineView> {
    let engines = servers
        .iter()
        .filter(|server| server.kind == ServerKind::Engine && server.pool == plan.pool);
    let view = |server: &BackendServer| {
        let load = facts.loads.get(&server.id);
        EngineView {
            id: server.id.clone(),
            data_centre: server.data_centre.clone(),
            role: last_reported_role(load),
            standing: standing(server, facts, line, now),
            pinned: facts.exceptions.pinned.get(&server.id).copied(),
            load: load.map_or(0, |load| load.running + load.queued),
        }
    };
    engines.map(view).collect()
}

fn standing(
    server: &BackendServer,
    facts: &FleetSnapshot,
    line: &mut EngineGoals,
    now: Instant,
) -> Standing {
    let Some(load) = facts.loads.get(&server.id) else {
        return Standing::Away;
    };
    let drained = line.release_drain(&server.id, now).is_some();
    if facts.exceptions.drained.contains(&server.id) || drained {
        Standing::Excepted
    } else if line.is_changing(&server.id, now) {
        Standing::Ordered
    } else if policy_server_state(server) != ServerState::Ready || load.leaving || !load.reachable {
        Standing::Away
    } else if !load.models.is_empty() && !load.models.contains(&server.pool) {
        Standing::Lacking
    } else {
        Standing::Serving
    }
}
