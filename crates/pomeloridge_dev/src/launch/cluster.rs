//! Deployment of nodes, backend servers and a platform stand-in.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU32, Ordering};

use pomeloridge_base::config::{
    ACCOUNTS_PREFIX, AccountConfig, AccountShard, FLEET_KEY, KeyConfig, account_key,
};
use pomeloridge_base::id::Name;
use pomeloridge_base::secret::KeyHash;
use serde_json::{Value, json};

use super::client::{post_json, put_json};
use super::ini;
use super::process::Process;
use super::relay::Relay;
use super::spec::{EngineSpec, ServiceSpec, Spec};

/// Token of the operator `demo`, which every deployment has.
const OPERATOR_TOKEN: &str = "op-launched-deployment";

/// Number of deployments started by this process, for unique folder names.
static COUNT: AtomicU32 = AtomicU32::new(0);

/// Running node.
pub struct Node {
    /// Process.
    pub process: Process,
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for other nodes.
    pub node: SocketAddr,
    /// Listener for operators.
    pub operator: SocketAddr,
}

/// Running backend server.
pub struct Server {
    /// Process.
    pub process: Process,
    /// Identifier.
    pub id: String,
    /// Data centre.
    pub data_centre: String,
    /// Listener of the server itself, not of its relay.
    pub address: SocketAddr,
    /// Entry in the platform's server list.
    pub listing: Value,
    /// Relay whose address the platform lists, if any.
    pub relay: Option<Relay>,
}

/// Running deployment; dropping it kills every process.
pub struct Cluster {
    /// Nodes.
    pub nodes: Vec<Node>,
    /// Engines.
    pub engines: Vec<Server>,
    /// Plain services.
    pub services: Vec<Server>,
    /// Engines that the platform can provide on order.
    pub spares: Vec<Server>,
    /// Platform stand-in.
    pub platform: Process,
    /// Client accounts and their keys.
    pub keys: Vec<(String, String)>,
    /// Folder with logs, settings and histories.
    pub folder: PathBuf,
    /// Relay between each node and the platform; empty if not requested.
    pub relays: Vec<Relay>,
    spec: Spec,
    platform_address: SocketAddr,
}

