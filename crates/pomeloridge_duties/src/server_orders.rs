//! Orders to the platform to add or release backend servers. Each is stored as an intent,
//! sent, and tracked until the platform shows its effect.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use pomeloridge_base::meter::Counter;
use pomeloridge_platform::intent::{
    self, Intent, ORDER_INTENTS, Slot, SlotStatus, StoredIntent, WriteOutcome, read_intents,
    slot_status,
};
use pomeloridge_platform::{
    BackendServer, Client, Order, OrderAction, OrderStatus, Permit, PlatformError, ServerState,
};

use crate::autoscaling_view::PendingServer;
use crate::engine_order::DutyContext;

/// Deadline of an order's intent.
const ORDER_DEADLINE: Duration = Duration::from_mins(10);
/// Weight of a new measurement in the moving average of the provisioning delay.
const DELAY_WEIGHT: f64 = 0.3;
/// Multiple of the provisioning delay after which an order is overdue.
const OVERDUE_DELAYS: u32 = 3;

/// Server orders of all pools.
#[derive(Debug)]
pub(crate) struct ServerOrders {
    intents: BTreeMap<Slot, StoredIntent<OrderAction>>,
    /// When the platform accepted each outstanding order, by order id; only orders sent in
    /// this tenure of the lease.
    accepted_at: BTreeMap<String, Instant>,
    /// When each server that isn't ready yet was ordered.
    ordered_at: BTreeMap<Name, Instant>,
    released: BTreeSet<Name>,
    provisioning_delay: Duration,
    stale: bool,
}

impl ServerOrders {
    /// Reads the orders of earlier lease holders.
    pub(crate) async fn load(
        client: &Client,
        provisioning_delay: Duration,
    ) -> Result<Self, PlatformError> {
        let intents = read_intents::<OrderAction>(client, ORDER_INTENTS).await?;
        Ok(Self {
            intents: intents
                .into_iter()
                .map(|stored| (stored.slot.clone(), stored))
                .collect(),
            accepted_at: BTreeMap::new(),
            ordered_at: BTreeMap::new(),
            released: BTreeSet::new(),
            provisioning_delay,
            stale: false,
        })
    }

    /// Returns whether the outcome of a write is unknown, so that the intents must be read
    /// again.
    pub(crate) fn is_stale(&self) -> bool {
        self.stale
    }

    /// Returns the moving average of the time from an order until the server is ready.
    pub(crate) fn provisioning_delay(&self) -> Duration {
        self.provisioning_delay
    }

    /// Returns whether the release of a server was ordered.
    pub(crate) fn has_released(&self, server: &Name) -> bool {
        let is_release = |stored: &StoredIntent<OrderAction>| match &stored.intent.order {
            OrderAction::Release { server: other, .. } => other == server,
            OrderAction::Add { .. } => false,
        };
        self.released.contains(server) || self.intents.values().any(is_release)
    }

    /// Returns the servers of a pool that are ordered and not listed yet.
    pub(crate) fn pending(&self, pool: &Name, now: Instant) -> Vec<PendingServer> {
        let open = self
            .intents
            .values()
            .filter(|stored| stored.intent.is_open());
        let pending = open.filter_map(|stored| match &stored.intent.order {
            OrderAction::Add {
                data_centre,
                pool: order_pool,
                preemptible,
            } if order_pool == pool => Some(PendingServer {
                data_centre: data_centre.clone(),
                preemptible: *preemptible,
                overdue: self.is_overdue(&stored.intent, now),
            }),
            OrderAction::Add { .. } | OrderAction::Release { .. } => None,
        });
        pending.collect()
    }

    fn is_overdue(&self, intent: &Intent<OrderAction>, now: Instant) -> bool {
        let accepted_at = self.accepted_at.get(&intent.order_id);
        accepted_at.is_some_and(|at| {
            now.saturating_duration_since(*at) > self.provisioning_delay * OVERDUE_DELAYS
        })
    }

    /// Writes an order into a free slot of its pool, then sends it. Does nothing if every
    /// slot has an outstanding order.
    pub(crate) async fn begin(
        &mut self,
        context: &DutyContext,
        max_open: usize,
        order: OrderAction,
    ) -> Result<(), PlatformError> {
        let Some(slot) = self.free_slot(&order, max_open).filter(|_| !self.stale) else {
            return Ok(());
        };
        let current = self.intents.get(&slot);
        let outcome = intent::begin(
            &context.client,
            &context.permit,
            slot.clone(),
            current,
            order,
            ORDER_DEADLINE,
        );
        let outcome = outcome.await?;
        if matches!(outcome, WriteOutcome::Written(_)) {
            context.meter.increment(Counter::ServerOrders);
        }
        self.apply(outcome);
        self.send(context, &slot).await
    }

