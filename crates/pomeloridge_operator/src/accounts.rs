//! The routes for client accounts and their keys.
//!
//! A key is shown once, in the answer that makes it; only its hash is stored.

use pomeloridge_base::config::{
    ACCOUNTS_PREFIX, AccountConfig, AccountShard, KeyConfig, account_key,
};
use pomeloridge_base::error::ErrorKind;
use pomeloridge_base::id::{Name, Revision};
use pomeloridge_base::secret::KeyHash;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value, json};

use crate::answer::{Outcome, Refusal};
use crate::change::{Change, commit, unchanged};
use crate::check;
use crate::state::OperatorState;

/// Random bytes of a key.
const KEY_BYTES: usize = 32;
/// Random bytes of a key's identifier.
const ID_BYTES: usize = 6;

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
#[serde(deny_unknown_fields, default)]
struct Why {
    reason: String,
}

fn default_weight() -> f64 {
    AccountConfig::default().weight
}

/// `GET /accounts`, without the hashes of keys.
pub(crate) async fn list(state: &OperatorState) -> Outcome {
    let found = (state.store.list)(ACCOUNTS_PREFIX.to_owned()).await?;
    let mut accounts = Map::new();
    for object in found {
        for (name, account) in shard_of(&object.key, object.value)?.accounts {
            let key = |key: &KeyConfig| json!({"id": key.id, "withdrawn": key.withdrawn});
            let keys: Vec<Value> = account.keys.iter().map(key).collect();
            let shown = json!({"name": name, "weight": account.weight, "keys": keys});
            accounts.insert(name.to_string(), shown);
        }
    }
    let accounts: Vec<Value> = accounts.into_iter().map(|(_, account)| account).collect();
    Ok((200, json!({ "accounts": accounts })))
}

/// `POST /accounts` with `{"name","weight"}`.
pub(crate) async fn add(state: &OperatorState, by: &Name, body: &[u8]) -> Outcome {
    let new: NewAccount = parse(body)?;
    let problems = check::check_account(&new.name, new.weight);
    if !problems.is_empty() {
        return Err(Refusal::problems(&problems));
    }
    let key = account_key(&new.name);
    let (expect, mut shard) = read(state, &key).await?;
    if let Some(account) = shard.accounts.get(&new.name) {
        let fault = format!("the account exists with weight {}", account.weight);
        return Err(Refusal::conflict(expect).with(
            "problems",
            json!([check::Problem::new("name", &fault, "choose another name")]),
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

/// `POST /accounts/NAME/keys`
pub(crate) async fn issue(state: &OperatorState, by: &Name, name: &Name, body: &[u8]) -> Outcome {
    let why: Why = parse(body)?;
    let shard_key = account_key(name);
    let (expect, mut shard) = read(state, &shard_key).await?;
    let account = shard.accounts.get_mut(name).ok_or(ErrorKind::NotFound)?;
    let key = format!("sk-{}", hex::encode(rand::random::<[u8; KEY_BYTES]>()));
    let id = format!("k-{}", hex::encode(rand::random::<[u8; ID_BYTES]>()));
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
        reason: why.reason,
    };
    // A key whose storing is unknown is not shown; its identifier lets it be withdrawn.
    let mut answer = commit(state, change)
        .await
        .map_err(|refusal| match refusal.kind {
            ErrorKind::ChangeUnknown => refusal.with("id", json!(id)),
            _ => refusal,
        })?;
    answer["id"] = json!(id);
    answer["key"] = json!(key);
    Ok((201, answer))
}

/// `POST /accounts/NAME/keys/ID/withdraw`; withdrawing twice changes nothing.
pub(crate) async fn withdraw(
    state: &OperatorState,
    by: &Name,
    name: &Name,
    id: &str,
    body: &[u8],
) -> Outcome {
    let why: Why = parse(body)?;
    let shard_key = account_key(name);
    let (expect, mut shard) = read(state, &shard_key).await?;
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
        reason: why.reason,
    };
    Ok((200, commit(state, change).await?))
}

async fn read(state: &OperatorState, key: &str) -> Result<(Revision, AccountShard), Refusal> {
    match (state.store.get)(key.to_owned()).await? {
        Some((revision, value)) => Ok((revision, shard_of(key, value)?)),
        None => Ok((Revision(0), AccountShard::default())),
    }
}

fn shard_of(key: &str, value: Value) -> Result<AccountShard, Refusal> {
    serde_json::from_value(value).map_err(|error| {
        let fix = "use a version that can read the object";
        Refusal::problem(key, &error.to_string(), fix)
    })
}

/// Reads a body; an empty one is an empty object.
fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, Refusal> {
    let body = if body.is_empty() { b"{}" } else { body };
    serde_json::from_slice(body).map_err(|error| {
        let fix = "send the JSON object that the route expects";
        Refusal::problem("body", &error.to_string(), fix)
    })
}
