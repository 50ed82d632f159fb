//! Intents: an order is written into the object service before it is sent.
//!
//! Each slot (an engine, or one line of orders to the platform) has one object
//! and so at most one outstanding order. The order's identifier comes from the
//! count in that object, so that whoever sends it again sends the same order.
//!
//! A new holder first reads the intents. An open one of an earlier holding is
//! taken on and the same order sent again, or waited for past its deadline (on
//! this node's clock, see [`crate::Observation`]) and finished once the server's
//! state has been read. A server that does not check fencing numbers gets no
//! order at all, repeated or new, until [`crate::Authority::unfenced_wait`] is zero.

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

/// Prefix of the intents of engines.
pub const ENGINE_INTENTS: &str = "intent/engine/";
/// Prefix of the intents of orders to the platform.
pub const ORDER_INTENTS: &str = "intent/orders/";

/// Whether an order is outstanding.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum IntentState {
    /// The order may be sent, or has been.
    Open,
    /// The order has ended.
    Done,
}

/// What may have one outstanding order.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot {
    prefix: &'static str,
    id: String,
}

impl Slot {
    /// The slot of an engine.
    pub fn engine(id: &Name) -> Self {
        Self {
            prefix: ENGINE_INTENTS,
            id: id.as_str().to_owned(),
        }
    }

    /// A slot for orders to the platform.
    pub fn orders(id: &Name) -> Self {
        Self {
            prefix: ORDER_INTENTS,
            id: id.as_str().to_owned(),
        }
    }

    /// Name of the engine or of the line of orders.
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

/// An order with what is known of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Intent<A> {
    /// Identifier of the order; the same for each repeat.
    pub order_id: String,
    /// Number of the order within its slot.
    pub number: u64,
    /// Fencing number of the holder that wrote it last.
    pub epoch: Epoch,
    /// What is ordered.
    pub order: A,
    /// Whether it is outstanding.
    pub state: IntentState,
    /// Longest time that the order may take.
    pub deadline: Duration,
}

impl<A> Intent<A> {
    /// Whether the order is outstanding.
    pub fn is_open(&self) -> bool {
        self.state == IntentState::Open
    }
}

/// An intent as it is kept in the object service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredIntent<A> {
    /// Where it is kept.
    pub slot: Slot,
    /// Version of the object.
    pub version: Revision,
    /// Content.
    pub intent: Intent<A>,
}

/// What became of the write of an intent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome<A> {
    /// It stands; the order may be sent.
    Written(StoredIntent<A>),
    /// Another write stands in the slot and must be settled first.
    Changed(StoredIntent<A>),
    /// Unknown; the order must not be sent, and the slot must be read again.
    Unconfirmed,
}

/// What a holder may do about a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlotStatus {
    /// Nothing is outstanding; another order may be given.
    Free,
    /// This holding's own order is outstanding; the same may be sent again.
    Own,
    /// An earlier holding's order is outstanding; it is to be taken on and the
    /// same order sent again.
    Inherited,
    /// The order's time has passed; once the server's state has been read, the
    /// intent may be finished and another order given.
    Overdue,
    /// A later holding wrote the intent: this one is over.
    Superseded,
}

/// Decides what the holding `epoch` may do about an intent seen for `unchanged_for`.
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

/// Reads every intent under a prefix.
///
/// One that can't be read is left out with an error in the log; its slot stays
/// blocked, because a new intent expects that there is none.
pub async fn read_intents<A: DeserializeOwned>(
    client: &Client,
    prefix: &'static str,
) -> Result<Vec<StoredIntent<A>>, PlatformError> {
    let (_, objects) = client.list(prefix).await?;
    let readable = |object: Object| {
        let id = object.key.strip_prefix(prefix)?.to_owned();
        match kept(Slot { prefix, id }, &object) {
            Ok(kept) => Some(kept),
            Err(error) => {
                log::error!("intent key={} cannot be read: {error}", object.key);
                None
            }
        }
    };
    Ok(objects.into_iter().filter_map(readable).collect())
}

/// Writes a new order into a slot, before it is sent.
///
/// `current` is the slot's intent as it was read, `None` if there is none.
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
    if let Some(kept) = current
        && kept.intent.is_open()
    {
        return Ok(WriteOutcome::Changed(kept.clone()));
    }
    let number = current.map_or(0, |kept| kept.intent.number) + 1;
    let expect = expected(current);
    let intent = Intent {
        order_id: slot.order_id(number),
        number,
        epoch: permit.epoch(),
        order,
        state: IntentState::Open,
        deadline,
    };
    record(client, slot, intent, expect, || permit.allowed()).await
}

/// Takes on the outstanding order of an earlier holding: the same order under this
/// holding's fencing number.
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
    let expect = expected(Some(current));
    record(client, current.slot.clone(), intent, expect, || {
        permit.allowed()
    })
    .await
}

/// Marks an order as ended.
///
/// No authority is asked for: the order did end, and the write fails if
/// another holder has taken it on.
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
    let expect = expected(Some(current));
    record(client, current.slot.clone(), intent, expect, || true).await
}

/// Sends an outstanding order with `write`, which must check the permit directly
/// before its write to the socket.
///
/// An order that another holding wrote is not sent: [`PlatformError::Lapsed`].
pub async fn send<A, R>(
    permit: &Permit,
    kept: &StoredIntent<A>,
    write: impl AsyncFnOnce(&Intent<A>, &Permit) -> Result<R, PlatformError>,
) -> Result<R, PlatformError> {
    let intent = &kept.intent;
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

async fn record<A>(
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
        PutOutcome::Conflict(Some(object)) => Ok(WriteOutcome::Changed(kept(slot, &object)?)),
        PutOutcome::Conflict(None) => Err(PlatformError::NotFound),
        PutOutcome::Unconfirmed(_) => Ok(WriteOutcome::Unconfirmed),
    }
}

fn expected<A>(current: Option<&StoredIntent<A>>) -> Expect {
    current.map_or(Expect::Absent, |kept| Expect::Version(kept.version))
}

fn kept<A: DeserializeOwned>(
    slot: Slot,
    object: &Object,
) -> Result<StoredIntent<A>, PlatformError> {
    let wire: IntentRecord<A> = parse(&object.value)?;
    Ok(StoredIntent {
        slot,
        version: object.version,
        intent: wire.into(),
    })
}
