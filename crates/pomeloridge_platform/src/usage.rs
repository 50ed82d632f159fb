//! Usage windows: each is sealed once and reported only with the sealed counts.

use std::collections::BTreeMap;

use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_base::id::Name;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::authority::Permit;
use crate::call_counts::CallKind;
use crate::client::Client;
use crate::codec::decode;
use crate::confirmed_put::{PutOutcome, new_nonce};
use crate::error::PlatformError;
use crate::object::{Expect, Object};
use crate::records::{SealRecord, encode, parse};
use crate::wire::{UsageReceiptWire, UsageWire};

/// Prefix of the keys of sealed windows.
pub const USAGE_PREFIX: &str = "usage/";

/// Usage of one client account in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCounts {
    /// Requests that were executed.
    pub requests: u64,
    /// Prompt tokens processed.
    pub prompt_tokens: u64,
    /// Output tokens generated.
    pub output_tokens: u64,
}

/// A sealed window, whose content is reported unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Seal {
    /// Identifier of the window.
    pub window: String,
    /// Counts by client account.
    pub accounts: Value,
    /// What was counted, in the format of the holder that sealed the window.
    pub included: Value,
}

impl Seal {
    /// Creates a seal that has not been stored yet.
    pub fn new(
        window: impl Into<String>,
        accounts: &BTreeMap<Name, UsageCounts>,
        included: Value,
    ) -> Result<Self, PlatformError> {
        Ok(Self {
            window: window.into(),
            accounts: encode(accounts)?,
            included,
        })
    }

    /// Returns the counts by client account.
    pub fn counts(&self) -> Result<BTreeMap<Name, UsageCounts>, PlatformError> {
        parse(&self.accounts)
    }
}

/// The platform's confirmation of a usage report.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReceipt {
    /// Identifier of the window.
    pub window: String,
    /// Whether the platform had already received the report.
    pub repeated: bool,
}

/// Seals a window and returns the seal in force, which is the earlier one if there is one.
///
/// After an error, including [`PlatformError::Unconfirmed`], the window must not be
/// reported yet; the call may be repeated.
pub async fn seal(client: &Client, permit: &Permit, seal: Seal) -> Result<Seal, PlatformError> {
    let key = format!("{USAGE_PREFIX}{}", seal.window);
    let value = encode(&SealRecord::new(&seal, new_nonce()))?;
    let put = client.put_confirmed_if(&key, value, Expect::Absent, || permit.allowed());
    match put.await? {
        PutOutcome::Written(_) => {
            log::info!("usage window={} choice=seal", seal.window);
            Ok(seal)
        }
        // The object never changes, so the one found is the seal.
        PutOutcome::Conflict(Some(object)) | PutOutcome::Unconfirmed(Some(object)) => {
            log::info!("usage window={} choice=keep_earlier_seal", seal.window);
            read_seal(&object)
        }
        PutOutcome::Conflict(None) => Err(PlatformError::NotFound),
        PutOutcome::Unconfirmed(None) => Err(PlatformError::Unconfirmed(
            pomeloridge_base::http::Fault::Closed,
        )),
    }
}

/// Reads all sealed windows.
pub async fn read_seals(client: &Client) -> Result<Vec<Seal>, PlatformError> {
    let (_, objects) = client.list(USAGE_PREFIX).await?;
    objects.iter().map(read_seal).collect()
}

fn read_seal(object: &Object) -> Result<Seal, PlatformError> {
    let window = object.key.strip_prefix(USAGE_PREFIX).unwrap_or_default();
    Ok(parse::<SealRecord>(&object.value)?.into_seal(window))
}

impl Client {
    /// Reports a sealed window, if the permit is valid directly before the write.
    ///
    /// [`PlatformError::Differs`] means that the platform has different counts for it.
    pub async fn report_usage(
        &self,
        seal: &Seal,
        permit: &Permit,
    ) -> Result<UsageReceipt, PlatformError> {
        let wire = UsageWire {
            window: &seal.window,
            fence: permit.epoch(),
            accounts: &seal.accounts,
        };
        let request = OutgoingRequest::new(http::Method::POST, "/usage").json(&wire);
        let response = self.write_permitted(CallKind::Usage, request, permit).await;
        let response = response.map_err(|error| match error {
            PlatformError::Conflict { .. } => PlatformError::Differs,
            other => other,
        })?;
        Ok(decode::<UsageReceiptWire>(&response)?.into())
    }
}
