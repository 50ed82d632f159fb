//! Carries the ordering of servers out, one round at a time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_platform::{BackendServer, Client, OrderAction, OrderStatus, PlatformError};
use pomeloridge_policy::server::{self, Role};

use crate::autoscaling::AutoscalingOptions;
use crate::autoscaling_baseline::AutoscalingPolicy;
use crate::autoscaling_view::{
    Drain, PoolView, Prices, ScalingAction, ScalingDecision, ServerView,
};
use crate::demand::DemandHistory;
use crate::engine_goals::{EngineGoalOptions, EngineGoals};
use crate::engine_order::DutyContext;
use crate::fleet_snapshot::{FleetSnapshot, ServerLoad};
use crate::goal::Goal;
use crate::plan::PoolPlan;
use crate::server_orders::ServerOrders;

/// Time for which a data centre's cheap servers are not ordered after a reclaim.
const RECLAIM_PAUSE: Duration = Duration::from_mins(10);

/// Time for which a server must have said that it will stop, without an order to
/// it, before it is not counted on: load reports lag.
const LEAVING_TIME: Duration = Duration::from_secs(5);

/// The ordering of servers in one holding of the lease.
pub(crate) struct Autoscaler {
    line: ServerOrders,
    policy: AutoscalingPolicy,
    options: AutoscalingOptions,
    histories: BTreeMap<Name, DemandHistory>,
    prices: BTreeMap<Name, Prices>,
    cheap: BTreeMap<Name, Name>,
    reclaimed: BTreeMap<Name, Instant>,
    leaving: BTreeMap<Name, Instant>,
}

impl Autoscaler {
    pub(crate) async fn load(
        client: &Client,
        policy: AutoscalingPolicy,
        options: AutoscalingOptions,
        delay: Duration,
    ) -> Result<Self, PlatformError> {
        Ok(Self {
            line: ServerOrders::load(client, delay).await?,
            policy,
            options,
            histories: BTreeMap::new(),
            prices: BTreeMap::new(),
            cheap: BTreeMap::new(),
            reclaimed: BTreeMap::new(),
            leaving: BTreeMap::new(),
        })
    }

    pub(crate) fn is_stale(&self) -> bool {
        self.line.is_stale()
    }

    /// Takes in what was read and settles outstanding orders.
    pub(crate) async fn settle(
        &mut self,
        context: &DutyContext,
        orders: &[OrderStatus],
        servers: &[BackendServer],
    ) {
        self.line.settle(context, orders, servers).await;
        self.note_reclaims(servers, context.now());
        for server in servers {
            let prices = self.prices.entry(server.pool.clone()).or_default();
            let price = if server.cheap {
                &mut prices.cheap
            } else {
                &mut prices.regular
            };
            *price = Some(server.price);
        }
    }

    /// Notes data centres whose cheap servers leave without an order of this duty.
    fn note_reclaims(&mut self, servers: &[BackendServer], now: Instant) {
        let stays = |server: &&BackendServer| {
            server.cheap && server.state != pomeloridge_platform::ServerState::Leaving
        };
        let staying = servers.iter().filter(stays);
        let cheap: BTreeMap<_, _> = staying
            .map(|server| (server.id.clone(), server.data_centre.clone()))
            .collect();
        for (id, data_centre) in &self.cheap {
            if !cheap.contains_key(id) && !self.line.has_released(id) {
                log::info!("ordering data_centre={data_centre} server={id} choice=note_reclaim");
                self.reclaimed.insert(data_centre.clone(), now);
            }
        }
        self.cheap = cheap;
        let recent =
            |_: &Name, at: &mut Instant| now.saturating_duration_since(*at) < RECLAIM_PAUSE;
        self.reclaimed.retain(recent);
    }

    /// Adds the present demand to the histories.
    pub(crate) fn observe(&mut self, facts: &FleetSnapshot) {
        for plan in &facts.plans {
            let demand = facts
                .demand
                .pools
                .get(&plan.pool)
                .copied()
                .unwrap_or_default();
            let Some(rates) = plan.rates else { continue };
            let history = self.histories.entry(plan.pool.clone()).or_default();
            let kept = self.options.hold * 2;
            history.push(
                facts.demand.measured_at,
                demand.offered_load(rates).busy_servers(),
                kept,
            );
        }
    }

