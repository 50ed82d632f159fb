//! Usage windows: each is sealed once and reported only with the sealed counts.
//!
//! An object service that is restored from an older copy may have lost a seal whose counts were
//! reported. A window that may have been sealed in an earlier era is therefore reported only by a
//! node that knows the counts of its seal, or with a seal of the present era.

use std::collections::BTreeMap;

use pomeloridge_base::http::OutgoingRequest;
use pomeloridge_base::id::{Era, Name};
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
/// A window that may have been sealed in an earlier era must be sealed with the counts of that
/// seal. After an error, including [`PlatformError::Unconfirmed`], the window must not be
/// reported yet; the call may be repeated, except after [`PlatformError::InDoubt`].
pub async fn seal(client: &Client, permit: &Permit, seal: Seal) -> Result<Seal, PlatformError> {
    let era = permit.epoch().era();
    let key = format!("{USAGE_PREFIX}{}", seal.window);
    let value = encode(&SealRecord::new(&seal, permit.epoch(), new_nonce()))?;
    let allowed = || permit.allowed() && client.era() <= era;
    match client
        .put_confirmed_if(&key, value, Expect::Absent, allowed)
        .await?
    {
        // The service was restored meanwhile, so this is not the only seal.
        PutOutcome::Written(version) if version.era() != era => Err(PlatformError::Lapsed),
        PutOutcome::Written(_) => {
            log::info!("usage window={} choice=seal", seal.window);
            Ok(seal)
        }
        // The object never changes, so the one found is the seal.
        PutOutcome::Conflict(Some(object)) | PutOutcome::Unconfirmed(Some(object)) => {
            let found = read_seal_of(&object, era);
            if matches!(found, Err(PlatformError::InDoubt))
                && read_seal(&object)?.accounts == seal.accounts
            {
                return Ok(seal);
            }
            log::info!("usage window={} choice=keep_earlier_seal", seal.window);
            found
        }
        PutOutcome::Conflict(None) => Err(PlatformError::NotFound),
        PutOutcome::Unconfirmed(None) => Err(PlatformError::Unconfirmed(
            pomeloridge_base::http::Fault::Closed,
        )),
    }
}

/// Reads the seal of a window that may have been sealed in an earlier era by another node.
///
/// Fails with [`PlatformError::InDoubt`] unless it was sealed in the era of the permit.
pub async fn find_seal(
    client: &Client,
    permit: &Permit,
    window: &str,
) -> Result<Seal, PlatformError> {
    let found = client.get(&format!("{USAGE_PREFIX}{window}")).await?;
    let object = found.ok_or(PlatformError::InDoubt)?;
    read_seal_of(&object, permit.epoch().era())
}

/// Decodes a seal, if it was written in this era by a holder of this era.
fn read_seal_of(object: &Object, era: Era) -> Result<Seal, PlatformError> {
    if object.version.era() != era || !parse::<SealRecord>(&object.value)?.is_of(era) {
        return Err(PlatformError::InDoubt);
    }
    read_seal(object)
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
