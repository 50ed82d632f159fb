//! Intents: an order is written into the object service before it is sent.
//!
//! Each slot (an engine, or one of the slots for orders to the platform) has one
//! object and therefore at most one outstanding order. The order's identifier contains
//! the number stored in that object, so that a retry by any node is the same order.
//!
//! A new holder first reads the intents. It adopts an open intent of an earlier tenure
//! and sends the same order again, or waits until its deadline has passed (on this
//! node's clock, see [`crate::Observation`]) and finishes it once the server's state has
//! been read. A server that does not check fencing tokens is sent no order, repeated or
//! new, until [`crate::Authority::unfenced_wait`] is zero.

use std::time::Duration;

use pomeloridge_base::id::{Epoch, Name, Revision};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::authority::Permit;
use crate::client::Client;
use crate::confirmed_put::{PutOutcome, new_nonce};
use crate::error::PlatformError;
use crate::object::{Expect, Object};
use crate::records::{IntentRecord, encode, parse};

/// Prefix of the keys of engines' intents.
pub const ENGINE_INTENTS: &str = "intent/engine/";
/// Prefix of the keys of intents for orders to the platform.
pub const ORDER_INTENTS: &str = "intent/orders/";

/// Whether an order is outstanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The order may be sent or has been sent.
    Open,
    /// The order has finished.
    Done,
}

/// Place for one outstanding order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot {
    prefix: &'static str,
    id: String,
}

impl Slot {
    /// Returns the slot of an engine.
    pub fn engine(id: &Name) -> Self {
        Self {
            prefix: ENGINE_INTENTS,
            id: id.as_str().to_owned(),
        }
    }

    /// Returns a slot for orders to the platform.
    pub fn orders(id: &Name) -> Self {
        Self {
            prefix: ORDER_INTENTS,
            id: id.as_str().to_owned(),
        }
    }

    /// Returns the name of the engine or of the slot for orders.
    pub fn id(&self) -> &str {
        &self.id
    }

    fn key(&self) -> String {
        format!("{}{}", self.prefix, self.id)
    }

    fn order_id(&self, number: u64) -> String {
        format!("{}#{number}", self.id)
    }
}

/// An order and its state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent<A> {
    /// Identifier of the order; the same on every retry.
    pub order_id: String,
    /// Number of the order within its slot.
    pub number: u64,
    /// Epoch of the holder that last wrote the intent.
    pub epoch: Epoch,
    /// Ordered action.
    pub order: A,
    /// Whether the order is outstanding.
    pub state: IntentState,
    /// Maximum duration of the order.
    pub deadline: Duration,
}

impl<A> Intent<A> {
    /// Returns whether the order is outstanding.
    pub fn is_open(&self) -> bool {
        self.state == IntentState::Open
    }
}

/// An intent stored in the object service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredIntent<A> {
    /// Slot that it occupies.
    pub slot: Slot,
    /// Version of the object.
    pub version: Revision,
    /// Content of the object.
    pub intent: Intent<A>,
}

/// Outcome of the write of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<A> {
    /// The intent is stored; the order may be sent.
    Written(StoredIntent<A>),
    /// The slot contains another intent, which must be dealt with first.
    Changed(StoredIntent<A>),
    /// Unknown; the order must not be sent, and the slot must be read again.
    Unconfirmed,
}

/// Status of a slot, which determines what a holder may do with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStatus {
    /// No order is outstanding; a new one may be sent.
    Free,
    /// An order of this tenure is outstanding; it may be sent again.
    Own,
    /// An order of an earlier tenure is outstanding; it is to be adopted and sent again.
    Inherited,
    /// The order's deadline has passed. Once the server's state has been read, the intent
    /// may be finished and another order sent.
    Overdue,
    /// A later tenure wrote the intent; this tenure has ended.
    Superseded,
}

/// Returns the status of a slot for the tenure `epoch`, whose intent has stayed unchanged
/// for `unchanged_for`.
pub fn slot_status<A>(intent: &Intent<A>, epoch: Epoch, unchanged_for: Duration) -> SlotStatus {
    if intent.epoch > epoch {
        SlotStatus::Superseded
    } else if !intent.is_open() {
        SlotStatus::Free
    } else if unchanged_for >= intent.deadline {
        SlotStatus::Overdue
    } else if intent.epoch == epoch {
        SlotStatus::Own
    } else {
        SlotStatus::Inherited
    }
}

