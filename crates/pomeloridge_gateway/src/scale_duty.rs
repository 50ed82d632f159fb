//! The scaling duty: orders servers so that each service has its target number.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_platform::{Authority, PlatformError};
use pomeloridge_policy::scaling::{DataCentreView, ScalingView, ServerCount, plan_server_counts};

use crate::config::{ServerScaling, ServingService};
use crate::ports::ScaleOrder;
use crate::state::State;

/// Interval between checks of the server numbers.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time after the boot time of ordered servers at which an order without effect is repeated.
const REORDER_MARGIN: Duration = Duration::from_secs(3);
/// Initial backoff after an order for which no servers were available; doubles each time.
const SOLD_OUT_BACKOFF: Duration = Duration::from_secs(3);
/// Maximum number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;
/// Time after the first server entry is seen by which the entries of all live servers are there.
const LIST_SETTLE_TIME: Duration = Duration::from_secs(3);

/// Time after which a new holder of the duties has been told the work rates of all nodes, also if
/// some datagrams are lost.
const LOAD_SETTLE_TIME: Duration = Duration::from_secs(2);

/// The unit of orders: a service's servers in one data centre, either preemptible or on demand.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct PoolKey {
    service: Name,
    data_centre: Name,
    preemptible: bool,
}

impl PoolKey {
    fn new(service: &ServingService, data_centre: &Name, preemptible: bool) -> Self {
        Self {
            service: service.name.clone(),
            data_centre: data_centre.clone(),
            preemptible,
        }
    }
}

/// The last order for a pool.
#[derive(Clone, Copy, Debug)]
struct LastOrder {
    servers: u32,
    at: Instant,
    /// Number of consecutive orders for which no servers were available.
    sold_out_orders: u32,
}

impl LastOrder {
    /// Returns whether the backoff after an order without available servers is still running.
    fn is_backing_off(&self, now: Instant) -> bool {
        let doublings = self
            .sold_out_orders
            .saturating_sub(1)
            .min(MAX_BACKOFF_DOUBLINGS);
        let backoff = SOLD_OUT_BACKOFF * 2_u32.pow(doublings);
        self.sold_out_orders > 0 && now.saturating_duration_since(self.at) <= backoff
    }
}

#[derive(Default)]
struct Scaler {
    /// When the first server entry was seen.
    first_seen: Option<Instant>,
    /// Since when this node has held the duties.
    held_since: Option<Instant>,
    last_orders: HashMap<PoolKey, LastOrder>,
}

/// Orders servers while this node holds the duties.
pub(crate) async fn run(state: Rc<State>, authority: Authority) {
    let mut scaler = Scaler::default();
    let mut epoch = None;
    loop {
        monoio::time::sleep(CHECK_INTERVAL).await;
        // Every node tracks this, so that a new duty holder knows whether its list is complete.
        let is_settled = scaler.is_settled(&state);
        if !authority.holds() {
            continue;
        }
        if epoch.replace(authority.epoch()) != Some(authority.epoch()) {
            scaler.last_orders.clear();
            scaler.held_since = Some(state.now());
        }
        let Some(config) = state.config() else {
            continue;
        };
        for service in config.services.values() {
            let Some(scaling) = &service.scaling else {
                continue;
            };
            let result = if is_settled {
                scaler
                    .scale_to_target(&state, &authority, service, scaling)
                    .await
            } else {
                scaler
                    .order_early(&state, &authority, service, scaling)
                    .await
            };
            if let Err(error) = result {
                log::warn!(
                    "scale service={} outcome=failed reason=\"{error}\"",
                    service.name
                );
            }
        }
    }
}

impl Scaler {
    /// Returns whether the server list is complete; orders are not based on a partial list.
    fn is_settled(&mut self, state: &State) -> bool {
        let now = state.now();
        if self.first_seen.is_none() && state.server_registry.borrow().servers().next().is_some() {
            self.first_seen = Some(now);
        }
        let is_old_enough = |at| now.saturating_duration_since(at) >= LIST_SETTLE_TIME;
        self.first_seen.is_some_and(is_old_enough)
    }

    /// At the first start of the whole system, orders preemptible servers before the server list
    /// is complete: half the maximum number, which is within the limits whatever other servers
    /// turn up.
    async fn order_early(
        &mut self,
        state: &State,
        authority: &Authority,
        service: &ServingService,
        scaling: &ServerScaling,
    ) -> Result<(), PlatformError> {
        let servers = scaling.max / 2;
        if !state.bootstrap() || scaling.preemptible_price_ratio.is_none() || servers == 0 {
            return Ok(());
        }
        for (data_centre, _) in &scaling.prices {
            let pool = PoolKey::new(service, data_centre, true);
            if !self.last_orders.contains_key(&pool) {
                self.order(state, authority, pool, servers, 0.0).await?;
            }
        }
        Ok(())
    }

