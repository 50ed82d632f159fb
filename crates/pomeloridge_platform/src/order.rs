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

/// Shortest rest of a lease in which a call is still begun.
const SHORTEST_REST: Duration = Duration::from_millis(20);

/// What an order asks of the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Add a backend server.
    Add {
        /// Where.
        data_centre: Name,
        /// Model or service.
        pool: Name,
        /// Whether a cheap one is asked for.
        #[serde(rename = "cheap")]
        preemptible: bool,
    },
    /// Release a backend server.
    Release {
        /// Which one.
        server: Name,
        /// Where it is.
        data_centre: Name,
        /// Its model or service.
        pool: Name,
    },
}

/// An order for a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Identifier; the same for each repeat.
    pub id: String,
    /// Fencing number of the sender.
    pub fence: Epoch,
    /// What is asked for.
    pub action: OrderAction,
}

/// The platform's confirmation of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderReceipt {
    /// Identifier of the order.
    pub id: String,
    /// Whether the platform knew the order already.
    pub repeated: bool,
}

/// An order that the platform keeps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderStatus {
    /// Identifier of the order.
    pub id: String,
    /// `add` or `release`.
    pub action: Name,
    /// The backend server that it concerns, once there is one.
    pub server: Option<Name>,
    /// State in the platform's words.
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
    /// Gives an order, if the permit holds directly before the write.
    ///
    /// [`PlatformError::Stale`] means that another holder has been in charge since.
    pub async fn order(
        &self,
        order: &Order,
        permit: &Permit,
    ) -> Result<OrderReceipt, PlatformError> {
        if order.fence != permit.epoch() {
            return Err(PlatformError::Lapsed);
        }
        let request = OutgoingRequest::new(Method::POST, "/orders").json(&OrderWire::from(order));
        let response = self.write_by(CallKind::Order, request, permit).await;
        let response = response.map_err(|error| match error {
            PlatformError::Conflict { .. } => PlatformError::Stale,
            other => other,
        })?;
        Ok(decode::<ReceiptWire>(&response)?.into())
    }

    /// Sends a request that ends, also in the kernel, before the permit does.
    pub(crate) async fn write_by(
        &self,
        kind: CallKind,
        request: OutgoingRequest,
        permit: &Permit,
    ) -> Result<Response, PlatformError> {
        let left = permit.left();
        if left < SHORTEST_REST {
            return Err(PlatformError::Lapsed);
        }
        let time = left.min(self.timeout());
        self.write(kind, request, time, || permit.allowed()).await
    }
}
