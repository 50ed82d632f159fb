//! Orders for backend servers.

use std::time::Duration;

use http::Method;
use pomeloridge_base::http::{OutgoingRequest, Response};
use pomeloridge_base::id::{Epoch, Name};
use serde::{Deserialize, Serialize};

use crate::authority::Permit;
use crate::call_counts::CallKind;
use crate::client::Client;
use crate::codec::decode;
use crate::error::PlatformError;
use crate::intent::Intent;
use crate::wire::{OrderWire, ReceiptWire};

/// Time that must be left of a lease for a call to be started.
const MIN_TIME_LEFT: Duration = Duration::from_millis(20);

/// Action that an order requests from the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Adds a backend server.
    Add {
        /// Data centre for the server.
        data_centre: Name,
        /// Name of the model or service.
        pool: Name,
        /// Whether the server is to be preemptible.
        #[serde(rename = "cheap")]
        preemptible: bool,
    },
    /// Releases a backend server.
    Release {
        /// Identifier of the server.
        server: Name,
        /// The server's data centre.
        data_centre: Name,
        /// Name of its model or service.
        pool: Name,
    },
}

/// An order for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifier; the same on every retry.
    pub id: String,
    /// Fencing token of the sender.
    pub fence: Epoch,
    /// Requested action.
    pub action: OrderAction,
}

/// The platform's confirmation of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReceipt {
    /// Identifier of the order.
    pub id: String,
    /// Whether the platform had already received the order.
    pub repeated: bool,
}

/// An order in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderStatus {
    /// Identifier of the order.
    pub id: String,
    /// `add` or `release`.
    pub action: Name,
    /// The backend server that it concerns, once there is one.
    pub server: Option<Name>,
    /// State, as the platform names it.
    pub state: Name,
}

impl From<&Intent<OrderAction>> for Order {
    fn from(intent: &Intent<OrderAction>) -> Self {
        Self {
            id: intent.order_id.clone(),
            fence: intent.epoch,
            action: intent.order.clone(),
        }
    }
}

impl Client {
    /// Sends an order, if the permit is valid directly before the write.
    ///
    /// [`PlatformError::Stale`] means that the platform has seen a later holder.
    pub async fn order(
        &self,
        order: &Order,
        permit: &Permit,
    ) -> Result<OrderReceipt, PlatformError> {
        if order.fence != permit.epoch() {
            return Err(PlatformError::Lapsed);
        }
        let request = OutgoingRequest::new(Method::POST, "/orders").json(&OrderWire::from(order));
        let response = self.write_permitted(CallKind::Order, request, permit).await;
        let response = response.map_err(|error| match error {
            PlatformError::Conflict { .. } => PlatformError::Stale,
            other => other,
        })?;
        Ok(decode::<ReceiptWire>(&response)?.into())
    }

    /// Sends a request that ends before the permit does, including any bytes still
    /// queued in the kernel.
    pub(crate) async fn write_permitted(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
        permit: &Permit,
    ) -> Result<Response, PlatformError> {
        let left = permit.left();
        if left < MIN_TIME_LEFT {
            return Err(PlatformError::Lapsed);
        }
        let time = left.min(self.timeout());
        self.write(kind, request, time, || permit.allowed()).await
    }
}
