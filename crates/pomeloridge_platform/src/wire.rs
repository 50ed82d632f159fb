//! Wire formats and their conversion into domain types.

use std::net::SocketAddr;
use std::time::{Duration, UNIX_EPOCH};

use pomeloridge_base::id::{Epoch, Name, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PlatformError;
use crate::fleet::{BackendServer, ServerKind, ServerState, Vm};
use crate::json::{decode_list, decode_member, decode_text, member};
use crate::object::{Changes, Event, Object};
use crate::order::{Order, OrderAction, OrderReceipt, OrderStatus};
use crate::usage::UsageReceipt;

/// Wire format of an object.
#[derive(Serialize, Deserialize)]
pub struct ObjectWire {
    key: String,
    version: Revision,
    value: Value,
}

impl From<ObjectWire> for Object {
    fn from(wire: ObjectWire) -> Self {
        Self {
            key: wire.key,
            version: wire.version,
            value: wire.value,
        }
    }
}

impl From<Object> for ObjectWire {
    fn from(object: Object) -> Self {
        Self {
            key: object.key,
            version: object.version,
            value: object.value,
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct VersionWire {
    pub(crate) version: Revision,
}

/// Wire format of a list of objects at one revision.
#[derive(Serialize)]
pub struct ListWire {
    revision: Revision,
    objects: Vec<ObjectWire>,
}

impl ListWire {
    /// Decodes a list; an object that cannot be decoded is skipped.
    pub fn decode(text: &[u8]) -> Result<Self, PlatformError> {
        Ok(Self {
            revision: decode_member(text, "revision")?,
            objects: decode_list(text, "objects", decode_text)?,
        })
    }
}

impl From<ListWire> for (Revision, Vec<Object>) {
    fn from(wire: ListWire) -> Self {
        let objects = wire.objects.into_iter().map(Object::from);
        (wire.revision, objects.collect())
    }
}

impl From<(Revision, Vec<Object>)> for ListWire {
    fn from((revision, objects): (Revision, Vec<Object>)) -> Self {
        Self {
            revision,
            objects: objects.into_iter().map(ObjectWire::from).collect(),
        }
    }
}

struct EventWire {
    key: String,
    version: Revision,
    value: Option<Value>,
}

impl EventWire {
    /// Decodes a change. A value that cannot be decoded becomes JSON null, as the value before it
    /// no longer holds.
    fn decode(text: &[u8]) -> Result<Self, PlatformError> {
        let key: String = decode_member(text, "key")?;
        let value = member(text, "value").filter(|value| *value != b"null");
        let value = value.map(|value| {
            decode_text(value).unwrap_or_else(|error| {
                log::warn!("object key={key:?} choice=ignore reason=\"{error}\"");
                Value::Null
            })
        });
        Ok(Self {
            version: decode_member(text, "version")?,
            key,
            value,
        })
    }
}

impl From<EventWire> for Event {
    fn from(wire: EventWire) -> Self {
        Self {
            key: wire.key,
            version: wire.version,
            value: wire.value,
        }
    }
}

pub(crate) struct WatchWire {
    revision: Revision,
    events: Vec<EventWire>,
}

impl WatchWire {
    pub(crate) fn decode(text: &[u8]) -> Result<Self, PlatformError> {
        Ok(Self {
            revision: decode_member(text, "revision")?,
            events: decode_list(text, "events", EventWire::decode)?,
        })
    }
}

impl From<WatchWire> for Changes {
    fn from(wire: WatchWire) -> Self {
        Self {
            revision: wire.revision,
            events: wire.events.into_iter().map(Event::from).collect(),
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct VmWire {
    name: Name,
    address: String,
    data_centre: Name,
    state: String,
}

impl TryFrom<VmWire> for Vm {
    type Error = PlatformError;

    fn try_from(wire: VmWire) -> Result<Self, Self::Error> {
        let leaving = match wire.state.as_str() {
            "live" => false,
            "leaving" => true,
            other => return Err(invalid("VM state", other)),
        };
        Ok(Self {
            address: address(&wire.address)?,
            name: wire.name,
            data_centre: wire.data_centre,
            leaving,
        })
    }
}

#[derive(Deserialize)]
pub(crate) struct ServerWire {
    id: Name,
    address: String,
    data_centre: Name,
    pool: Name,
    kind: String,
    #[serde(default)]
    cheap: bool,
    #[serde(default)]
    price: f64,
    #[serde(default)]
    checks_fence: bool,
    state: String,
    #[serde(default)]
    leave_at: Option<u64>,
}

impl TryFrom<ServerWire> for BackendServer {
    type Error = PlatformError;

    fn try_from(wire: ServerWire) -> Result<Self, Self::Error> {
        let kind = match wire.kind.as_str() {
            "engine" => ServerKind::Engine,
            "service" => ServerKind::Service,
            other => return Err(invalid("kind of backend server", other)),
        };
        let state = match wire.state.as_str() {
            "starting" => ServerState::Starting,
            "ready" => ServerState::Ready,
            "leaving" => ServerState::Leaving,
            other => return Err(invalid("state of a backend server", other)),
        };
        let since_epoch = wire.leave_at.map(Duration::from_millis);
        Ok(Self {
            address: address(&wire.address)?,
            id: wire.id,
            data_centre: wire.data_centre,
            pool: wire.pool,
            kind,
            preemptible: wire.cheap,
            price: wire.price,
            checks_fence: wire.checks_fence,
            state,
            leave_at: since_epoch.and_then(|time| UNIX_EPOCH.checked_add(time)),
        })
    }
}

#[derive(Serialize)]
pub(crate) struct OrderWire<'a> {
    order_id: &'a str,
    fence: Epoch,
    action: &'static str,
    data_centre: &'a Name,
    pool: &'a Name,
    cheap: bool,
    server: Option<&'a Name>,
}

impl<'a> From<&'a Order> for OrderWire<'a> {
    fn from(order: &'a Order) -> Self {
        let (action, data_centre, pool, preemptible, server) = match &order.action {
            OrderAction::Add {
                data_centre,
                pool,
                preemptible,
            } => ("add", data_centre, pool, *preemptible, None),
            OrderAction::Release {
                server,
                data_centre,
                pool,
            } => ("release", data_centre, pool, false, Some(server)),
        };
        Self {
            order_id: &order.id,
            fence: order.fence,
            action,
            data_centre,
            pool,
            cheap: preemptible,
            server,
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct ReceiptWire {
    order_id: String,
    repeated: bool,
}

impl From<ReceiptWire> for OrderReceipt {
    fn from(wire: ReceiptWire) -> Self {
        Self {
            id: wire.order_id,
            repeated: wire.repeated,
        }
    }
}

#[derive(Deserialize)]
pub(crate) struct StatusWire {
    order_id: String,
    action: Name,
    #[serde(default)]
    server: Option<Name>,
    state: Name,
}

impl From<StatusWire> for OrderStatus {
    fn from(wire: StatusWire) -> Self {
        Self {
            id: wire.order_id,
            action: wire.action,
            server: wire.server.filter(|server| !server.is_empty()),
            state: wire.state,
        }
    }
}

#[derive(Serialize)]
pub(crate) struct UsageWire<'a> {
    pub(crate) window: &'a str,
    pub(crate) fence: Epoch,
    pub(crate) accounts: &'a Value,
}

#[derive(Deserialize)]
pub(crate) struct UsageReceiptWire {
    window: String,
    repeated: bool,
}

impl From<UsageReceiptWire> for UsageReceipt {
    fn from(wire: UsageReceiptWire) -> Self {
        Self {
            window: wire.window,
            repeated: wire.repeated,
        }
    }
}

/// Decodes and converts the entries of a list, and logs and skips invalid ones.
///
/// A single invalid entry must not hide the rest of the fleet.
pub(crate) fn convert_list<W, T>(text: &[u8], name: &str) -> Result<Vec<T>, PlatformError>
where
    W: DeserializeOwned,
    T: TryFrom<W, Error: Into<PlatformError>>,
{
    decode_list(text, name, |entry| {
        T::try_from(decode_text::<W>(entry)?).map_err(Into::into)
    })
}

fn address(text: &str) -> Result<SocketAddr, PlatformError> {
    text.parse().map_err(|_| invalid("address", text))
}

fn invalid(what: &str, value: &str) -> PlatformError {
    PlatformError::Malformed(format!("invalid {what} {value:?}"))
}
