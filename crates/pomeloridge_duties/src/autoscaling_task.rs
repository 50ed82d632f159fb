//! Runs the autoscaler: gathers its input, and carries out its decisions each round.

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
use crate::pool_config::PoolConfig;
use crate::server_orders::ServerOrders;

/// Time after a reclaim for which no preemptible servers are ordered in its data centre.
const RECLAIM_BACKOFF: Duration = Duration::from_mins(10);

/// Time for which a server must report that it is shutting down, without an order to do
/// so, before it stops counting as capacity, because load reports lag.
const SHUTDOWN_CONFIRM_TIME: Duration = Duration::from_secs(5);

/// Autoscaler state for one tenure of the lease.
pub(crate) struct Autoscaler {
    orders: ServerOrders,
    policy: AutoscalingPolicy,
    options: AutoscalingOptions,
    histories: BTreeMap<Name, DemandHistory>,
    prices: BTreeMap<Name, Prices>,
    /// Data centre by preemptible server that wasn't leaving in the last round.
    preemptible_servers: BTreeMap<Name, Name>,
    /// Time of the last reclaim by data centre.
    last_reclaims: BTreeMap<Name, Instant>,
    /// Time since which each server has reported that it is shutting down.
    shutting_down_since: BTreeMap<Name, Instant>,
}

impl Autoscaler {
    pub(crate) async fn load(
        client: &Client,
        policy: AutoscalingPolicy,
        options: AutoscalingOptions,
        provisioning_delay: Duration,
    ) -> Result<Self, PlatformError> {
        Ok(Self {
            orders: ServerOrders::load(client, provisioning_delay).await?,
            policy,
            options,
            histories: BTreeMap::new(),
            prices: BTreeMap::new(),
            preemptible_servers: BTreeMap::new(),
            last_reclaims: BTreeMap::new(),
            shutting_down_since: BTreeMap::new(),
        })
    }

    pub(crate) fn is_stale(&self) -> bool {
        self.orders.is_stale()
    }

    /// Settles outstanding orders, and records reclaims and prices.
    ///
    /// See [`ServerOrders::settle`] for the sequence in which the lists are read.
    pub(crate) async fn settle(
        &mut self,
        context: &DutyContext,
        orders: &[OrderStatus],
        servers: &[BackendServer],
    ) {
        self.orders.settle(context, orders, servers).await;
        self.record_reclaims(servers, context.now());
        for server in servers {
            let prices = self.prices.entry(server.pool.clone()).or_default();
            let price = if server.preemptible {
                &mut prices.preemptible
            } else {
                &mut prices.on_demand
            };
            *price = Some(server.price);
        }
    }

    /// Records the data centres whose preemptible servers leave without a release order.
    fn record_reclaims(&mut self, servers: &[BackendServer], now: Instant) {
        let is_staying = |server: &&BackendServer| {
            server.preemptible && server.state != pomeloridge_platform::ServerState::Leaving
        };
        let staying = servers.iter().filter(is_staying);
        let preemptible: BTreeMap<_, _> = staying
            .map(|server| (server.id.clone(), server.data_centre.clone()))
            .collect();
        for (id, data_centre) in &self.preemptible_servers {
            if !preemptible.contains_key(id) && !self.orders.has_released(id) {
                log::info!("ordering data_centre={data_centre} server={id} choice=note_reclaim");
                self.last_reclaims.insert(data_centre.clone(), now);
            }
        }
        self.preemptible_servers = preemptible;
        let is_recent =
            |_: &Name, at: &mut Instant| now.saturating_duration_since(*at) < RECLAIM_BACKOFF;
        self.last_reclaims.retain(is_recent);
    }

    /// Adds the current load of each pool to its history.
    pub(crate) fn observe(&mut self, snapshot: &FleetSnapshot) {
        for config in &snapshot.pools {
            let demand = snapshot
                .demand
                .pools
                .get(&config.name)
                .copied()
                .unwrap_or_default();
            let Some(rates) = config.rates else { continue };
            let history = self.histories.entry(config.name.clone()).or_default();
            let retention = self.options.scale_down_delay * 2;
            history.push(
                snapshot.demand.measured_at,
                demand.offered_load(rates).busy_servers(),
                retention,
            );
        }
    }

