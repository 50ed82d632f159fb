//! The node's view of all backend servers: the platform's list, combined with load reports,
//! requests in flight here and at peers, and observed failures.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use pomeloridge_base::id::Name;
use slotmap::SlotMap;

use crate::ejection::{DataCentreFailures, FIRST_PROBE_DELAY};
use crate::load::{ExpectedRates, Rates};
use crate::server::{Dispatch, DispatchKey, LoadReport, Role, Server, ServerInfo, ServerKey};

/// Settings of a node's view of the backend servers.
#[derive(Clone, Debug)]
pub struct ServerTableSettings {
    /// Data centre of the node.
    pub data_centre: Name,
    /// Delay before the first probe of an ejected server.
    pub first_probe_delay: Duration,
    /// Whether failures that this node observes eject servers.
    pub eject_on_failure: bool,
}

impl ServerTableSettings {
    /// Returns the default settings for a node in a data centre.
    pub fn new(data_centre: Name) -> Self {
        Self {
            data_centre,
            first_probe_delay: FIRST_PROBE_DELAY,
            eject_on_failure: true,
        }
    }
}

/// A node's view of all backend servers.
#[derive(Debug)]
pub struct ServerTable {
    settings: ServerTableSettings,
    pub(crate) servers: SlotMap<ServerKey, Server>,
    pub(crate) ids: HashMap<Name, ServerKey>,
    pools: HashMap<Name, Vec<ServerKey>>,
    pub(crate) dispatches: SlotMap<DispatchKey, Dispatch>,
    data_centre_failures: HashMap<Name, DataCentreFailures>,
    drained: HashSet<Name>,
    expected_rates: HashMap<Name, ExpectedRates>,
}

impl ServerTable {
    /// Returns a view without servers.
    pub fn new(settings: ServerTableSettings) -> Self {
        Self {
            settings,
            servers: SlotMap::with_key(),
            ids: HashMap::new(),
            pools: HashMap::new(),
            dispatches: SlotMap::with_key(),
            data_centre_failures: HashMap::new(),
            drained: HashSet::new(),
            expected_rates: HashMap::new(),
        }
    }

    /// Sets the rates that are assumed for servers added to a pool from now on.
    pub fn expect_rates(&mut self, pool: Name, expected: ExpectedRates) {
        self.expected_rates.insert(pool, expected);
    }

    /// Sets the servers that operators have drained, replacing the previous ones.
    pub fn drain(&mut self, targets: impl IntoIterator<Item = Name>) {
        self.drained = targets.into_iter().collect();
        for server in self.servers.values_mut() {
            server.drained = self.drained.contains(&server.info.id);
        }
    }

    /// Applies the platform's list; returns the keys of removed servers.
    ///
    /// A known server keeps its state unless its address or pool changed, which makes it a
    /// different process.
    pub fn sync(&mut self, list: Vec<ServerInfo>) -> Vec<ServerKey> {
        let mut listed = HashMap::new();
        for info in list {
            let id = info.id.clone();
            let key = self.upsert(info);
            listed.insert(id, key);
        }
        self.ids = listed;
        let is_removed =
            |(key, server): &(ServerKey, &Server)| self.ids.get(&server.info.id) != Some(key);
        let removed = self.servers.iter().filter(is_removed);
        let removed: Vec<ServerKey> = removed.map(|(key, _)| key).collect();
        for key in &removed {
            self.servers.remove(*key);
        }
        self.index_pools();
        self.clear_recovered_data_centres();
        removed
    }

    /// Updates a server that is still the same process, or adds one.
    fn upsert(&mut self, info: ServerInfo) -> ServerKey {
        let key = self.ids.get(&info.id).copied();
        if let Some(key) = key
            && let Some(server) = self.servers.get_mut(key)
            && server.info.address == info.address
            && server.info.pool == info.pool
        {
            server.info = info;
            return key;
        }
        let expected = self
            .expected_rates
            .get(&info.pool)
            .copied()
            .unwrap_or_default();
        let mut server = Server::new(info, Rates::new(expected, Role::Mixed));
        server.drained = self.drained.contains(&server.info.id);
        self.servers.insert(server)
    }

