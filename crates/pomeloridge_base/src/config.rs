//! The fleet's configuration as it is kept in the object service, and the copy
//! of it that is in force on a node.
//!
//! Fleet-wide defaults, models, routes and exceptions are one object; client
//! accounts are spread over a fixed number of shards, so that each object stays
//! far below the service's limit of a megabyte with 27,000 accounts.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{Name, Revision};
use crate::secret::KeyHash;

/// Key of the object with defaults, models, routes and exceptions.
pub const FLEET_KEY: &str = "config/fleet";
/// Prefix of the objects with client accounts.
pub const ACCOUNTS_PREFIX: &str = "config/accounts/";
/// Prefix of all configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Number of objects that client accounts are spread over.
pub const ACCOUNT_SHARDS: u8 = 16;

/// Key of the object that holds a client account.
pub fn account_key(account: &Name) -> String {
    let first = Sha256::digest(account.as_bytes())[0];
    format!("{ACCOUNTS_PREFIX}{:02x}", first % ACCOUNT_SHARDS)
}

/// Fleet-wide defaults, models, routes and exceptions.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// Models by name.
    pub models: BTreeMap<Name, ModelConfig>,
    /// Routes; the longest path prefix that fits is taken.
    pub routes: Vec<RouteConfig>,
    /// Exceptions from the defaults, each with its reason.
    pub exceptions: Vec<Exception>,
}

/// What the operators say of one model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelConfig {
    /// Fewest engines kept.
    pub floor: u32,
    /// Most engines ordered.
    pub ceiling: u32,
    /// Target time to the first token, in ms.
    pub first_token_ms: u64,
    /// Longest wait for a turn, in ms; a request that would wait longer is refused at once.
    pub wait_ms: u64,
    /// Target time between tokens, in ms.
    pub gap_ms: u64,
    /// Prompt tokens a second that a mixed engine is expected to read.
    pub prefill_rate: f64,
    /// Output tokens a second that a mixed engine is expected to make, over all its streams.
    pub decode_rate: f64,
}

impl Default for ModelConfig {
    fn default() -> Self {
        Self {
            floor: 1,
            ceiling: 64,
            first_token_ms: 940,
            wait_ms: 940,
            gap_ms: 43,
            prefill_rate: 4000.0,
            decode_rate: 400.0,
        }
    }
}

/// What a route serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Text completion by a model.
    #[default]
    Completions,
    /// Chat completion by a model.
    Chat,
    /// A plain service.
    Service,
}

/// One route by path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteConfig {
    /// Path prefix.
    pub path: String,
    /// What the route serves.
    pub kind: RouteKind,
    /// Pool of backend servers of a plain service; empty for models.
    pub pool: Name,
    /// Methods that are let through.
    pub methods: Vec<String>,
    /// Methods that may be sent to a second server after a failure.
    pub idempotent: Vec<String>,
    /// Whether requests without a key are served.
    pub open: bool,
    /// Weight of the route's requests against others when servers are short.
    pub weight: f64,
    /// Limit on the body, in bytes.
    pub body_bytes: usize,
    /// Time until the answer must be whole, in ms.
    pub deadline_ms: u64,
    /// Time until the first byte of an answer, in ms.
    pub first_byte_ms: u64,
    /// Time between two pieces of an answer, in ms.
    pub gap_ms: u64,
}

impl Default for RouteConfig {
    fn default() -> Self {
        Self {
            path: String::new(),
            kind: RouteKind::Completions,
            pool: Name::default(),
            methods: vec!["POST".to_owned()],
            idempotent: Vec::new(),
            open: false,
            weight: 1.0,
            body_bytes: 1024 * 1024,
            deadline_ms: 60_000,
            first_byte_ms: 10_000,
            gap_ms: 5_000,
        }
    }
}

impl RouteConfig {
    /// Whether a failed request of this method may be sent to a second server.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.kind {
            RouteKind::Completions | RouteKind::Chat => true,
            RouteKind::Service => self.idempotent.iter().any(|allowed| allowed == method),
        }
    }

    /// Time until the answer must be whole.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// What an exception does to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExceptionKind {
    /// Keeps a backend server (target) at the role in `value`.
    Pin,
    /// Gives a pool (target) no orders and no role changes.
    Hold,
    /// Sends a backend server (target) no new work.
    Drain,
    /// Keeps at least `value` servers in a pool (target).
    Floor,
    /// Keeps at most `value` servers in a pool (target).
    Ceiling,
}

