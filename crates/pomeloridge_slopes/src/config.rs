//! Measures the configuration in force: the sharded client accounts and their keys.

use std::collections::BTreeMap;

use pomeloridge_base::config::{ConfigObject, ConfigView, account_key};
use pomeloridge_base::id::Revision;
use pomeloridge_base::secret::KeyHash;
use serde_json::{Value, json};

use crate::fixture::{ACCOUNTS, account};
use crate::meter::{bytes, nanoseconds};
use crate::row::{Row, Unit};

/// Keys per account.
const KEYS: usize = 2;

/// Returns the measurements of the configuration.
pub fn rows() -> Vec<Row> {
    let row = |what, unit, measure: fn(usize) -> f64| {
        Row::measure("config", what, "account", unit, &ACCOUNTS, measure)
    };
    vec![
        row("memory", Unit::Bytes, |count| bytes(|| view(count))),
        row("largest shard as JSON", Unit::Bytes, shard_bytes),
        row("adopt one shard", Unit::Nanoseconds, adopt),
        row("account_of a key", Unit::Nanoseconds, account_of),
        row("account by name", Unit::Nanoseconds, by_name),
    ]
}

fn key(account: usize, index: usize) -> KeyHash {
    KeyHash::of(format!("key-{account}-{index}").as_bytes())
}

/// Returns the shards by their key in the object service.
fn shards(count: usize) -> BTreeMap<String, Value> {
    let mut shards = BTreeMap::new();
    for index in 0..count {
        let name = account(index);
        let keys: Vec<Value> = (0..KEYS)
            .map(|n| json!({"id": format!("k{n}"), "sha256": key(index, n).to_hex()}))
            .collect();
        let shard = shards
            .entry(account_key(&name))
            .or_insert_with(|| json!({"accounts": {}}));
        shard["accounts"][name.as_str()] = json!({"weight": 1.0, "keys": keys});
    }
    shards
}

fn object(key: &str, value: &Value, revision: u64) -> ConfigObject {
    ConfigObject {
        key: key.to_owned(),
        revision: Revision(revision),
        value: value.clone(),
    }
}

fn view(count: usize) -> ConfigView {
    let mut view = ConfigView::default();
    for (key, value) in shards(count) {
        view.adopt(object(&key, &value, 1));
    }
    view
}

fn shard_bytes(count: usize) -> f64 {
    let shards = shards(count);
    let longest = shards.values().map(|value| value.to_string().len()).max();
    longest.unwrap_or_default() as f64
}

fn adopt(count: usize) -> f64 {
    let mut view = view(count);
    let Some((key, value)) = shards(count).pop_first() else {
        return 0.0;
    };
    let mut revision = 1;
    nanoseconds(|| {
        revision += 1;
        view.adopt(object(&key, &value, revision))
    })
}

fn account_of(count: usize) -> f64 {
    let view = view(count);
    let keys: Vec<KeyHash> = (0..count).map(|index| key(index, 0)).collect();
    let mut turn = keys.iter().cycle();
    nanoseconds(|| turn.next().and_then(|key| view.account_of(key)).is_some())
}

fn by_name(count: usize) -> f64 {
    let view = view(count);
    let names: Vec<_> = (0..count).map(account).collect();
    let mut turn = names.iter().cycle();
    nanoseconds(|| turn.next().and_then(|name| view.account(name)).is_some())
}
