//! Formats of the objects that nodes store in the object service.

use std::time::Duration;

use pomeloridge_base::id::{Epoch, Era, Incarnation, Name};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::PlatformError;
use crate::intent::{Intent, IntentState};
use crate::lease::Lease;
use crate::usage::Seal;

#[derive(Serialize, Deserialize)]
pub(crate) struct LeaseRecord {
    holder: Name,
    incarnation: Incarnation,
    epoch: Epoch,
    term_ms: u64,
    nonce: String,
    /// Missing in records of former versions.
    #[serde(default)]
    first_era: Option<u64>,
}

impl From<&Lease> for LeaseRecord {
    fn from(lease: &Lease) -> Self {
        Self {
            holder: lease.holder.clone(),
            incarnation: lease.incarnation,
            epoch: lease.epoch,
            term_ms: millis(lease.term),
            nonce: lease.nonce.clone(),
            first_era: Some(lease.first_era.0),
        }
    }
}

impl From<LeaseRecord> for Lease {
    fn from(record: LeaseRecord) -> Self {
        let era = record.epoch.era();
        Self {
            holder: record.holder,
            incarnation: record.incarnation,
            epoch: record.epoch,
            term: Duration::from_millis(record.term_ms),
            nonce: record.nonce,
            first_era: record.first_era.map_or(era, |first| era.min(Era(first))),
        }
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) struct IntentRecord<A> {
    order_id: String,
    count: u64,
    epoch: Epoch,
    order: A,
    state: IntentState,
    deadline_ms: u64,
    nonce: String,
}

impl<A: Clone> IntentRecord<A> {
    pub(crate) fn new(intent: &Intent<A>, nonce: String) -> Self {
        Self {
            order_id: intent.order_id.clone(),
            count: intent.number,
            epoch: intent.epoch,
            order: intent.order.clone(),
            state: intent.state,
            deadline_ms: millis(intent.deadline),
            nonce,
        }
    }
}

impl<A> From<IntentRecord<A>> for Intent<A> {
    fn from(record: IntentRecord<A>) -> Self {
        Self {
            order_id: record.order_id,
            number: record.count,
            epoch: record.epoch,
            order: record.order,
            state: record.state,
            deadline: Duration::from_millis(record.deadline_ms),
        }
    }
}

#[derive(Serialize, Deserialize)]
pub(crate) struct SealRecord {
    accounts: Value,
    #[serde(default)]
    included: Value,
    /// Epoch of the holder that sealed the window.
    #[serde(default)]
    epoch: Epoch,
    nonce: String,
}

impl SealRecord {
    pub(crate) fn new(seal: &Seal, epoch: Epoch, nonce: String) -> Self {
        Self {
            accounts: seal.accounts.clone(),
            included: seal.included.clone(),
            epoch,
            nonce,
        }
    }

    /// Returns whether the window was sealed in an era of the object service.
    pub(crate) fn is_of(&self, era: Era) -> bool {
        self.epoch.era() == era
    }

    pub(crate) fn into_seal(self, window: &str) -> Seal {
        Seal {
            window: window.to_owned(),
            accounts: self.accounts,
            included: self.included,
        }
    }
}

pub(crate) fn encode<T: Serialize>(record: &T) -> Result<Value, PlatformError> {
    serde_json::to_value(record).map_err(|error| PlatformError::Malformed(error.to_string()))
}

pub(crate) fn parse<T: DeserializeOwned>(value: &Value) -> Result<T, PlatformError> {
    T::deserialize(value).map_err(|error| PlatformError::Malformed(error.to_string()))
}

fn millis(time: Duration) -> u64 {
    time.as_millis().try_into().unwrap_or(u64::MAX)
}