/// An exception from the fleet-wide defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Identifier chosen by the operator.
    pub id: Name,
    /// What it does.
    pub kind: ExceptionKind,
    /// Pool or backend server.
    pub target: Name,
    /// Number or role, for the kinds that take one.
    #[serde(default)]
    pub value: String,
    /// Why it was made.
    pub reason: String,
    /// Operator who made it.
    #[serde(default)]
    pub by: Name,
}

/// The client accounts of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountShard {
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, AccountConfig>,
}

/// One client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountConfig {
    /// Share of service against other accounts.
    pub weight: f64,
    /// Keys, with the withdrawn ones.
    pub keys: Vec<KeyConfig>,
}

impl Default for AccountConfig {
    fn default() -> Self {
        Self {
            weight: 1.0,
            keys: Vec::new(),
        }
    }
}

/// One key of a client account; the key itself is not kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// Identifier, shown to operators.
    pub id: Name,
    /// SHA-256 of the key in hexadecimal.
    pub sha256: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// A configuration object that a node has in force, as it came from the service.
#[derive(Clone, Debug)]
pub struct ConfigObject {
    /// Key in the object service.
    pub key: String,
    /// Revision of the object's last write.
    pub revision: Revision,
    /// JSON as it was read.
    pub value: serde_json::Value,
}

/// The configuration in force on a node.
///
/// An object is adopted only at a higher revision than the one in force, so
/// that whatever arrives late or from a peer that lags changes nothing.
#[derive(Debug, Default)]
pub struct ConfigView {
    objects: BTreeMap<String, ConfigObject>,
    fleet: FleetConfig,
    shards: BTreeMap<String, AccountShard>,
    keys: HashMap<KeyHash, Name>,
}

impl ConfigView {
    /// Takes an object if it is newer than the one in force; says whether it was taken.
    ///
    /// An object that can't be read as configuration is refused: the one in
    /// force stays.
    pub fn adopt(&mut self, object: ConfigObject) -> bool {
        if object.revision <= self.revision(&object.key) {
            return false;
        }
        let read = if object.key == FLEET_KEY {
            serde_json::from_value(object.value.clone()).map(|fleet| self.fleet = fleet)
        } else {
            serde_json::from_value(object.value.clone()).map(|shard| {
                self.shards.insert(object.key.clone(), shard);
                self.index_keys();
            })
        };
        if let Err(error) = read {
            log::error!(
                "configuration object {} at revision {} cannot be read; the one in force stays: {error}",
                object.key,
                object.revision
            );
            return false;
        }
        self.objects.insert(object.key.clone(), object);
        true
    }

    /// The revision in force of one object; 0 if there is none.
    pub fn revision(&self, key: &str) -> Revision {
        self.objects
            .get(key)
            .map(|object| object.revision)
            .unwrap_or_default()
    }

    /// The highest revision in force.
    pub fn newest_revision(&self) -> Revision {
        let revisions = self.objects.values().map(|object| object.revision);
        revisions.max().unwrap_or_default()
    }

    /// Every object in force.
    pub fn objects(&self) -> impl Iterator<Item = &ConfigObject> {
        self.objects.values()
    }

    /// The fleet-wide part.
    pub fn fleet(&self) -> &FleetConfig {
        &self.fleet
    }

    /// The client account that a key belongs to; `None` for a withdrawn key.
    pub fn account_of(&self, key: &KeyHash) -> Option<&Name> {
        self.keys.get(key)
    }

    /// One client account.
    pub fn account(&self, name: &Name) -> Option<&AccountConfig> {
        self.shards.get(&account_key(name))?.accounts.get(name)
    }

    /// Every client account.
    pub fn accounts(&self) -> impl Iterator<Item = (&Name, &AccountConfig)> {
        self.shards.values().flat_map(|shard| &shard.accounts)
    }

    /// The route with the longest path prefix that `path` starts with.
    pub fn route(&self, path: &str) -> Option<&RouteConfig> {
        let fits = |route: &&RouteConfig| {
            let rest = path.strip_prefix(route.path.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let routes = self.fleet.routes.iter().filter(fits);
        routes.max_by_key(|route| route.path.len())
    }

    fn index_keys(&mut self) {
        let mut keys = HashMap::new();
        for (name, account) in self.shards.values().flat_map(|shard| &shard.accounts) {
            for key in account.keys.iter().filter(|key| !key.withdrawn) {
                if let Some(hash) = KeyHash::from_hex(&key.sha256) {
                    keys.insert(hash, name.clone());
                }
            }
        }
        self.keys = keys;
    }
}