impl Cluster {
    /// Starts the deployment described by `spec`.
    pub fn start(spec: Spec) -> Result<Self, String> {
        let folder = new_folder()?;
        let mut args = vec!["platform".to_owned(), "--listen".to_owned()];
        args.extend(listen_address());
        args.extend(spec.platform.iter().cloned());
        args.extend(history_args(&spec, &folder, "platform"));
        let platform = Process::start("platform", "pomeloridge_standin", &args, &folder)?;
        let platform_address = platform.address("address")?;
        let mut cluster = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            spares: Vec::new(),
            platform,
            keys: Vec::new(),
            folder,
            relays: Vec::new(),
            spec,
            platform_address,
        };
        if cluster.spec.relayed {
            for _ in 0..cluster.spec.nodes.len() {
                cluster.relays.push(Relay::start(platform_address)?);
            }
        }
        cluster.start_servers()?;
        cluster.write_config()?;
        for index in 0..cluster.spec.nodes.len() {
            let node = cluster.start_node(&format!("node-{}", index + 1), index)?;
            cluster.nodes.push(node);
        }
        cluster.list_vms()?;
        Ok(cluster)
    }

    /// Returns the platform's address.
    pub fn platform(&self) -> SocketAddr {
        self.platform_address
    }

    /// Returns the token of the operator `demo`.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns the specification of the deployment.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// Returns the key of a client account by index.
    pub fn key(&self, index: usize) -> &str {
        &self.keys[index].1
    }

    /// Changes the fault settings of the platform stand-in.
    pub fn control_platform(&self, change: &Value) -> Result<(), String> {
        post_json(self.platform_address, "/control", change).map(|_| ())
    }

    /// Sends the list of VMs to the platform stand-in.
    pub fn list_vms(&self) -> Result<(), String> {
        let vms: Vec<Value> = self
            .nodes
            .iter()
            .map(|node| {
                json!({
                    "name": node.name,
                    "address": node.node.to_string(),
                    "data_centre": node.data_centre,
                    "state": "live",
                })
            })
            .collect();
        self.control_platform(&json!({"vms": vms}))
    }

    /// Sends the list of backend servers to the platform stand-in.
    pub fn list_servers(&self) -> Result<(), String> {
        let servers = self.engines.iter().chain(&self.services);
        let listing: Vec<&Value> = servers.map(|server| &server.listing).collect();
        self.control_platform(&json!({"servers": listing}))
    }

    /// Starts a node in the data centre of the node at `index` of the specification.
    pub fn start_node(&self, name: &str, index: usize) -> Result<Node, String> {
        let data_centre = self.spec.nodes[index].clone();
        let relay = self.relays.get(index).map(Relay::address);
        let platform = relay.unwrap_or(self.platform_address);
        let settings = self.write_settings(name, &data_centre, platform)?;
        let args = ["serve".to_owned(), "--settings".to_owned(), settings];
        let process = Process::start(name, "pomeloridge", &args, &self.folder)?;
        Ok(Node {
            caller: process.address("caller")?,
            node: process.address("node")?,
            operator: process.address("operator")?,
            name: name.to_owned(),
            data_centre,
            process,
        })
    }

    /// Starts engines like the first one and registers their addresses with the platform as
    /// spares.
    pub fn start_spares(&mut self, count: usize) -> Result<(), String> {
        let template = self.spec.engines[0].clone();
        for index in 0..count {
            let id = format!("spare-{}", index + 1);
            let spec = EngineSpec {
                id,
                ..template.clone()
            };
            let server = self.start_engine(&spec)?;
            self.spares.push(server);
        }
        let spares = self.spares.iter();
        let addresses: Vec<&Value> = spares.map(|server| &server.listing["address"]).collect();
        let mut pools = serde_json::Map::new();
        pools.insert(template.model, json!(addresses));
        self.control_platform(&json!({"spares": pools}))
    }

    /// Starts one engine.
    pub fn start_engine(&self, spec: &EngineSpec) -> Result<Server, String> {
        let mut args = vec!["engine".to_owned(), "--listen".to_owned()];
        args.extend(listen_address());
        args.extend(["--id".to_owned(), spec.id.clone()]);
        args.extend(["--model".to_owned(), spec.model.clone()]);
        args.extend(["--checks-fence".to_owned(), spec.checks_fence.to_string()]);
        args.extend(spec.args.iter().cloned());
        args.extend(history_args(&self.spec, &self.folder, &spec.id));
        let process = Process::start(&spec.id, "pomeloridge_standin", &args, &self.folder)?;
        let address = process.address("address")?;
        let relay = self.start_relay(address)?;
        let listed_address = relay.as_ref().map_or(address, Relay::address);
        let listing = json!({
            "id": spec.id, "address": listed_address.to_string(), "data_centre": spec.data_centre,
            "pool": spec.model, "kind": "engine", "cheap": spec.cheap,
            "price": if spec.cheap { 1.0 } else { 3.0 },
            "checks_fence": spec.checks_fence, "state": "ready",
        });
        Ok(Server {
            process,
            id: spec.id.clone(),
            data_centre: spec.data_centre.clone(),
            address,
            listing,
            relay,
        })
    }

    /// Starts one plain service.
    pub fn start_service(&self, spec: &ServiceSpec) -> Result<Server, String> {
        let mut args = vec!["service".to_owned(), "--listen".to_owned()];
        args.extend(listen_address());
        args.extend(["--prefix".to_owned(), spec.prefix.clone()]);
        args.extend(spec.args.iter().cloned());
        args.extend(history_args(&self.spec, &self.folder, &spec.id));
        let process = Process::start(&spec.id, "pomeloridge_standin", &args, &self.folder)?;
        let address = process.address("address")?;
        let relay = self.start_relay(address)?;
        let listed_address = relay.as_ref().map_or(address, Relay::address);
        let listing = json!({
            "id": spec.id, "address": listed_address.to_string(), "data_centre": spec.data_centre,
            "pool": spec.pool, "kind": "service", "cheap": false, "price": 1.0,
            "checks_fence": false, "state": "ready",
        });
        Ok(Server {
            process,
            id: spec.id.clone(),
            data_centre: spec.data_centre.clone(),
            address,
            listing,
            relay,
        })
    }

    fn start_relay(&self, target: SocketAddr) -> Result<Option<Relay>, String> {
        if !self.spec.relayed_servers {
            return Ok(None);
        }
        Relay::start(target).map(Some)
    }

    fn start_servers(&mut self) -> Result<(), String> {
        for spec in self.spec.engines.clone() {
            let server = self.start_engine(&spec)?;
            self.engines.push(server);
        }
        for spec in self.spec.services.clone() {
            let server = self.start_service(&spec)?;
            self.services.push(server);
        }
        self.list_servers()
    }

    /// Writes the initial configuration, with one key per client account.
    fn write_config(&mut self) -> Result<(), String> {
        let fleet = serde_json::to_value(&self.spec.fleet).map_err(|error| error.to_string())?;
        put_json(
            self.platform_address,
            &format!("/objects/{FLEET_KEY}"),
            &fleet,
        )?;
        let mut shards = std::collections::BTreeMap::<String, AccountShard>::new();
        for (index, (account, weight)) in self.spec.accounts.iter().enumerate() {
            let key = format!("sk-{account}-{index:08x}");
            let name = Name::from(account.as_str());
            let config = AccountConfig {
                weight: *weight,
                keys: vec![KeyConfig {
                    id: Name::from("k1"),
                    sha256: KeyHash::of(key.as_bytes()).to_hex(),
                    withdrawn: false,
                }],
            };
            let shard = shards.entry(account_key(&name)).or_default();
            shard.accounts.insert(name, config);
            self.keys.push((account.clone(), key));
        }
        for (key, shard) in shards {
            debug_assert!(key.starts_with(ACCOUNTS_PREFIX));
            let value = serde_json::to_value(&shard).map_err(|error| error.to_string())?;
            put_json(self.platform_address, &format!("/objects/{key}"), &value)?;
        }
        Ok(())
    }

    fn write_settings(
        &self,
        name: &str,
        data_centre: &str,
        platform: SocketAddr,
    ) -> Result<String, String> {
        let hash = KeyHash::of(OPERATOR_TOKEN.as_bytes()).to_hex();
        let own = [
            ("node", "name", name),
            ("node", "data_centre", data_centre),
            ("platform", "address", &platform.to_string()),
            ("operator", "tokens", &format!("demo:{hash}")),
        ];
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, ini::render(&own, &self.spec.settings))
            .map_err(|error| error.to_string())?;
        Ok(path.display().to_string())
    }
}

/// Returns the history file of a stand-in.
pub(crate) fn history_file(folder: &Path, id: &str) -> PathBuf {
    folder.join(format!("{id}.history"))
}

fn history_args(spec: &Spec, folder: &Path, id: &str) -> Vec<String> {
    if !spec.histories {
        return Vec::new();
    }
    let file = history_file(folder, id).display().to_string();
    vec!["--history".to_owned(), file]
}

fn listen_address() -> [String; 1] {
    ["127.0.0.1:0".to_owned()]
}

/// Creates a folder for logs and settings in the system's temporary folder.
fn new_folder() -> Result<PathBuf, String> {
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pomeloridge-{}-{count}", std::process::id());
    let path = Path::new(&std::env::temp_dir()).join(name);
    std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
    Ok(path)
}
