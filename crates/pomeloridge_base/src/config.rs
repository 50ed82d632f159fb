//! The fleet's configuration as stored in the object service, and the copy that is in force on a
//! node.
//!
//! Models, routes and exceptions form one object. Client accounts are spread over a fixed number
//! of shards, so that with 27,000 accounts each object stays far below the service's limit of a
//! megabyte.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use crate::id::{Name, Revision};
use crate::secret::KeyHash;

/// Key of the object with models, routes and exceptions.
pub const FLEET_KEY: &str = "config/fleet";
/// Prefix of the objects with client accounts.
pub const ACCOUNTS_PREFIX: &str = "config/accounts/";
/// Prefix of all configuration objects.
pub const CONFIG_PREFIX: &str = "config/";
/// Number of objects over which client accounts are spread.
pub const ACCOUNT_SHARDS: u8 = 16;

/// Returns the key of the object that contains a client account.
pub fn account_key(account: &Name) -> String {
    let byte = Sha256::digest(account.as_bytes())[0];
    format!("{ACCOUNTS_PREFIX}{:02x}", byte % ACCOUNT_SHARDS)
}

/// Fleet-wide part of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetConfig {
    /// Models by name.
    pub models: BTreeMap<Name, ModelConfig>,
    /// Routes; the one with the longest matching path prefix applies.
    pub routes: Vec<RouteConfig>,
    /// Exceptions made by operators.
    pub exceptions: Vec<Exception>,
}

/// Configuration of a model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ModelConfig {
    /// Minimum number of engines.
    pub floor: u32,
    /// Maximum number of engines to order.
    pub ceiling: u32,
    /// Target time to the first token, in ms.
    pub first_token_ms: u64,
    /// Maximum wait for admission, in ms; a request that would wait longer is refused at once.
    pub wait_ms: u64,
    /// Target time between output tokens, in ms.
    pub gap_ms: u64,
    /// Expected prefill rate of a mixed engine, in prompt tokens per second.
    pub prefill_rate: f64,
    /// Expected decode rate of a mixed engine, in output tokens per second over all its streams.
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

/// Kind of requests that a route serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteKind {
    /// Text completion by a model.
    #[default]
    Completions,
    /// Chat completion by a model.
    Chat,
    /// A service without a model.
    Service,
}

/// A route, which applies to a path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteConfig {
    /// Prefix of whole path segments, such as `/v1/chat`.
    pub path: String,
    /// Kind of requests.
    pub kind: RouteKind,
    /// Pool of backend servers of a service; empty for models.
    pub pool: Name,
    /// Allowed methods.
    pub methods: Vec<String>,
    /// Methods of a service that may be retried on another server after a failure.
    pub idempotent: Vec<String>,
    /// Whether requests without a client account key are served.
    pub open: bool,
    /// Weight of the route's requests in the fair queue.
    pub weight: f64,
    /// Maximum size of a request's body, in bytes.
    pub body_bytes: usize,
    /// Time within which the response must be complete, in ms.
    pub deadline_ms: u64,
    /// Time within which the first byte of the response must arrive, in ms.
    pub first_byte_ms: u64,
    /// Maximum time between two chunks of the response, in ms.
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
    /// Returns whether a failed request of this method may be retried on another server.
    pub fn is_idempotent(&self, method: &str) -> bool {
        match self.kind {
            RouteKind::Completions | RouteKind::Chat => true,
            RouteKind::Service => self.idempotent.iter().any(|allowed| allowed == method),
        }
    }

    /// Returns the time within which the response must be complete.
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

/// Effect of an exception on its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExceptionKind {
    /// Fixes the role of a backend server (the target) to `value`.
    Pin,
    /// Stops server orders and role changes for a pool (the target).
    Hold,
    /// Sends no new requests to a backend server (the target).
    Drain,
    /// Keeps at least `value` servers in a pool (the target).
    Floor,
    /// Keeps at most `value` servers in a pool (the target).
    Ceiling,
}