    /// Decides on one pool and carries out the decisions.
    pub(crate) async fn reconcile(
        &mut self,
        context: &DutyContext,
        engines: (&mut EngineGoals, &EngineGoalOptions),
        snapshot: &FleetSnapshot,
        config: &PoolConfig,
        servers: &[BackendServer],
    ) -> Result<(), PlatformError> {
        let (engine_goals, options) = engines;
        let now = context.now();
        let pool_servers = servers.iter().filter(|server| server.pool == config.name);
        let view = |server| {
            let shutting_down = self.is_shutting_down(server, snapshot, engine_goals, now);
            let drain = engine_goals.release_drain(&server.id, now);
            server_view(server, snapshot, drain, shutting_down)
        };
        let views: Vec<_> = pool_servers.map(view).collect();
        for decision in self.decide(snapshot, config, &views, now) {
            log::info!("ordering pool={} {decision}", config.name);
            let release_order = |id: &Name| {
                let server = servers.iter().find(|server| server.id == *id);
                server.map(|server| OrderAction::Release {
                    server: server.id.clone(),
                    data_centre: server.data_centre.clone(),
                    pool: server.pool.clone(),
                })
            };
            let order = match &decision.action {
                ScalingAction::Drain(engine) => {
                    engine_goals
                        .begin(context, options, engine, Goal::Release)
                        .await?;
                    None
                }
                ScalingAction::Resume(engine) => {
                    engine_goals
                        .begin(context, options, engine, Goal::Resume)
                        .await?;
                    None
                }
                ScalingAction::Release(id) => release_order(id),
                ScalingAction::Add {
                    data_centre,
                    preemptible,
                } => Some(OrderAction::Add {
                    data_centre: data_centre.clone(),
                    pool: config.name.clone(),
                    preemptible: *preemptible,
                }),
            };
            if let Some(order) = order {
                let max_open = self.options.max_open_orders;
                self.orders.begin(context, max_open, order).await?;
            }
        }
        Ok(())
    }

    /// Returns whether a server has reported for some time that it is shutting down,
    /// without an order to do so.
    fn is_shutting_down(
        &mut self,
        server: &BackendServer,
        snapshot: &FleetSnapshot,
        engine_goals: &EngineGoals,
        now: Instant,
    ) -> bool {
        let load = snapshot.loads.get(&server.id);
        let reports_shutdown =
            load.is_some_and(|load| load.leaving) && !engine_goals.is_changing(&server.id, now);
        if !reports_shutdown {
            self.shutting_down_since.remove(&server.id);
            return false;
        }
        let since = *self
            .shutting_down_since
            .entry(server.id.clone())
            .or_insert(now);
        now.saturating_duration_since(since) >= SHUTDOWN_CONFIRM_TIME
    }

    fn decide(
        &self,
        snapshot: &FleetSnapshot,
        config: &PoolConfig,
        servers: &[ServerView],
        now: Instant,
    ) -> Vec<ScalingDecision> {
        let no_history = DemandHistory::default();
        let recently_reclaimed: BTreeSet<Name> = self.last_reclaims.keys().cloned().collect();
        let view = PoolView {
            config,
            history: self.histories.get(&config.name).unwrap_or(&no_history),
            servers,
            pending: &self.orders.pending(&config.name, now),
            data_centres: &snapshot.data_centres,
            recently_reclaimed: &recently_reclaimed,
            provisioning_delay: self.orders.provisioning_delay(),
            prices: self.prices.get(&config.name).copied().unwrap_or_default(),
        };
        self.policy.decide(&view, &self.options)
    }
}

fn server_view(
    server: &BackendServer,
    snapshot: &FleetSnapshot,
    drain: Option<Drain>,
    shutting_down: bool,
) -> ServerView {
    let load = snapshot.loads.get(&server.id);
    let requests = |load: &ServerLoad| load.running + load.queued;
    ServerView {
        id: server.id.clone(),
        data_centre: server.data_centre.clone(),
        kind: policy_server_kind(server),
        preemptible: server.preemptible,
        hourly_price: server.price,
        state: policy_server_state(server),
        // A server whose load is unknown is assumed to be busy.
        load: load.map_or(u32::MAX, requests),
        drain,
        // An engine that is drained for a release also reports that it is leaving, but may
        // be put back into service.
        excluded: snapshot.exceptions.drained.contains(&server.id)
            || (shutting_down && drain.is_none()),
        reachable: load.is_none_or(|load| load.reachable),
    }
}

fn policy_server_kind(server: &BackendServer) -> server::ServerKind {
    match server.kind {
        pomeloridge_platform::ServerKind::Engine => server::ServerKind::Engine,
        pomeloridge_platform::ServerKind::Service => server::ServerKind::Service,
    }
}

/// Converts the platform's server state into the policy's.
pub(crate) fn policy_server_state(server: &BackendServer) -> server::ServerState {
    match server.state {
        pomeloridge_platform::ServerState::Starting => server::ServerState::Starting,
        pomeloridge_platform::ServerState::Ready => server::ServerState::Ready,
        pomeloridge_platform::ServerState::Leaving => server::ServerState::Leaving,
    }
}

/// Returns the role in an engine's last load report, or the default role.
pub(crate) fn last_reported_role(load: Option<&ServerLoad>) -> Role {
    load.map(|load| load.role).unwrap_or_default()
}
