//! Orders for backend servers: kept as intents, sent to the platform, and
//! followed until the platform shows their effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_platform::intent::{
    self, Intent, Kept, ORDER_INTENTS, Recorded, Settlement, Slot, read_intents, settlement,
};
use pomeloridge_platform::{
    BackendServer, Client, Order, OrderAction, OrderStatus, Permit, PlatformError, ServerState,
};

use crate::autoscaling_view::PendingServer;
use crate::engine_order::DutyContext;

/// Time within which an order is expected to show its effect.
const ORDER_TIME: Duration = Duration::from_mins(10);
/// Part of the learned delay that a new one makes.
const DELAY_PART: f64 = 0.3;
/// An order is late after so many times the learned delay.
const LATE: u32 = 3;

/// The orders of all pools.
#[derive(Debug)]
pub(crate) struct ServerOrders {
    kept: BTreeMap<Slot, Kept<OrderAction>>,
    /// When each outstanding order was taken by the platform, in this holding.
    taken: BTreeMap<String, Instant>,
    /// Servers that are on their way, and when they were ordered.
    coming: BTreeMap<Name, Instant>,
    released: BTreeSet<Name>,
    delay: Duration,
    stale: bool,
}

impl ServerOrders {
    /// Reads the orders of earlier holders.
    pub(crate) async fn load(client: &Client, delay: Duration) -> Result<Self, PlatformError> {
        let kept = read_intents::<OrderAction>(client, ORDER_INTENTS).await?;
        Ok(Self {
            kept: kept
                .into_iter()
                .map(|kept| (kept.slot.clone(), kept))
                .collect(),
            taken: BTreeMap::new(),
            coming: BTreeMap::new(),
            released: BTreeSet::new(),
            delay,
            stale: false,
        })
    }

    /// Whether the outcome of a write is unknown, so that all must be read again.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Time from an order to a ready server, as learned from own orders.
    pub(crate) fn delay(&self) -> Duration {
        self.delay
    }

    /// Whether this duty has ordered a server's release.
    pub(crate) fn has_released(&self, server: &Name) -> bool {
        let ordered = |kept: &Kept<OrderAction>| match &kept.intent.order {
            OrderAction::Release { server: other, .. } => other == server,
            OrderAction::Add { .. } => false,
        };
        self.released.contains(server) || self.kept.values().any(ordered)
    }

    /// Servers of a pool that are ordered and not yet listed.
    pub(crate) fn arriving(&self, wanted: &Name, now: Instant) -> Vec<PendingServer> {
        let open = self.kept.values().filter(|kept| kept.intent.is_open());
        let arriving = open.filter_map(|kept| match &kept.intent.order {
            OrderAction::Add {
                data_centre,
                pool,
                cheap,
            } if pool == wanted => Some(PendingServer {
                data_centre: data_centre.clone(),
                cheap: *cheap,
                late: self.is_late(&kept.intent, now),
            }),
            OrderAction::Add { .. } | OrderAction::Release { .. } => None,
        });
        arriving.collect()
    }

    fn is_late(&self, intent: &Intent<OrderAction>, now: Instant) -> bool {
        let taken = self.taken.get(&intent.order_id);
        taken.is_some_and(|at| now.saturating_duration_since(*at) > self.delay * LATE)
    }

    /// Gives an order on a free slot of its pool: writes the intent, then sends it.
    pub(crate) async fn begin(
        &mut self,
        context: &DutyContext,
        slots: usize,
        order: OrderAction,
    ) -> Result<(), PlatformError> {
        let Some(slot) = self.free_slot(&order, slots).filter(|_| !self.stale) else {
            return Ok(());
        };
        let current = self.kept.get(&slot);
        let recorded = intent::begin(
            &context.client,
            &context.permit,
            slot.clone(),
            current,
            order,
            ORDER_TIME,
        );
        let recorded = recorded.await?;
        if matches!(recorded, Recorded::Written(_)) {
            context.meter.one(Counter::ServerOrders);
        }
        self.take_in(recorded);
        self.send(context, &slot).await
    }

    fn free_slot(&self, order: &OrderAction, slots: usize) -> Option<Slot> {
        let names: Vec<String> = match order {
            OrderAction::Add { pool, .. } => (0..slots)
                .map(|slot| format!("{pool}.add.{slot}"))
                .collect(),
            OrderAction::Release { pool, .. } => vec![format!("{pool}.release")],
        };
        let mut slots = names.into_iter().map(|name| Slot::orders(&name.into()));
        slots.find(|slot| {
            let kept = self.kept.get(slot);
            kept.is_none_or(|kept| !kept.intent.is_open())
        })
    }

