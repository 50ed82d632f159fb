//! Backend servers: delivery, release and reclaim.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// Kind of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ServerKind {
    #[default]
    Engine,
    Service,
}

/// Lifecycle state of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ServerState {
    Starting,
    #[default]
    Ready,
    Leaving,
}

/// A backend server as set by control calls and returned to clients.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Listed {
    pub(crate) id: String,
    pub(crate) address: String,
    #[serde(default)]
    pub(crate) data_centre: String,
    pub(crate) pool: String,
    #[serde(default)]
    pub(crate) kind: ServerKind,
    #[serde(default, rename = "cheap")]
    pub(crate) preemptible: bool,
    #[serde(default = "default_price")]
    pub(crate) price: f64,
    #[serde(default = "default_true")]
    pub(crate) checks_fence: bool,
    #[serde(default)]
    pub(crate) state: ServerState,
    #[serde(default)]
    pub(crate) leave_at: Option<u64>,
}

fn default_price() -> f64 {
    FULL_PRICE
}

fn default_true() -> bool {
    true
}

/// Default hourly price; used if the pool has no comparable server to copy it from.
const FULL_PRICE: f64 = 1.0;
/// Default hourly price of a preemptible server.
const PREEMPTIBLE_PRICE: f64 = 0.3;

#[derive(Clone, Debug)]
struct Server {
    listed: Listed,
    ready_at: Option<u64>,
    /// Whether the address becomes a spare once the server is removed.
    reusable: bool,
}

/// All backend servers and the spare addresses by pool; times in Unix ms.
#[derive(Debug, Default)]
pub(crate) struct Servers {
    list: Vec<Server>,
    spares: BTreeMap<String, VecDeque<String>>,
    added: u64,
}

impl Servers {
    /// Replaces the whole list.
    pub(crate) fn replace(&mut self, list: Vec<Listed>) {
        let server = |listed| Server {
            listed,
            ready_at: None,
            reusable: true,
        };
        self.list = list.into_iter().map(server).collect();
    }

    /// Replaces the spare addresses of the given pools.
    pub(crate) fn set_spares(&mut self, spares: BTreeMap<String, Vec<String>>) {
        let spares = spares.into_iter();
        self.spares
            .extend(spares.map(|(pool, list)| (pool, list.into())));
    }

    /// Advances all servers to `now`.
    pub(crate) fn advance(&mut self, now: u64) {
        for server in &mut self.list {
            if server.ready_at.is_some_and(|at| at <= now) {
                server.ready_at = None;
                if server.listed.state == ServerState::Starting {
                    server.listed.state = ServerState::Ready;
                }
            }
        }
        let has_left = |server: &Server| server.listed.leave_at.is_some_and(|at| at <= now);
        for server in self.list.extract_if(.., |server| has_left(server)) {
            if server.reusable {
                let spares = self.spares.entry(server.listed.pool).or_default();
                spares.push_back(server.listed.address);
            }
        }
    }

    /// Returns all servers as of the last `advance`.
    pub(crate) fn list(&self) -> Vec<&Listed> {
        self.list.iter().map(|server| &server.listed).collect()
    }

    /// Returns the state of a server; `None` once it is removed.
    pub(crate) fn state(&self, id: &str) -> Option<ServerState> {
        let mut servers = self.list.iter();
        let server = servers.find(|server| server.listed.id == id)?;
        Some(server.listed.state)
    }

    /// Starts a server on a spare address and returns its id; `None` if the pool has no spare.
    pub(crate) fn add(
        &mut self,
        pool: &str,
        data_centre: &str,
        preemptible: bool,
        ready_at: u64,
    ) -> Option<String> {
        let address = self.spares.get_mut(pool)?.pop_front()?;
        self.added += 1;
        let id = format!("{pool}-{}", self.added);
        let listed = Listed {
            id: id.clone(),
            address,
            data_centre: data_centre.to_owned(),
            pool: pool.to_owned(),
            preemptible,
            state: ServerState::Starting,
            leave_at: None,
            ..self.template_for(pool, preemptible)
        };
        self.list.push(Server {
            listed,
            ready_at: Some(ready_at),
            reusable: true,
        });
        Some(id)
    }

    /// Releases a server, which leaves at `leave_at` or earlier.
    pub(crate) fn release(&mut self, id: &str, leave_at: u64) {
        let mut servers = self.list.iter_mut();
        if let Some(server) = servers.find(|server| server.listed.id == id) {
            server.listed.state = ServerState::Leaving;
            let previous = server.listed.leave_at.unwrap_or(leave_at);
            server.listed.leave_at = Some(previous.min(leave_at));
        }
    }

    /// Reclaims the preemptible servers of a data centre at `leave_at` and returns their ids;
    /// their addresses do not become spares.
    pub(crate) fn reclaim(&mut self, data_centre: &str, leave_at: u64) -> Vec<String> {
        let affected = |server: &&mut Server| {
            server.listed.preemptible && server.listed.data_centre == data_centre
        };
        let mut reclaimed = Vec::new();
        for server in self.list.iter_mut().filter(affected) {
            server.listed.state = ServerState::Leaving;
            server.listed.leave_at = Some(leave_at);
            server.reusable = false;
            reclaimed.push(server.listed.id.clone());
        }
        reclaimed
    }

    /// Returns the properties of a new server, copied from another server of its pool if
    /// there is one.
    fn template_for(&self, pool: &str, preemptible: bool) -> Listed {
        let of_pool = |server: &&Server| server.listed.pool == pool;
        let same = |server: &&Server| of_pool(server) && server.listed.preemptible == preemptible;
        let other = self.list.iter().find(of_pool);
        let price = if preemptible {
            PREEMPTIBLE_PRICE
        } else {
            FULL_PRICE
        };
        match (self.list.iter().find(same), other) {
            (Some(server), _) => server.listed.clone(),
            (None, Some(server)) => Listed {
                price,
                ..server.listed.clone()
            },
            (None, None) => Listed {
                id: String::new(),
                address: String::new(),
                data_centre: String::new(),
                pool: String::new(),
                kind: ServerKind::Engine,
                preemptible,
                price,
                checks_fence: true,
                state: ServerState::Starting,
                leave_at: None,
            },
        }
    }
}
