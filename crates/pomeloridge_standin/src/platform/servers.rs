//! Backend servers: delivery, release and reclaim.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

/// What a backend server serves.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ServerKind {
    #[default]
    Engine,
    Service,
}

/// How far a backend server's life has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum ServerState {
    Starting,
    #[default]
    Ready,
    Leaving,
}

/// A backend server as it is listed.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Listed {
    pub(crate) id: String,
    pub(crate) address: String,
    #[serde(default)]
    pub(crate) data_centre: String,
    pub(crate) pool: String,
    #[serde(default)]
    pub(crate) kind: ServerKind,
    #[serde(default)]
    pub(crate) cheap: bool,
    #[serde(default = "full_price")]
    pub(crate) price: f64,
    #[serde(default = "yes")]
    pub(crate) checks_fence: bool,
    #[serde(default)]
    pub(crate) state: ServerState,
    #[serde(default)]
    pub(crate) leave_at: Option<u64>,
}

fn full_price() -> f64 {
    FULL_PRICE
}

fn yes() -> bool {
    true
}

/// Price an hour of a server that is like no other.
const FULL_PRICE: f64 = 1.0;
/// Price of a cheap server that is like no other.
const CHEAP_PRICE: f64 = 0.3;

#[derive(Clone, Debug)]
struct Server {
    listed: Listed,
    ready_at: Option<u64>,
    /// Whether its address can be given out again after it left.
    returns: bool,
}

/// All backend servers and the addresses for further ones; times in Unix ms.
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
            returns: true,
        };
        self.list = list.into_iter().map(server).collect();
    }

    /// Replaces the addresses for further servers of the pools named.
    pub(crate) fn set_spares(&mut self, spares: BTreeMap<String, Vec<String>>) {
        let spares = spares.into_iter();
        self.spares
            .extend(spares.map(|(pool, list)| (pool, list.into())));
    }

    /// Brings the list up to `now`.
    pub(crate) fn settle(&mut self, now: u64) {
        for server in &mut self.list {
            if server.ready_at.is_some_and(|at| at <= now) {
                server.ready_at = None;
                if server.listed.state == ServerState::Starting {
                    server.listed.state = ServerState::Ready;
                }
            }
        }
        let gone = |server: &Server| server.listed.leave_at.is_some_and(|at| at <= now);
        for server in self.list.extract_if(.., |server| gone(server)) {
            if server.returns {
                let spares = self.spares.entry(server.listed.pool).or_default();
                spares.push_back(server.listed.address);
            }
        }
    }

    /// The list, once it has been brought up to date.
    pub(crate) fn list(&self) -> Vec<&Listed> {
        self.list.iter().map(|server| &server.listed).collect()
    }

    /// The state of a server; `None` once it has left.
    pub(crate) fn state(&self, id: &str) -> Option<ServerState> {
        let mut servers = self.list.iter();
        let server = servers.find(|server| server.listed.id == id)?;
        Some(server.listed.state)
    }

    /// Starts a server on a spare address; `None` if its pool has none left.
    pub(crate) fn add(
        &mut self,
        pool: &str,
        data_centre: &str,
        cheap: bool,
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
            cheap,
            state: ServerState::Starting,
            leave_at: None,
            ..self.model_of(pool, cheap)
        };
        self.list.push(Server {
            listed,
            ready_at: Some(ready_at),
            returns: true,
        });
        Some(id)
    }

    /// Makes a server leave at `leave_at`.
    pub(crate) fn release(&mut self, id: &str, leave_at: u64) {
        let mut servers = self.list.iter_mut();
        if let Some(server) = servers.find(|server| server.listed.id == id) {
            server.listed.state = ServerState::Leaving;
            let earlier = server.listed.leave_at.unwrap_or(leave_at);
            server.listed.leave_at = Some(earlier.min(leave_at));
        }
    }

    /// Takes the cheap servers of a data centre away at `leave_at`; their addresses are lost.
    pub(crate) fn reclaim(&mut self, data_centre: &str, leave_at: u64) -> Vec<String> {
        let hit =
            |server: &&mut Server| server.listed.cheap && server.listed.data_centre == data_centre;
        let mut taken = Vec::new();
        for server in self.list.iter_mut().filter(hit) {
            server.listed.state = ServerState::Leaving;
            server.listed.leave_at = Some(leave_at);
            server.returns = false;
            taken.push(server.listed.id.clone());
        }
        taken
    }

    /// What a further server of a pool has in common with those it has had.
    fn model_of(&self, pool: &str, cheap: bool) -> Listed {
        let of_pool = |server: &&Server| server.listed.pool == pool;
        let same = |server: &&Server| of_pool(server) && server.listed.cheap == cheap;
        let other = self.list.iter().find(of_pool);
        let price = if cheap { CHEAP_PRICE } else { FULL_PRICE };
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
                cheap,
                price,
                checks_fence: true,
                state: ServerState::Starting,
                leave_at: None,
            },
        }
    }
}
