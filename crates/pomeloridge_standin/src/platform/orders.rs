//! Orders for backend servers, deduplicated by id and checked by fencing token.

use pomeloridge_base::id::Epoch;
use serde::{Deserialize, Serialize};

use super::servers::{ServerState, Servers};

/// Action that an order requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Add,
    Release,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OrderBody {
    pub(crate) order_id: String,
    pub(crate) fence: Epoch,
    pub(crate) action: Action,
    #[serde(default)]
    pub(crate) data_centre: String,
    #[serde(default)]
    pub(crate) pool: String,
    #[serde(default, rename = "cheap")]
    pub(crate) preemptible: bool,
    #[serde(default)]
    pub(crate) server: Option<String>,
}

/// An order in the list of orders.
#[derive(Debug, Serialize)]
pub(crate) struct OrderStatus {
    order_id: String,
    action: Action,
    server: Option<String>,
    state: &'static str,
}

/// Outcome of submitting an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SubmitOutcome {
    New,
    Repeated,
    /// The fencing token is lower than this one, the highest seen.
    Stale(Epoch),
    /// A release without a server.
    MissingServer,
}

/// Time from a server's start until it is ready and from its release until it is
/// removed, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Delays {
    pub(crate) delivery_ms: u64,
    pub(crate) release_ms: u64,
}

/// All submitted orders and the highest fencing token seen.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    orders: Vec<OrderBody>,
    fence: Epoch,
}

impl Orders {
    /// Submits an order at `now` (Unix ms).
    pub(crate) fn submit(
        &mut self,
        order: OrderBody,
        servers: &mut Servers,
        delays: Delays,
        now: u64,
    ) -> SubmitOutcome {
        if order.fence < self.fence {
            return SubmitOutcome::Stale(self.fence);
        }
        if order.action == Action::Release && order.server.is_none() {
            return SubmitOutcome::MissingServer;
        }
        self.fence = order.fence;
        if self.orders.iter().any(|o| o.order_id == order.order_id) {
            return SubmitOutcome::Repeated;
        }
        if let (Action::Release, Some(server)) = (order.action, &order.server) {
            servers.release(server, now + delays.release_ms);
        }
        let server = match order.action {
            Action::Add => None,
            Action::Release => order.server.clone(),
        };
        self.orders.push(OrderBody { server, ..order });
        self.deliver(servers, delays, now);
        SubmitOutcome::New
    }

    /// Delivers servers on spare addresses to waiting orders, oldest first.
    pub(crate) fn deliver(&mut self, servers: &mut Servers, delays: Delays, now: u64) {
        for order in &mut self.orders {
            if order.action == Action::Add && order.server.is_none() {
                let ready_at = now + delays.delivery_ms;
                order.server =
                    servers.add(&order.pool, &order.data_centre, order.preemptible, ready_at);
            }
        }
    }

    /// Returns all orders with their current state.
    pub(crate) fn list(&self, servers: &Servers) -> Vec<OrderStatus> {
        let status = |order: &OrderBody| OrderStatus {
            order_id: order.order_id.clone(),
            action: order.action,
            server: order.server.clone(),
            state: match &order.server {
                None => "waiting",
                Some(id) => match servers.state(id) {
                    Some(ServerState::Starting) => "starting",
                    Some(ServerState::Ready) => "ready",
                    Some(ServerState::Leaving) => "leaving",
                    None => "removed",
                },
            },
        };
        self.orders.iter().map(status).collect()
    }
}