/// An exception from the fleet-wide defaults.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Exception {
    /// Identifier chosen by the operator.
    pub id: Name,
    /// Effect on the target.
    pub kind: ExceptionKind,
    /// Pool or backend server.
    pub target: Name,
    /// Number or role, for the kinds that take one.
    #[serde(default)]
    pub value: String,
    /// Reason given by the operator.
    pub reason: String,
    /// Operator who made the exception.
    #[serde(default)]
    pub by: Name,
}

/// Client accounts of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountShard {
    /// Client accounts by name.
    pub accounts: BTreeMap<Name, AccountConfig>,
}

/// Configuration of a client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AccountConfig {
    /// Weight of the account in the fair queue.
    pub weight: f64,
    /// Keys, including withdrawn ones.
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

/// Key of a client account; only its hash is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyConfig {
    /// Identifier by which operators refer to the key.
    pub id: Name,
    /// SHA-256 of the key in hexadecimal.
    pub sha256: String,
    /// Whether the key has been withdrawn.
    #[serde(default)]
    pub withdrawn: bool,
}

/// Configuration object as read from the object service.
#[derive(Clone, Debug)]
pub struct ConfigObject {
    /// Key in the object service.
    pub key: String,
    /// Revision of the object's last write.
    pub revision: Revision,
    /// Content as JSON.
    pub value: serde_json::Value,
}

/// Configuration in force on a node.
///
/// An object is adopted only if its revision is higher than the one in force, so that late
/// messages and peers that lag behind change nothing.
#[derive(Debug, Default)]
pub struct ConfigView {
    objects: BTreeMap<String, ConfigObject>,
    fleet: FleetConfig,
    shards: BTreeMap<String, AccountShard>,
    keys: HashMap<KeyHash, Name>,
}

impl ConfigView {
    /// Adopts an object if it is newer than the one in force, and returns whether it was adopted.
    ///
    /// An object that is not valid configuration is rejected, and the one in force stays.
    pub fn adopt(&mut self, object: ConfigObject) -> bool {
        if object.revision <= self.revision(&object.key) {
            return false;
        }
        let parsed = if object.key == FLEET_KEY {
            serde_json::from_value(object.value.clone()).map(|fleet| self.fleet = fleet)
        } else {
            serde_json::from_value(object.value.clone()).map(|shard| {
                self.shards.insert(object.key.clone(), shard);
                self.index_keys();
            })
        };
        if let Err(error) = parsed {
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

    /// Returns the revision of an object in force, or 0 if there is none.
    pub fn revision(&self, key: &str) -> Revision {
        self.objects
            .get(key)
            .map(|object| object.revision)
            .unwrap_or_default()
    }

    /// Returns the highest revision of the objects in force.
    pub fn newest_revision(&self) -> Revision {
        let revisions = self.objects.values().map(|object| object.revision);
        revisions.max().unwrap_or_default()
    }

    /// Returns all objects in force.
    pub fn objects(&self) -> impl Iterator<Item = &ConfigObject> {
        self.objects.values()
    }

    /// Returns the fleet-wide part.
    pub fn fleet(&self) -> &FleetConfig {
        &self.fleet
    }

    /// Returns the client account of a key; `None` if the key is unknown or withdrawn.
    pub fn account_of(&self, key: &KeyHash) -> Option<&Name> {
        self.keys.get(key)
    }

    /// Returns the configuration of a client account.
    pub fn account(&self, name: &Name) -> Option<&AccountConfig> {
        self.shards.get(&account_key(name))?.accounts.get(name)
    }

    /// Returns all client accounts.
    pub fn accounts(&self) -> impl Iterator<Item = (&Name, &AccountConfig)> {
        self.shards.values().flat_map(|shard| &shard.accounts)
    }

    /// Returns the route with the longest prefix of `path`, by whole path segments.
    pub fn route(&self, path: &str) -> Option<&RouteConfig> {
        let matches = |route: &&RouteConfig| {
            let rest = path.strip_prefix(route.path.as_str());
            rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
        };
        let routes = self.fleet.routes.iter().filter(matches);
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