    /// Decides on one pool and carries the decisions out.
    pub(crate) async fn act(
        &mut self,
        context: &DutyContext,
        engines: (&mut EngineGoals, &EngineGoalOptions),
        facts: &FleetSnapshot,
        plan: &PoolPlan,
        servers: &[BackendServer],
    ) -> Result<(), PlatformError> {
        let (line, options) = engines;
        let now = context.now();
        let of_pool = servers.iter().filter(|server| server.pool == plan.pool);
        let view = |server| {
            let leaves = self.leaves(server, facts, line, now);
            server_view(server, facts, line.release_drain(&server.id, now), leaves)
        };
        let views: Vec<_> = of_pool.map(view).collect();
        for decision in self.decide(facts, plan, &views, now) {
            log::info!("ordering pool={} {decision}", plan.pool);
            let order = |id: &Name| {
                let server = servers.iter().find(|server| server.id == *id);
                server.map(|server| OrderAction::Release {
                    server: server.id.clone(),
                    data_centre: server.data_centre.clone(),
                    pool: server.pool.clone(),
                })
            };
            let action = match &decision.choice {
                ScalingAction::Drain(engine) => {
                    line.begin(context, options, engine, Goal::Release).await?;
                    None
                }
                ScalingAction::Resume(engine) => {
                    line.begin(context, options, engine, Goal::Resume).await?;
                    None
                }
                ScalingAction::Release(id) => order(id),
                ScalingAction::Add { data_centre, cheap } => Some(OrderAction::Add {
                    data_centre: data_centre.clone(),
                    pool: plan.pool.clone(),
                    cheap: *cheap,
                }),
            };
            if let Some(action) = action {
                let slots = self.options.open_orders;
                self.line.begin(context, slots, action).await?;
            }
        }
        Ok(())
    }

    /// Whether a server says of itself that it will stop.
    fn leaves(
        &mut self,
        server: &BackendServer,
        facts: &FleetSnapshot,
        line: &EngineGoals,
        now: Instant,
    ) -> bool {
        let load = facts.loads.get(&server.id);
        let says = load.is_some_and(|load| load.leaving) && !line.is_changing(&server.id, now);
        if !says {
            self.leaving.remove(&server.id);
            return false;
        }
        let since = *self.leaving.entry(server.id.clone()).or_insert(now);
        now.saturating_duration_since(since) >= LEAVING_TIME
    }

    fn decide(
        &self,
        facts: &FleetSnapshot,
        plan: &PoolPlan,
        servers: &[ServerView],
        now: Instant,
    ) -> Vec<ScalingDecision> {
        let empty = DemandHistory::default();
        let reclaimed: BTreeSet<Name> = self.reclaimed.keys().cloned().collect();
        let view = PoolView {
            plan,
            history: self.histories.get(&plan.pool).unwrap_or(&empty),
            servers,
            arriving: &self.line.arriving(&plan.pool, now),
            data_centres: &facts.data_centres,
            reclaimed: &reclaimed,
            delay: self.line.delay(),
            prices: self.prices.get(&plan.pool).copied().unwrap_or_default(),
        };
        self.policy.decide(&view, &self.options)
    }
}

fn server_view(
    server: &BackendServer,
    facts: &FleetSnapshot,
    drained: Option<Drain>,
    leaves: bool,
) -> ServerView {
    let load = facts.loads.get(&server.id);
    let open = |load: &ServerLoad| load.running + load.queued;
    ServerView {
        id: server.id.clone(),
        data_centre: server.data_centre.clone(),
        kind: server_kind(server),
        cheap: server.cheap,
        price: server.price,
        state: policy_server_state(server),
        // A server whose load is not known is taken to be busy.
        load: load.map_or(u32::MAX, open),
        drained,
        // A drained engine says that it is leaving; it may serve again.
        excepted: facts.exceptions.drained.contains(&server.id) || (leaves && drained.is_none()),
        reachable: load.is_none_or(|load| load.reachable),
    }
}

fn server_kind(server: &BackendServer) -> server::ServerKind {
    match server.kind {
        pomeloridge_platform::ServerKind::Engine => server::ServerKind::Engine,
        pomeloridge_platform::ServerKind::Service => server::ServerKind::Service,
    }
}

pub(crate) fn policy_server_state(server: &BackendServer) -> server::ServerState {
    match server.state {
        pomeloridge_platform::ServerState::Starting => server::ServerState::Starting,
        pomeloridge_platform::ServerState::Ready => server::ServerState::Ready,
        pomeloridge_platform::ServerState::Leaving => server::ServerState::Leaving,
    }
}

/// The role last heard of an engine.
pub(crate) fn last_reported_role(load: Option<&ServerLoad>) -> Role {
    load.map(|load| load.role).unwrap_or_default()
}