    /// Orders servers where the numbers differ from the targets of a service.
    async fn scale_to_target(
        &mut self,
        state: &State,
        authority: &Authority,
        service: &ServingService,
        scaling: &ServerScaling,
    ) -> Result<(), PlatformError> {
        let view = self.view(state, service, scaling);
        let targets = plan_server_counts(&view);
        // A new holder of the duty doesn't know yet which data centres are sold out. The others may
        // have their share.
        let is_short = targets
            .iter()
            .zip(&view.data_centres)
            .any(|(target, centre)| {
                let pool = PoolKey::new(service, &target.data_centre, true);
                target.preemptible > centre.preemptible.ready
                    && !self.last_orders.contains_key(&pool)
            });
        for (target, centre) in targets.iter().zip(&view.data_centres) {
            // The limits apply to both kinds together: a lower number of on-demand servers makes
            // room for preemptible ones, and is ordered first.
            for preemptible in [false, true] {
                if preemptible && centre.sold_out && !centre.retry_due {
                    continue;
                }
                let desired = if preemptible {
                    target.preemptible
                } else {
                    target.on_demand
                };
                let pool = PoolKey::new(service, &target.data_centre, preemptible);
                let count = if preemptible {
                    centre.preemptible
                } else {
                    centre.on_demand
                };
                if preemptible && desired < count.ready && is_short {
                    continue;
                }
                if self.is_due(&pool, desired, count.ready, scaling, state.now()) {
                    self.order(state, authority, pool, desired, view.load)
                        .await?;
                }
            }
        }
        Ok(())
    }

    /// Returns whether an order for a pool is due.
    fn is_due(
        &self,
        pool: &PoolKey,
        desired: u32,
        ready: u32,
        scaling: &ServerScaling,
        now: Instant,
    ) -> bool {
        match self.last_orders.get(pool) {
            None => desired != ready,
            Some(last) if last.sold_out_orders > 0 => desired != ready && !last.is_backing_off(now),
            Some(last) if last.servers != desired => true,
            Some(last) => {
                let age = now.saturating_duration_since(last.at);
                desired != ready && age > scaling.boot_time + REORDER_MARGIN
            }
        }
    }

    /// Returns the latest order for a pool if it was not met.
    fn unmet_order(&self, pool: &PoolKey) -> Option<&LastOrder> {
        let last = self.last_orders.get(pool)?;
        (last.sold_out_orders > 0).then_some(last)
    }

    /// Orders a total number of servers for a pool; the load, as a number of servers that it would
    /// fully use, is logged.
    async fn order(
        &mut self,
        state: &State,
        authority: &Authority,
        pool: PoolKey,
        servers: u32,
        load: f64,
    ) -> Result<(), PlatformError> {
        let permit = authority.permit().ok_or(PlatformError::Lapsed)?;
        let now = state.now();
        let order = ScaleOrder {
            service: pool.service.clone(),
            data_centre: pool.data_centre.clone(),
            servers,
            preemptible: pool.preemptible,
            holder: state.name.clone(),
            epoch: permit.epoch(),
        };
        let allowed = Box::new(move || permit.allowed());
        let call = (state.ports.duty.scale)(order.clone(), allowed);
        let outcome = state.timed_duty_call(call).await;
        // The platform answers a stale fencing token and a lack of available servers with the
        // same status. A token whose holder still has its lease is not stale.
        let sold_out = matches!(outcome, Err(PlatformError::Stale)) && authority.holds();
        log::info!(
            "scale service={} data_centre={} cheap={} servers={servers} load={load:.1} epoch={} \
             outcome={}",
            pool.service,
            pool.data_centre,
            pool.preemptible,
            order.epoch,
            match &outcome {
                Ok(()) => "ordered".to_owned(),
                Err(_) if sold_out => "sold_out".to_owned(),
                Err(error) => format!("\"{error}\""),
            }
        );
        let previous = self
            .last_orders
            .get(&pool)
            .map_or(0, |last| last.sold_out_orders);
        if !sold_out {
            outcome?;
        }
        let last_order = LastOrder {
            servers,
            at: now,
            sold_out_orders: if sold_out { previous + 1 } else { 0 },
        };
        self.last_orders.insert(pool, last_order);
        Ok(())
    }

    /// Returns the current numbers of a service's servers, the input to the scaling policy.
    fn view(
        &self,
        state: &State,
        service: &ServingService,
        scaling: &ServerScaling,
    ) -> ScalingView {
        let now = state.now();
        let registry = state.server_registry.borrow();
        let count = |data_centre: &Name, preemptible: bool| {
            let ready = registry.servers().filter(|server| {
                server.service == service.name
                    && !server.leaving
                    && server.data_centre == *data_centre
                    && server.preemptible == preemptible
            });
            let ready = ready.count() as u32;
            let pool = PoolKey::new(service, data_centre, preemptible);
            let pending = self.last_orders.get(&pool).filter(|last| {
                let age = now.saturating_duration_since(last.at);
                last.sold_out_orders == 0 && age < scaling.boot_time + REORDER_MARGIN
            });
            ServerCount {
                ready,
                expected: pending.map_or(ready, |last| last.servers.max(ready)),
            }
        };
        let data_centres = scaling.prices.iter().map(|(data_centre, _)| {
            let unmet = self.unmet_order(&PoolKey::new(service, data_centre, true));
            DataCentreView {
                data_centre: data_centre.clone(),
                on_demand: count(data_centre, false),
                preemptible: count(data_centre, true),
                sold_out: unmet.is_some(),
                retry_due: unmet.is_some_and(|order| !order.is_backing_off(now)),
            }
        });
        ScalingView {
            data_centres: data_centres.collect(),
            min: scaling.min,
            max: scaling.max,
            has_preemptible: scaling.preemptible_price_ratio.is_some(),
            load: state.stage_load(&service.name).total(),
            load_known: self
                .held_since
                .is_some_and(|since| now.saturating_duration_since(since) >= LOAD_SETTLE_TIME),
        }
    }
}