/// Reads all intents under a prefix.
///
/// Logs and skips an intent that cannot be decoded. Its slot stays blocked, because a new
/// intent is written only if the object does not exist.
pub async fn read_intents<A: DeserializeOwned>(
    client: &Client,
    prefix: &'static str,
) -> Result<Vec<StoredIntent<A>>, PlatformError> {
    let (_, objects) = client.list(prefix).await?;
    let decode = |object: Object| {
        let id = object.key.strip_prefix(prefix)?.to_owned();
        match decode_intent(Slot { prefix, id }, &object) {
            Ok(stored) => Some(stored),
            Err(error) => {
                log::error!("intent key={} cannot be read: {error}", object.key);
                None
            }
        }
    };
    Ok(objects.into_iter().filter_map(decode).collect())
}

/// Writes a new order into a slot, before it is sent.
///
/// `current` is the intent that was read from the slot, `None` if there is none.
pub async fn begin<A>(
    client: &Client,
    permit: &Permit,
    slot: Slot,
    current: Option<&StoredIntent<A>>,
    order: A,
    deadline: Duration,
) -> Result<WriteOutcome<A>, PlatformError>
where
    A: Clone + Serialize + DeserializeOwned,
{
    if let Some(stored) = current
        && stored.intent.is_open()
    {
        return Ok(WriteOutcome::Changed(stored.clone()));
    }
    let number = current.map_or(0, |stored| stored.intent.number) + 1;
    let expect = precondition(current);
    let intent = Intent {
        order_id: slot.order_id(number),
        number,
        epoch: permit.epoch(),
        order,
        state: IntentState::Open,
        deadline,
    };
    write_intent(client, slot, intent, expect, || permit.allowed()).await
}

/// Adopts the outstanding order of an earlier tenure: the same order with this tenure's
/// fencing token.
pub async fn adopt<A>(
    client: &Client,
    permit: &Permit,
    current: &StoredIntent<A>,
) -> Result<WriteOutcome<A>, PlatformError>
where
    A: Clone + Serialize + DeserializeOwned,
{
    let intent = Intent {
        epoch: permit.epoch(),
        ..current.intent.clone()
    };
    let expect = precondition(Some(current));
    write_intent(client, current.slot.clone(), intent, expect, || {
        permit.allowed()
    })
    .await
}

/// Marks an order as finished.
///
/// Requires no authority, as the order has finished in any case and the write fails if
/// another holder has adopted it.
pub async fn finish<A>(
    client: &Client,
    current: &StoredIntent<A>,
) -> Result<WriteOutcome<A>, PlatformError>
where
    A: Clone + Serialize + DeserializeOwned,
{
    let intent = Intent {
        state: IntentState::Done,
        ..current.intent.clone()
    };
    let expect = precondition(Some(current));
    write_intent(client, current.slot.clone(), intent, expect, || true).await
}

/// Sends an outstanding order with `write`, which must check the permit directly
/// before its write to the socket.
///
/// An order written in another tenure is not sent but fails with [`PlatformError::Lapsed`].
pub async fn send<A, R>(
    permit: &Permit,
    stored: &StoredIntent<A>,
    write: impl AsyncFnOnce(&Intent<A>, &Permit) -> Result<R, PlatformError>,
) -> Result<R, PlatformError> {
    let intent = &stored.intent;
    if !intent.is_open() || intent.epoch != permit.epoch() || !permit.allowed() {
        return Err(PlatformError::Lapsed);
    }
    log::info!(
        "order id={} epoch={} choice=send left_ms={}",
        intent.order_id,
        intent.epoch,
        permit.left().as_millis()
    );
    write(intent, permit).await
}

async fn write_intent<A>(
    client: &Client,
    slot: Slot,
    intent: Intent<A>,
    expect: Expect,
    allowed: impl FnOnce() -> bool,
) -> Result<WriteOutcome<A>, PlatformError>
where
    A: Clone + Serialize + DeserializeOwned,
{
    let value = encode(&IntentRecord::new(&intent, new_nonce()))?;
    let key = slot.key();
    let put = client.put_confirmed_if(&key, value, expect, allowed);
    match put.await? {
        PutOutcome::Written(version) => Ok(WriteOutcome::Written(StoredIntent {
            slot,
            version,
            intent,
        })),
        PutOutcome::Conflict(Some(object)) => {
            Ok(WriteOutcome::Changed(decode_intent(slot, &object)?))
        }
        PutOutcome::Conflict(None) => Err(PlatformError::NotFound),
        PutOutcome::Unconfirmed(_) => Ok(WriteOutcome::Unconfirmed),
    }
}

fn precondition<A>(current: Option<&StoredIntent<A>>) -> Expect {
    current.map_or(Expect::Absent, |stored| Expect::Version(stored.version))
}

fn decode_intent<A: DeserializeOwned>(
    slot: Slot,
    object: &Object,
) -> Result<StoredIntent<A>, PlatformError> {
    let record: IntentRecord<A> = parse(&object.value)?;
    Ok(StoredIntent {
        slot,
        version: object.version,
        intent: record.into(),
    })
}
