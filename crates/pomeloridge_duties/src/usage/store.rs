//! Reads sealed windows from the object service, and stores up to which window they have been
//! reported.
//!
//! This mark only saves reads. It is a lower bound: a new lease holder reads all windows after
//! it, up to the first that does not exist.

use std::collections::BTreeMap;

use pomeloridge_base::id::Name;
use pomeloridge_platform::usage::{Seal, USAGE_PREFIX, UsageCounts};
use pomeloridge_platform::{Client, Expect, Object, PlatformError};
use serde_json::{Value, json};

use super::{Included, Ledger, Retention};

/// Key of the object that stores the number of the last window known to be reported.
const MARK_KEY: &str = "usage_mark";

/// Returns the identifier of a window.
pub fn window_id(window: u64) -> String {
    format!("{window:010}")
}

/// Sealed window, as shown to operators.
#[derive(Clone, Debug, PartialEq)]
pub struct SealedWindow {
    /// Window number.
    pub window: u64,
    /// End of the previous window, in ms since the Unix epoch.
    pub from_ms: u64,
    /// Time at which it was sealed, in ms since the Unix epoch.
    pub to_ms: u64,
    /// Usage by client account.
    pub accounts: BTreeMap<Name, UsageCounts>,
    /// Whether the platform is known to have confirmed the report.
    pub reported: bool,
}

/// Reads the newest `count` sealed windows, oldest first.
pub async fn read_sealed_windows(
    client: &Client,
    count: u64,
) -> Result<Vec<SealedWindow>, PlatformError> {
    let mark = read_mark(client).await?;
    let mut windows = Vec::new();
    let mut window = mark.saturating_sub(count) + 1;
    while let Some(seal) = read_seal(client, window).await? {
        let included = parse_included(&seal)?;
        windows.push(SealedWindow {
            window,
            from_ms: included.from_ms,
            to_ms: included.to_ms,
            accounts: seal.counts()?,
            reported: window <= mark,
        });
        window += 1;
    }
    let surplus = windows.len().saturating_sub(count as usize);
    Ok(windows.split_off(surplus))
}

/// Reads the stored state of usage accounting, and the windows that may not have been
/// reported.
pub(crate) async fn load(
    client: &Client,
    retention: Retention,
) -> Result<(Ledger, Vec<(u64, Seal)>), PlatformError> {
    let mark = read_mark(client).await?;
    let mut ledger = Ledger::new(retention);
    for (window, included) in read_retained(client, mark, retention).await? {
        ledger.apply(window, included);
    }
    let mut unreported = Vec::new();
    let mut window = mark + 1;
    while let Some(seal) = read_seal(client, window).await? {
        ledger.apply(window, parse_included(&seal)?);
        unreported.push((window, seal));
        window += 1;
    }
    Ok((ledger, unreported))
}

/// Reads the reported windows whose requests are retained, oldest first.
async fn read_retained(
    client: &Client,
    mark: u64,
    retention: Retention,
) -> Result<Vec<(u64, Included)>, PlatformError> {
    let mut windows = Vec::<(u64, Included)>::new();
    for window in (1..=mark).rev() {
        let Some(seal) = read_seal(client, window).await? else {
            // Without it, its batches could be counted a second time.
            let missing = window_id(window);
            let text = format!("sealed usage window {missing} is missing");
            return Err(PlatformError::Malformed(text));
        };
        let included = parse_included(&seal)?;
        let newest = windows
            .first()
            .map_or(included.to_ms, |(_, first)| first.to_ms);
        if !retention.covers(windows.len(), included.to_ms, newest) {
            break;
        }
        windows.push((window, included));
    }
    windows.reverse();
    Ok(windows)
}

/// Stores that every window up to `window` has been reported.
pub(crate) async fn write_mark(client: &Client, window: u64) -> Result<(), PlatformError> {
    let value = json!({ "reported": window });
    client.put(MARK_KEY, &value, Expect::Any).await.map(|_| ())
}

/// Parses the counted batches and requests of a sealed window.
pub(crate) fn parse_included(seal: &Seal) -> Result<Included, PlatformError> {
    Included::from_value(&seal.included)
        .map_err(|error| PlatformError::Malformed(error.to_string()))
}

async fn read_mark(client: &Client) -> Result<u64, PlatformError> {
    let object = client.get(MARK_KEY).await?;
    let mark = object.and_then(|object| object.value.get("reported").and_then(Value::as_u64));
    Ok(mark.unwrap_or(0))
}

async fn read_seal(client: &Client, window: u64) -> Result<Option<Seal>, PlatformError> {
    let id = window_id(window);
    let object = client.get(&format!("{USAGE_PREFIX}{id}")).await?;
    Ok(object.map(|object| parse_seal(id, &object)))
}

fn parse_seal(window: String, object: &Object) -> Seal {
    let field = |name| object.value.get(name).cloned().unwrap_or_default();
    Seal {
        window,
        accounts: field("accounts"),
        included: field("included"),
    }
}
