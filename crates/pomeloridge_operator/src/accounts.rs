//! Routes for client accounts and their keys.
//!
//! A key appears only in the response that issues it; only its hash is stored.

use pomeloridge_base::config::{
    ACCOUNTS_PREFIX, AccountConfig, AccountShard, KeyConfig, account_key,
};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Name, Revision};
use pomeloridge_base::secret::KeyHash;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use crate::change::{Change, commit, unchanged};
use crate::check;
use crate::refusal::{Refusal, RouteResult};
use crate::state::OperatorState;

/// Random bytes in a key.
const KEY_BYTES: usize = 32;
/// Random bytes in a key's identifier.
const KEY_ID_BYTES: usize = 6;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct NewAccount {
    name: Name,
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    reason: String,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Why")]
struct ChangeReason {
    reason: String,
}

fn default_weight() -> f64 {
    AccountConfig::default().weight
}

/// Handles `GET /accounts`; the response has no key hashes.
pub(crate) async fn list(state: &OperatorState) -> RouteResult {
    let found = (state.store.list)(ACCOUNTS_PREFIX.to_owned()).await?;
    let mut accounts = Map::new();
    for object in found {
        for (name, account) in parse_shard(&object.key, object.value)?.accounts {
            let key = |key: &KeyConfig| json!({"id": key.id, "withdrawn": key.withdrawn});
            let keys: Vec<Value> = account.keys.iter().map(key).collect();
            let entry = json!({"name": name, "weight": account.weight, "keys": keys});
            accounts.insert(name.to_string(), entry);
        }
    }
    let accounts: Vec<Value> = accounts.into_iter().map(|(_, account)| account).collect();
    Ok((200, json!({ "accounts": accounts })))
}

/// Handles `POST /accounts` with the body `{"name","weight","reason"}`.
pub(crate) async fn add(state: &OperatorState, by: &Name, body: &[u8]) -> RouteResult {
    let new: NewAccount = parse_body(body)?;
    let problems = check::check_account(&new.name, new.weight);
    if !problems.is_empty() {
        return Err(Refusal::problems(&problems));
    }
    let key = account_key(&new.name);
    let (expect, mut shard) = read_shard(state, &key).await?;
    if let Some(account) = shard.accounts.get(&new.name) {
        let problem = format!("the account exists with weight {}", account.weight);
        return Err(Refusal::conflict(expect).with_field(
            "problems",
            json!([check::Problem::new("name", &problem, "choose another name")]),
        ));
    }
    let account = AccountConfig {
        weight: new.weight,
        keys: Vec::new(),
    };
    shard.accounts.insert(new.name.clone(), account);
    let change = Change {
        key: &key,
        value: json!(shard),
        expect,
        by,
        what: format!("added account {} with weight {}", new.name, new.weight),
        reason: new.reason,
    };
    Ok((201, commit(state, change).await?))
}

/// Handles `POST /accounts/NAME/keys`.
pub(crate) async fn issue(
    state: &OperatorState,
    by: &Name,
    name: &Name,
    body: &[u8],
) -> RouteResult {
    let request: ChangeReason = parse_body(body)?;
    let shard_key = account_key(name);
    let (expect, mut shard) = read_shard(state, &shard_key).await?;
    let account = shard.accounts.get_mut(name).ok_or(ErrorKind::NotFound)?;
    let key = format!("sk-{}", hex::encode(rand::random::<[u8; KEY_BYTES]>()));
    let id = format!("k-{}", hex::encode(rand::random::<[u8; KEY_ID_BYTES]>()));
    account.keys.push(KeyConfig {
        id: Name::from(id.as_str()),
        sha256: KeyHash::of(key.as_bytes()).to_hex(),
        withdrawn: false,
    });
    let change = Change {
        key: &shard_key,
        value: json!(shard),
        expect,
        by,
        what: format!("issued key {id} of account {name}"),
        reason: request.reason,
    };
    // If it is unknown whether the key was stored, the response has only its identifier, with
    // which it can be withdrawn.
    let mut response = commit(state, change)
        .await
        .map_err(|refusal| match refusal.kind {
            ErrorKind::ChangeUnknown => refusal.with_field("id", json!(id)),
            _ => refusal,
        })?;
    response["id"] = json!(id);
    response["key"] = json!(key);
    Ok((201, response))
}

/// Handles `POST /accounts/NAME/keys/ID/withdraw`; a repeat changes nothing.
pub(crate) async fn withdraw(
    state: &OperatorState,
    by: &Name,
    name: &Name,
    id: &str,
    body: &[u8],
) -> RouteResult {
    let request: ChangeReason = parse_body(body)?;
    let shard_key = account_key(name);
    let (expect, mut shard) = read_shard(state, &shard_key).await?;
    let account = shard.accounts.get_mut(name).ok_or(ErrorKind::NotFound)?;
    let key = account.keys.iter_mut().find(|key| key.id.as_str() == id);
    let key = key.ok_or(ErrorKind::NotFound)?;
    if key.withdrawn {
        return Ok((200, unchanged(state, &shard_key, expect).await));
    }
    key.withdrawn = true;
    let change = Change {
        key: &shard_key,
        value: json!(shard),
        expect,
        by,
        what: format!("withdrew key {id} of account {name}"),
        reason: request.reason,
    };
    Ok((200, commit(state, change).await?))
}

async fn read_shard(state: &OperatorState, key: &str) -> Result<(Revision, AccountShard), Refusal> {
    match (state.store.get)(key.to_owned()).await? {
        Some((revision, value)) => Ok((revision, parse_shard(key, value)?)),
        None => Ok((Revision(0), AccountShard::default())),
    }
}

fn parse_shard(key: &str, value: Value) -> Result<AccountShard, Refusal> {
    serde_json::from_value(value).map_err(|error| {
        let fix = "use a version that can read the object";
        Refusal::problem(key, &error.to_string(), fix)
    })
}

/// Parses a JSON body; an empty body is read as `{}`.
fn parse_body<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body).map_err(|error| {
        let fix = "send the JSON object that the route expects";
        Refusal::problem("body", &error.to_string(), fix)
    })
}
