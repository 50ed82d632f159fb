//! Carries out role and model placement, one round at a time.

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
use crate::placement::{PlacementOptions, RoleChangeDebounce};
use crate::placement_baseline::PlacementPolicy;
use crate::placement_view::{EngineStatus, EngineView, ModelView, PlacementAction};
use crate::pool_config::{PoolConfig, ServerRates};

/// Weight of the newest demand in the exponential moving average of the offered load.
const LOAD_SMOOTHING_FACTOR: f64 = 0.2;

/// State of role and model placement while one holder has the lease.
pub(crate) struct Placement {
    policy: PlacementPolicy,
    options: PlacementOptions,
    offered_loads: BTreeMap<Name, OfferedLoad>,
    debounce: RoleChangeDebounce,
}

impl Placement {
    pub(crate) fn new(policy: PlacementPolicy, options: PlacementOptions) -> Self {
        Self {
            policy,
            options,
            offered_loads: BTreeMap::new(),
            debounce: RoleChangeDebounce::default(),
        }
    }

    /// Decides on one pool and records the goals of its engines.
    pub(crate) async fn reconcile(
        &mut self,
        context: &DutyContext,
        engines: (&mut EngineGoals, &EngineGoalOptions),
        snapshot: &FleetSnapshot,
        config: &PoolConfig,
        servers: &[BackendServer],
    ) -> Result<(), PlatformError> {
        let Some(rates) = config.rates else {
            return Ok(());
        };
        let (engine_goals, options) = engines;
        let now = context.now();
        let offered_load = self.average_load(snapshot, config, rates);
        let views = engine_views(servers, snapshot, config, engine_goals, now);
        let view = ModelView {
            config,
            engines: &views,
            offered_load,
            model_loads: engine_goals.open_load_count(),
        };
        let decisions = self.policy.decide(&view, &self.options);
        let changes_role =
            |choice: &PlacementAction| matches!(choice, PlacementAction::ChangeRole { .. });
        if !decisions
            .iter()
            .any(|decision| changes_role(&decision.action))
        {
            self.debounce.reset(&config.name);
        }
        for decision in decisions {
            let allowed = self
                .debounce
                .allows(&config.name, &decision, now, &self.options);
            if self.policy.debounces() && !allowed {
                continue;
            }
            log::info!("placement pool={} {decision}", config.name);
            let (engine, goal) = match decision.action {
                PlacementAction::ChangeRole { engine, to, .. } => {
                    self.debounce.reset(&config.name);
                    (engine, Goal::Role { role: to.into() })
                }
                PlacementAction::LoadModel(engine) => {
                    let model = config.name.clone();
                    (engine, Goal::Load { model })
                }
            };
            engine_goals.begin(context, options, &engine, goal).await?;
        }
        Ok(())
    }

    fn average_load(
        &mut self,
        snapshot: &FleetSnapshot,
        config: &PoolConfig,
        rates: ServerRates,
    ) -> OfferedLoad {
        let demand = snapshot
            .demand
            .pools
            .get(&config.name)
            .copied()
            .unwrap_or_default();
        let present = demand.offered_load(rates);
        let average = self
            .offered_loads
            .entry(config.name.clone())
            .or_insert(present);
        *average = average.interpolate(present, LOAD_SMOOTHING_FACTOR);
        *average
    }
}

fn engine_views(
    servers: &[BackendServer],
    snapshot: &FleetSnapshot,
    config: &PoolConfig,
    engine_goals: &mut EngineGoals,
    now: Instant,
) -> Vec<EngineView> {
    let engines = servers
        .iter()
        .filter(|server| server.kind == ServerKind::Engine && server.pool == config.name);
    let view = |server: &BackendServer| {
        let load = snapshot.loads.get(&server.id);
        EngineView {
            id: server.id.clone(),
            data_centre: server.data_centre.clone(),
            role: last_reported_role(load),
            status: engine_status(server, snapshot, engine_goals, now),
            pinned: snapshot.exceptions.pinned.get(&server.id).copied(),
            load: load.map_or(0, |load| load.running + load.queued),
        }
    };
    engines.map(view).collect()
}

fn engine_status(
    server: &BackendServer,
    snapshot: &FleetSnapshot,
    engine_goals: &mut EngineGoals,
    now: Instant,
) -> EngineStatus {
    let Some(load) = snapshot.loads.get(&server.id) else {
        return EngineStatus::Unavailable;
    };
    let drained = engine_goals.release_drain(&server.id, now).is_some();
    if snapshot.exceptions.drained.contains(&server.id) || drained {
        EngineStatus::Drained
    } else if engine_goals.is_changing(&server.id, now) {
        EngineStatus::OrderPending
    } else if policy_server_state(server) != ServerState::Ready || load.leaving || !load.reachable {
        EngineStatus::Unavailable
    } else if !load.models.is_empty() && !load.models.contains(&server.pool) {
        EngineStatus::ModelMissing
    } else {
        EngineStatus::Serving
    }
}
