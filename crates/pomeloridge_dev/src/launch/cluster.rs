//! A running deployment.

use std::fmt::Write;
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
use super::process::Process;
use super::spec::{EngineSpec, ServiceSpec, Spec};

/// Token of the operator that every deployment of this tool has.
const OPERATOR_TOKEN: &str = "op-launched-deployment";

/// Counts the deployments of this process, for the names of their folders.
static COUNT: AtomicU32 = AtomicU32::new(0);

/// A node and its addresses.
pub struct Node {
    /// Process.
    pub process: Process,
    /// Name.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Where callers connect.
    pub caller: SocketAddr,
    /// Where nodes connect.
    pub node: SocketAddr,
    /// Where operators connect.
    pub operator: SocketAddr,
}

/// A backend server and its address.
pub struct Server {
    /// Process.
    pub process: Process,
    /// Identifier.
    pub id: String,
    /// Data centre.
    pub data_centre: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// The platform's description.
    pub listed: Value,
}

/// A running deployment; dropping it ends every process.
pub struct Cluster {
    /// Nodes.
    pub nodes: Vec<Node>,
    /// Engines.
    pub engines: Vec<Server>,
    /// Plain services.
    pub services: Vec<Server>,
    /// The platform's stand-in.
    pub platform: Process,
    /// Keys by client account.
    pub keys: Vec<(String, String)>,
    /// Folder with logs and settings.
    pub folder: PathBuf,
    spec: Spec,
    platform_address: SocketAddr,
}

impl Cluster {
    /// Starts everything that `spec` names.
    pub fn start(spec: Spec) -> Result<Self, String> {
        let folder = new_folder()?;
        let mut args = vec!["platform".to_owned(), "--listen".to_owned()];
        args.extend(local());
        args.extend(spec.platform.iter().cloned());
        let platform = Process::start("platform", "pomeloridge_standin", &args, &folder)?;
        let platform_address = platform.address("address")?;
        let mut cluster = Self {
            nodes: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            keys: Vec::new(),
            folder,
            spec,
            platform_address,
        };
        cluster.start_servers()?;
        cluster.write_config()?;
        for index in 0..cluster.spec.nodes.len() {
            let node = cluster.start_node(&format!("node-{}", index + 1), index)?;
            cluster.nodes.push(node);
        }
        cluster.list_vms()?;
        Ok(cluster)
    }

    /// The platform's address.
    pub fn platform(&self) -> SocketAddr {
        self.platform_address
    }

    /// The token of the operator `demo`.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// The deployment's description.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The key of a client account by its index.
    pub fn key(&self, index: usize) -> &str {
        &self.keys[index].1
    }

    /// Changes a failure switch of the platform's stand-in.
    pub fn control_platform(&self, change: &Value) -> Result<(), String> {
        post_json(self.platform_address, "/control", change).map(|_| ())
    }

    /// Tells the platform's stand-in which VMs there are.
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

    /// Tells the platform's stand-in which backend servers there are.
    pub fn list_servers(&self) -> Result<(), String> {
        let servers = self.engines.iter().chain(&self.services);
        let listed: Vec<&Value> = servers.map(|server| &server.listed).collect();
        self.control_platform(&json!({"servers": listed}))
    }

    /// Starts a node in the data centre that `spec` has at `index`.
    pub fn start_node(&self, name: &str, index: usize) -> Result<Node, String> {
        let data_centre = self.spec.nodes[index].clone();
        let settings = self.write_settings(name, &data_centre)?;
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

    /// Starts one engine.
    pub fn start_engine(&self, spec: &EngineSpec) -> Result<Server, String> {
        let mut args = vec!["engine".to_owned(), "--listen".to_owned()];
        args.extend(local());
        args.extend(["--id".to_owned(), spec.id.clone()]);
        args.extend(["--model".to_owned(), spec.model.clone()]);
        args.extend(["--checks-fence".to_owned(), spec.checks_fence.to_string()]);
        args.extend(spec.args.iter().cloned());
        let process = Process::start(&spec.id, "pomeloridge_standin", &args, &self.folder)?;
        let address = process.address("address")?;
        let listed = json!({
            "id": spec.id, "address": address.to_string(), "data_centre": spec.data_centre,
            "pool": spec.model, "kind": "engine", "cheap": spec.cheap,
            "price": if spec.cheap { 1.0 } else { 3.0 },
            "checks_fence": spec.checks_fence, "state": "ready",
        });
        Ok(Server {
            process,
            id: spec.id.clone(),
            data_centre: spec.data_centre.clone(),
            address,
            listed,
        })
    }

    fn start_service(&self, spec: &ServiceSpec) -> Result<Server, String> {
        let mut args = vec!["service".to_owned(), "--listen".to_owned()];
        args.extend(local());
        args.extend(["--prefix".to_owned(), spec.prefix.clone()]);
        args.extend(spec.args.iter().cloned());
        let process = Process::start(&spec.id, "pomeloridge_standin", &args, &self.folder)?;
        let address = process.address("address")?;
        let listed = json!({
            "id": spec.id, "address": address.to_string(), "data_centre": spec.data_centre,
            "pool": spec.pool, "kind": "service", "cheap": false, "price": 1.0,
            "checks_fence": false, "state": "ready",
        });
        Ok(Server {
            process,
            id: spec.id.clone(),
            data_centre: spec.data_centre.clone(),
            address,
            listed,
        })
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

    /// Writes the first configuration, with one key for each client account.
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

    fn write_settings(&self, name: &str, data_centre: &str) -> Result<String, String> {
        let hash = KeyHash::of(OPERATOR_TOKEN.as_bytes()).to_hex();
        let mut rows: Vec<(String, String, String)> = [
            ("node", "name", name),
            ("node", "data_centre", data_centre),
            ("node", "secret", "a-fleet-secret-for-loopback-only"),
            ("listen", "caller", "127.0.0.1:0"),
            ("listen", "node", "127.0.0.1:0"),
            ("listen", "operator", "127.0.0.1:0"),
            ("platform", "address", &self.platform_address.to_string()),
            ("operator", "tokens", &format!("demo:{hash}")),
            ("caller", "stop_delay_ms", "200"),
        ]
        .map(|(section, key, value)| (section.to_owned(), key.to_owned(), value.to_owned()))
        .into();
        for row in &self.spec.settings {
            rows.retain(|known| (&known.0, &known.1) != (&row.0, &row.1));
            rows.push(row.clone());
        }
        rows.sort();
        let mut text = String::new();
        let mut section = "";
        for (named, key, value) in &rows {
            if named != section {
                let _ = writeln!(text, "[{named}]");
                section = named;
            }
            let _ = writeln!(text, "{key} = {value}");
        }
        let path = self.folder.join(format!("{name}.ini"));
        std::fs::write(&path, text).map_err(|error| error.to_string())?;
        Ok(path.display().to_string())
    }
}

fn local() -> [String; 1] {
    ["127.0.0.1:0".to_owned()]
}

/// A new folder for logs and settings below the system's temporary folder.
fn new_folder() -> Result<PathBuf, String> {
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("pomeloridge-{}-{count}", std::process::id());
    let path = Path::new(&std::env::temp_dir()).join(name);
    std::fs::create_dir_all(&path).map_err(|error| error.to_string())?;
    Ok(path)
}