    /// Takes on, sends and finishes outstanding orders.
    ///
    /// `orders` must have been read before `servers`.
    pub(crate) async fn settle(
        &mut self,
        context: &DutyContext,
        orders: &[OrderStatus],
        servers: &[BackendServer],
    ) {
        self.learn_delay(servers, context.now());
        let open = self.kept.iter().filter(|(_, kept)| kept.intent.is_open());
        let slots: Vec<Slot> = open.map(|(slot, _)| slot.clone()).collect();
        for slot in slots {
            if let Err(error) = self.settle_one(context, &slot, orders, servers).await {
                log::warn!("ordering slot={} choice=retry error={error:?}", slot.id());
            }
        }
    }

    async fn settle_one(
        &mut self,
        context: &DutyContext,
        slot: &Slot,
        orders: &[OrderStatus],
        servers: &[BackendServer],
    ) -> Result<(), PlatformError> {
        let Some(kept) = self.kept.get(slot).cloned() else {
            return Ok(());
        };
        if let Some(server) = effect(&kept.intent, orders, servers) {
            log::info!(
                "ordering order={} server={server} choice=finish",
                kept.intent.order_id
            );
            if let Some(at) = self.taken.remove(&kept.intent.order_id)
                && matches!(kept.intent.order, OrderAction::Add { .. })
            {
                self.coming.insert(server, at);
            }
            let recorded = intent::finish(&context.client, &kept).await?;
            self.take_in(recorded);
            return Ok(());
        }
        match settlement(&kept.intent, context.permit.epoch(), Duration::ZERO) {
            Settlement::Own => {}
            Settlement::TakeOn => {
                let recorded = intent::take_on(&context.client, &context.permit, &kept).await?;
                self.take_in(recorded);
            }
            Settlement::Free | Settlement::Overdue | Settlement::Superseded => return Ok(()),
        }
        self.send(context, slot).await
    }

    /// Sends an outstanding order that the platform is not known to have taken.
    async fn send(&mut self, context: &DutyContext, slot: &Slot) -> Result<(), PlatformError> {
        let Some(kept) = self.kept.get(slot) else {
            return Ok(());
        };
        let id = kept.intent.order_id.clone();
        if !kept.intent.is_open() || self.taken.contains_key(&id) {
            return Ok(());
        }
        let write = async |intent: &Intent<OrderAction>, permit: &Permit| {
            context.client.order(&Order::from(intent), permit).await
        };
        let receipt = intent::send(&context.permit, kept, write).await?;
        log::info!(
            "ordering order={id} choice=taken repeated={}",
            receipt.repeated
        );
        if let OrderAction::Release { server, .. } = &kept.intent.order {
            self.released.insert(server.clone());
        }
        self.taken.insert(id, context.now());
        Ok(())
    }

    fn learn_delay(&mut self, servers: &[BackendServer], now: Instant) {
        for server in servers {
            if server.state != ServerState::Ready {
                continue;
            }
            if let Some(at) = self.coming.remove(&server.id) {
                let seen = now.saturating_duration_since(at);
                self.delay = self.delay.mul_f64(1.0 - DELAY_PART) + seen.mul_f64(DELAY_PART);
            }
        }
    }

    fn take_in(&mut self, recorded: Recorded<OrderAction>) {
        match recorded {
            Recorded::Written(kept) | Recorded::Changed(kept) => {
                self.kept.insert(kept.slot.clone(), kept);
            }
            Recorded::Unconfirmed => self.stale = true,
        }
    }
}

/// The server on which an order has shown its effect.
fn effect(
    intent: &Intent<OrderAction>,
    orders: &[OrderStatus],
    servers: &[BackendServer],
) -> Option<Name> {
    match &intent.order {
        OrderAction::Add { .. } => {
            let status = orders.iter().find(|status| status.id == intent.order_id);
            status?.server.clone()
        }
        OrderAction::Release { server, .. } => {
            let listed = servers.iter().find(|other| other.id == *server);
            let leaves = listed.is_none_or(|other| other.state == ServerState::Leaving);
            leaves.then(|| server.clone())
        }
    }
}