    fn free_slot(&self, order: &OrderAction, max_open: usize) -> Option<Slot> {
        let names: Vec<String> = match order {
            OrderAction::Add { pool, .. } => (0..max_open)
                .map(|slot| format!("{pool}.add.{slot}"))
                .collect(),
            OrderAction::Release { pool, .. } => vec![format!("{pool}.release")],
        };
        let mut slots = names.into_iter().map(|name| Slot::orders(&name.into()));
        slots.find(|slot| {
            let stored = self.intents.get(slot);
            stored.is_none_or(|stored| !stored.intent.is_open())
        })
    }

    /// Finishes the outstanding orders whose effect is visible. Takes over those of earlier
    /// holders, and sends those that the platform hasn't accepted yet.
    ///
    /// `orders` must have been read before `servers`, so that the server of a finished order
    /// is already listed.
    pub(crate) async fn settle(
        &mut self,
        context: &DutyContext,
        orders: &[OrderStatus],
        servers: &[BackendServer],
    ) {
        self.update_provisioning_delay(servers, context.now());
        let open = self
            .intents
            .iter()
            .filter(|(_, stored)| stored.intent.is_open());
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
        let Some(stored) = self.intents.get(slot).cloned() else {
            return Ok(());
        };
        if let Some(server) = affected_server(&stored.intent, orders, servers) {
            log::info!(
                "ordering order={} server={server} choice=finish",
                stored.intent.order_id
            );
            if let Some(at) = self.accepted_at.remove(&stored.intent.order_id)
                && matches!(stored.intent.order, OrderAction::Add { .. })
            {
                self.ordered_at.insert(server, at);
            }
            let outcome = intent::finish(&context.client, &stored).await?;
            self.apply(outcome);
            return Ok(());
        }
        match slot_status(&stored.intent, context.permit.epoch(), Duration::ZERO) {
            SlotStatus::Own => {}
            SlotStatus::Inherited => {
                let outcome = intent::adopt(&context.client, &context.permit, &stored).await?;
                self.apply(outcome);
            }
            SlotStatus::Free | SlotStatus::Overdue | SlotStatus::Superseded => return Ok(()),
        }
        self.send(context, slot).await
    }

    /// Sends an outstanding order, unless the platform is known to have accepted it.
    async fn send(&mut self, context: &DutyContext, slot: &Slot) -> Result<(), PlatformError> {
        let Some(stored) = self.intents.get(slot) else {
            return Ok(());
        };
        let id = stored.intent.order_id.clone();
        if !stored.intent.is_open() || self.accepted_at.contains_key(&id) {
            return Ok(());
        }
        let write = async |intent: &Intent<OrderAction>, permit: &Permit| {
            context.client.order(&Order::from(intent), permit).await
        };
        let receipt = intent::send(&context.permit, stored, write).await?;
        log::info!(
            "ordering order={id} choice=taken repeated={}",
            receipt.repeated
        );
        if let OrderAction::Release { server, .. } = &stored.intent.order {
            self.released.insert(server.clone());
        }
        self.accepted_at.insert(id, context.now());
        Ok(())
    }

    fn update_provisioning_delay(&mut self, servers: &[BackendServer], now: Instant) {
        for server in servers {
            if server.state != ServerState::Ready {
                continue;
            }
            if let Some(at) = self.ordered_at.remove(&server.id) {
                let measured = now.saturating_duration_since(at);
                self.provisioning_delay = self.provisioning_delay.mul_f64(1.0 - DELAY_WEIGHT)
                    + measured.mul_f64(DELAY_WEIGHT);
            }
        }
    }

    fn apply(&mut self, outcome: WriteOutcome<OrderAction>) {
        match outcome {
            WriteOutcome::Written(stored) | WriteOutcome::Changed(stored) => {
                self.intents.insert(stored.slot.clone(), stored);
            }
            WriteOutcome::Unconfirmed => self.stale = true,
        }
    }
}

/// Returns the server on which the effect of an order is visible, if any.
fn affected_server(
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
            let leaving = listed.is_none_or(|other| other.state == ServerState::Leaving);
            leaving.then(|| server.clone())
        }
    }
}
