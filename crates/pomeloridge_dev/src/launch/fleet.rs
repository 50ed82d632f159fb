//! Gateways as separate processes, connected to a stand-in of the fleet's platform.

use std::net::SocketAddr;
use std::path::PathBuf;

use super::{Process, Relay};

/// IP address of the platform stand-in and its servers. Connections leave from another one, so
/// that none of them can take the port of a server that restarts.
const PLATFORM_IP: &str = "127.0.0.2";

/// Running gateway, with relays between it and the platform.
pub struct Gateway {
    /// Process.
    pub process: Process,
    /// Listener for callers.
    pub caller: SocketAddr,
    /// Listener for readiness checks.
    pub ready: SocketAddr,
    /// Listener for other gateways.
    pub peer: SocketAddr,
    /// Listener for metrics.
    pub metrics: SocketAddr,
    /// Relay to the object store.
    pub store: Relay,
    /// Relay to the platform's API for the duties.
    pub duties: Relay,
    name: String,
    further: String,
}

impl Gateway {
    /// Starts the gateway at `index`.
    ///
    /// Its IP address is its own, for the reason given at [`PLATFORM_IP`].
    fn start(
        index: usize,
        folder: &std::path::Path,
        platform: [SocketAddr; 2],
        further: &str,
    ) -> Result<Self, String> {
        let name = &format!("front-{index}");
        let host = u8::try_from(index + 1).map_err(|error| error.to_string())?;
        let [store, duties] = platform;
        let (store, duties) = (Relay::start(store)?, Relay::start(duties)?);
        let any = SocketAddr::from(([127, 0, 1, host], 0));
        let platform = [store.address(), duties.address()];
        write_settings(name, folder, [any; 4], platform, further)?;
        let process = start_process(name, folder)?;
        let line = process.first_line["message"].as_str().unwrap_or_default();
        let address = |key: &str| -> Result<SocketAddr, String> {
            let mut fields = line.split(' ').filter_map(|field| field.split_once('='));
            let found = fields.find(|(found, _)| *found == key);
            let parsed = found.and_then(|(_, address)| address.parse().ok());
            parsed.ok_or_else(|| format!("{name} printed no address `{key}`"))
        };
        Ok(Self {
            caller: address("caller")?,
            ready: address("ready")?,
            peer: address("peer")?,
            metrics: address("metrics")?,
            store,
            duties,
            name: name.to_owned(),
            further: further.to_owned(),
            process,
        })
    }
}

/// Running platform stand-in and its gateways.
pub struct Fleet {
    /// Folder with settings and logs.
    pub folder: PathBuf,
    /// Listener of the stand-in for calls of the duties and for reading its history.
    pub duties: SocketAddr,
    /// Listener of the stand-in's object store.
    pub store: SocketAddr,
    /// Gateways.
    pub gateways: Vec<Gateway>,
    _platform: Process,
}

impl Fleet {
    /// Starts a platform stand-in and `gateways` gateways; `name` makes the folder unique
    /// within this process.
    pub fn start(name: &str, gateways: usize) -> Result<Self, String> {
        Self::start_with(name, gateways, &[])
    }

    /// Starts a fleet with arguments for the platform stand-in.
    pub fn start_with(name: &str, gateways: usize, args: &[&str]) -> Result<Self, String> {
        Self::start_set(name, gateways, args, "")
    }

    /// Starts a fleet with arguments for the platform stand-in and further settings of the
    /// gateways.
    pub fn start_set(
        name: &str,
        gateways: usize,
        args: &[&str],
        settings: &str,
    ) -> Result<Self, String> {
        let args = ["--ip", PLATFORM_IP].iter().chain(args);
        let args: Vec<String> = args.map(ToString::to_string).collect();
        let folder =
            std::env::temp_dir().join(format!("pomeloridge-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let platform = Process::start("fleet", "pomeloridge_fleet_standin", &args, &folder)?;
        let (store, duties) = (platform.address("store")?, platform.address("duties")?);
        let start = |index: usize| Gateway::start(index, &folder, [store, duties], settings);
        Ok(Self {
            gateways: (0..gateways).map(start).collect::<Result<_, _>>()?,
            folder,
            duties,
            store,
            _platform: platform,
        })
    }

    /// Restarts a gateway that has ended, at the same addresses.
    pub fn restart(&mut self, index: usize) -> Result<(), String> {
        let gateway = &mut self.gateways[index];
        let listen = [gateway.caller, gateway.ready, gateway.peer, gateway.metrics];
        let platform = [gateway.store.address(), gateway.duties.address()];
        write_settings(
            &gateway.name,
            &self.folder,
            listen,
            platform,
            &gateway.further,
        )?;
        gateway.process = start_process(&gateway.name, &self.folder)?;
        Ok(())
    }
}

fn start_process(name: &str, folder: &std::path::Path) -> Result<Process, String> {
    let settings = folder.join(format!("{name}.ini"));
    let settings = settings.to_string_lossy().into_owned();
    let args = ["gateway".to_owned(), "--settings".to_owned(), settings];
    Process::start(name, "pomeloridge", &args, folder)
}

fn write_settings(
    name: &str,
    folder: &std::path::Path,
    listen: [SocketAddr; 4],
    platform: [SocketAddr; 2],
    further: &str,
) -> Result<(), String> {
    let [caller, ready, peer, metrics] = listen;
    let [store, duties] = platform;
    let text = format!(
        "[node]\nname = {name}\ndata_centre = dc-1\n[listen]\ncaller = {caller}\n\
         ready = {ready}\npeer = {peer}\nmetrics = {metrics}\n\
         [platform]\nstore = {store}\nduties = {duties}\n[stop]\nunready_ms = 300\n\
         [usage]\nwindow_s = 1\n[log]\nformat = json\n{further}"
    );
    let file = folder.join(format!("{name}.ini"));
    std::fs::write(file, text).map_err(|error| error.to_string())
}