    /// Clears the failures of data centres that have no ejected server left to probe.
    fn clear_recovered_data_centres(&mut self) {
        let ejected = self.servers.values().filter(|s| s.ejection.is_ejected());
        let with_ejected: HashSet<&Name> = ejected.map(|s| &s.info.data_centre).collect();
        self.data_centre_failures
            .retain(|data_centre, _| with_ejected.contains(data_centre));
    }

    fn index_pools(&mut self) {
        self.pools.clear();
        let mut servers: Vec<_> = self.servers.iter().collect();
        servers.sort_by(|(_, a), (_, b)| a.info.id.cmp(&b.info.id));
        for (key, server) in servers {
            let pool = self.pools.entry(server.info.pool.clone()).or_default();
            pool.push(key);
        }
    }

    /// Returns the settings of the view.
    pub fn settings(&self) -> &ServerTableSettings {
        &self.settings
    }

    /// Returns a server.
    pub fn server(&self, key: ServerKey) -> Option<&Server> {
        self.servers.get(key)
    }

    /// Returns the key of a listed server.
    pub fn key_of(&self, id: &Name) -> Option<ServerKey> {
        self.ids.get(id).copied()
    }

    /// Returns all servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &Server)> {
        self.servers.iter()
    }

    /// Returns the servers of a pool, sorted by id.
    pub fn pool(&self, pool: &Name) -> &[ServerKey] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Stores a load report unless a newer one is known; returns whether it was stored.
    pub fn report(&mut self, key: ServerKey, report: LoadReport, now: Instant) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        let at = report.measured_at.min(now);
        if server
            .report
            .as_ref()
            .is_some_and(|known| known.measured_at > at)
        {
            return false;
        }
        server.ended.retain(|ended| ended.ended_at > at);
        server.rates.set_role(report.role);
        server.report = Some(LoadReport {
            measured_at: at,
            ..report
        });
        true
    }

    /// Ejects a server that could not be reached; returns whether this failure made its data
    /// centre suspect.
    pub fn record_failure(&mut self, key: ServerKey, now: Instant) -> bool {
        if !self.settings.eject_on_failure {
            return false;
        }
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        server.ejection.eject(self.settings.first_probe_delay, now);
        let centre = self
            .data_centre_failures
            .entry(server.info.data_centre.clone());
        centre.or_default().record_failure(key, now)
    }

    /// Ends the ejection of a server that was reached; returns whether it had been ejected.
    pub fn record_success(&mut self, key: ServerKey) -> bool {
        let Some(server) = self.servers.get_mut(key) else {
            return false;
        };
        if !server.ejection.clear() {
            return false;
        }
        if let Some(centre) = self.data_centre_failures.get_mut(&server.info.data_centre) {
            centre.clear();
        }
        true
    }

    /// Returns all servers in the data centres of the given ones.
    pub fn in_data_centres_of(&self, keys: &[ServerKey]) -> Vec<ServerKey> {
        let centres: HashSet<&Name> = keys
            .iter()
            .filter_map(|key| self.server(*key))
            .map(|server| &server.info.data_centre)
            .collect();
        let is_included =
            |(_, server): &(ServerKey, &Server)| centres.contains(&server.info.data_centre);
        self.servers()
            .filter(is_included)
            .map(|(key, _)| key)
            .collect()
    }

    /// Returns the ejected servers whose probe is due, and schedules their next probes after
    /// a longer delay.
    pub fn due_probes(&mut self, now: Instant) -> Vec<ServerKey> {
        let servers = self.servers.iter_mut();
        let due =
            servers.filter_map(|(key, server)| server.ejection.take_due_probe(now).then_some(key));
        due.collect()
    }

    /// Returns whether several servers of a data centre failed and none has been reached since.
    pub fn is_suspect(&self, data_centre: &Name) -> bool {
        let centre = self.data_centre_failures.get(data_centre);
        centre.is_some_and(DataCentreFailures::is_suspect)
    }
}
