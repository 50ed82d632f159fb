//! Orders for backend servers, given by id and fencing number.

use pomeloridge_base::id::Epoch;
use serde::{Deserialize, Serialize};

use super::servers::{ServerState, Servers};

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum Action {
    Add,
    Release,
}

/// An order as it arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct OrderBody {
    pub(crate) order_id: String,
    pub(crate) fence: Epoch,
    pub(crate) action: Action,
    #[serde(default)]
    pub(crate) data_centre: String,
    #[serde(default)]
    pub(crate) pool: String,
    #[serde(default)]
    pub(crate) cheap: bool,
    #[serde(default)]
    pub(crate) server: Option<String>,
}

/// An order as it is listed.
#[derive(Debug, Serialize)]
pub(crate) struct OrderStatus {
    order_id: String,
    action: Action,
    server: Option<String>,
    state: &'static str,
}

/// What became of an order that arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Taken {
    New,
    Repeated,
    /// The fence was lower than this one, seen before.
    Stale(Epoch),
    /// A release that names no server.
    Nameless,
}

/// How long servers take to come and go, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Terms {
    pub(crate) delivery_ms: u64,
    pub(crate) release_ms: u64,
}

/// All orders taken, and the highest fence seen.
#[derive(Debug, Default)]
pub(crate) struct Orders {
    orders: Vec<OrderBody>,
    fence: Epoch,
}

impl Orders {
    /// Takes an order at `now` (Unix ms).
    pub(crate) fn take(
        &mut self,
        order: OrderBody,
        servers: &mut Servers,
        terms: Terms,
        now: u64,
    ) -> Taken {
        if order.fence < self.fence {
            return Taken::Stale(self.fence);
        }
        if order.action == Action::Release && order.server.is_none() {
            return Taken::Nameless;
        }
        self.fence = order.fence;
        if self.orders.iter().any(|o| o.order_id == order.order_id) {
            return Taken::Repeated;
        }
        if let (Action::Release, Some(server)) = (order.action, &order.server) {
            servers.release(server, now + terms.release_ms);
        }
        let server = match order.action {
            Action::Add => None,
            Action::Release => order.server.clone(),
        };
        self.orders.push(OrderBody { server, ..order });
        self.deliver(servers, terms, now);
        Taken::New
    }

    /// Gives spare addresses to the orders that wait for one, oldest first.
    pub(crate) fn deliver(&mut self, servers: &mut Servers, terms: Terms, now: u64) {
        for order in &mut self.orders {
            if order.action == Action::Add && order.server.is_none() {
                let ready_at = now + terms.delivery_ms;
                order.server = servers.add(&order.pool, &order.data_centre, order.cheap, ready_at);
            }
        }
    }

    /// All orders with what became of them.
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
