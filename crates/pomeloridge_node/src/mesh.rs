//! A node's links to the other nodes and the traffic over them.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::net::TcpListener;
use pomeloridge_base::clock::SharedClock;
use pomeloridge_base::config::ConfigObject;
use pomeloridge_base::id::Name;
use pomeloridge_base::settings::Settings;

use crate::error::LinkError;
use crate::heartbeat::{Heartbeat, HeartbeatPayload};
use crate::member::{LinkOptions, ListedNode, Member};
use crate::membership::Membership;
use crate::peer;
use crate::peer_link::PeerLink;
use crate::reach::Connectivity;
use crate::server;
use crate::usage_store::UsageStore;

/// Maximum number of usage lines that a node stores, its own and its peers'.
const MAX_USAGE_LINES: usize = 500_000;

/// Receives the payload of a node's heartbeat.
pub type HeartbeatHook = Box<dyn Fn(&Member, HeartbeatPayload)>;
/// Returns the configuration objects with the given keys.
pub type ConfigLookup = Box<dyn Fn(&[String]) -> Vec<ConfigObject>>;

/// Callbacks from the links into the rest of the program. None of them may block.
pub struct Hooks {
    /// Returns the payload of the next heartbeat.
    pub payload: Box<dyn Fn() -> HeartbeatPayload>,
    /// Receives the payload of a node's heartbeat.
    pub on_heartbeat: HeartbeatHook,
    /// Returns the configuration objects in force with the given keys; no keys selects all.
    pub config_objects: ConfigLookup,
    /// Adopts an object if it is newer than the one in force. Returns whether it was.
    pub adopt_config: Box<dyn Fn(ConfigObject) -> bool>,
}

/// Settings of the links.
#[derive(Clone)]
pub struct MeshOptions {
    /// Fleet secret, which both ends of a link prove.
    pub secret: Vec<u8>,
    /// Nodes to contact while no other node is heard.
    pub seeds: Vec<SocketAddr>,
    /// Time limits and bounds.
    pub link: LinkOptions,
}

impl From<&Settings> for MeshOptions {
    fn from(settings: &Settings) -> Self {
        Self {
            secret: settings.secret.0.clone(),
            seeds: settings.seeds.clone(),
            link: LinkOptions {
                heartbeat: settings.time("node_link", "heartbeat_ms"),
                suspect: settings.time("node_link", "suspect_ms"),
                fan_out: settings.number("node_link", "fan_out") as usize,
                cut_off: settings.time("node_link", "cut_off_ms"),
            },
        }
    }
}

/// A node's links to the other nodes; clones share them.
#[derive(Clone)]
pub struct Mesh(pub(crate) Rc<Inner>);

pub(crate) struct Inner {
    options: MeshOptions,
    hooks: Hooks,
    membership: RefCell<Membership>,
    pub(crate) usage: RefCell<UsageStore>,
    /// Peers with a running task, each with its link if it is open.
    peers: RefCell<BTreeMap<SocketAddr, Option<PeerLink>>>,
    /// Addresses to maintain links to.
    targets: RefCell<BTreeSet<SocketAddr>>,
    /// Addresses found to be this node's own.
    own_addresses: RefCell<BTreeSet<SocketAddr>>,
}

impl Mesh {
    /// Creates the links of `own`; nothing is sent before [`Mesh::run`].
    pub fn new(own: Member, options: MeshOptions, clock: SharedClock, hooks: Hooks) -> Self {
        let membership = Membership::new(own, options.link, clock);
        Self(Rc::new(Inner {
            options,
            hooks,
            membership: RefCell::new(membership),
            usage: RefCell::new(UsageStore::new(MAX_USAGE_LINES)),
            peers: RefCell::default(),
            targets: RefCell::default(),
            own_addresses: RefCell::default(),
        }))
    }

    /// Serves other nodes until the process ends.
    pub async fn serve(&self, listener: TcpListener) {
        server::serve(self.clone(), listener).await;
    }

    /// Runs one task per peer until the process ends.
    pub async fn run(&self) {
        loop {
            self.update_targets();
            for address in self.targets_without_task() {
                self.0.peers.borrow_mut().insert(address, None);
                monoio::spawn(peer::maintain(self.clone(), address));
            }
            monoio::time::sleep(self.options().link.heartbeat).await;
        }
    }

    /// Calls `read` with the membership; `read` must not call the mesh.
    pub fn view<T>(&self, read: impl FnOnce(&Membership) -> T) -> T {
        read(&self.0.membership.borrow())
    }

    /// Applies the platform's list of VMs.
    pub fn update_listed(&self, vms: &[ListedNode]) {
        self.0.membership.borrow_mut().update_listed(vms);
    }

    /// Marks this node as leaving in all further heartbeats.
    pub fn leave(&self) {
        self.0.membership.borrow_mut().leave();
    }

    /// Returns every other node with its current state.
    pub fn members(&self) -> Vec<Member> {
        self.view(|membership| membership.members().collect())
    }

    /// Returns the connectivity, `platform_silence` after the object service was last
    /// reached.
    pub fn connectivity(&self, platform_silence: Duration) -> Connectivity {
        self.view(|membership| membership.connectivity(platform_silence))
    }

    /// Pushes configuration objects that this node has adopted to its peers.
    pub fn push_config(&self, objects: &[ConfigObject]) {
        self.push_to_peers(objects, &self.name());
    }

    /// Returns the open link to a node, or opens one.
    pub async fn link(&self, peer: &Name) -> Result<PeerLink, LinkError> {
        if let Some(link) = self.links().into_iter().find(|link| link.name == *peer) {
            return Ok(link);
        }
        let known = self.view(|membership| membership.member(peer));
        let link = self.open(known.ok_or(LinkError::Unknown)?.address).await?;
        if link.name == *peer {
            Ok(link)
        } else {
            Err(LinkError::Unknown)
        }
    }

    /// Exchanges heartbeats over all open links at once, for at most `timeout`.
    ///
    /// Called when the peers must know this node's state before it proceeds.
    pub async fn exchange_heartbeats(&self, timeout: Duration) {
        let links = self.links();
        let exchanges = links.into_iter().map(|link| {
            let mesh = self.clone();
            monoio::spawn(async move { peer::exchange(&mesh, &link).await.is_ok() })
        });
        let exchanges: Vec<_> = exchanges.collect();
        let all = async {
            for exchange in exchanges {
                exchange.await;
            }
        };
        if monoio::time::timeout(timeout, all).await.is_err() {
            log::debug!("a peer did not answer within {} ms", timeout.as_millis());
        }
    }

    /// Returns the open links.
    pub fn links(&self) -> Vec<PeerLink> {
        let peers = self.0.peers.borrow();
        let open = peers.values().flatten().filter(|link| !link.is_closed());
        open.cloned().collect()
    }

    /// Returns the node's name.
    pub fn name(&self) -> Name {
        self.view(|membership| membership.own().name.clone())
    }

    /// Builds the next heartbeat of this node.
    pub(crate) fn next_heartbeat(&self) -> Heartbeat {
        let payload = (self.0.hooks.payload)();
        let mut membership = self.0.membership.borrow_mut();
        Heartbeat {
            sender: membership.begin_heartbeat(payload.reaches_platform),
            payload,
            members: membership.next_gossip(),
        }
    }

    /// Processes a heartbeat. Returns false if a later incarnation of its sender is known.
    pub(crate) fn receive_heartbeat(&self, heartbeat: Heartbeat) -> bool {
        let mut membership = self.0.membership.borrow_mut();
        if !membership.record_heartbeat(&heartbeat.sender) {
            return false;
        }
        membership.merge_gossip(&heartbeat.members);
        let newest = membership.record_newest(&heartbeat.sender);
        drop(membership);
        if newest {
            (self.0.hooks.on_heartbeat)(&heartbeat.sender, heartbeat.payload);
        }
        true
    }

    /// Adopts objects received from a node and pushes the new ones to the other peers.
    pub(crate) fn receive_config(&self, objects: Vec<ConfigObject>, from: &Name) {
        self.0.membership.borrow_mut().record_push();
        let adopt = &self.0.hooks.adopt_config;
        let adopted: Vec<_> = (objects.into_iter())
            .filter(|object| {
                let is_new = adopt(object.clone());
                if is_new {
                    let (key, revision) = (&object.key, object.revision);
                    log::info!("config key={key} revision={revision} from={from}");
                }
                is_new
            })
            .collect();
        if !adopted.is_empty() {
            self.push_to_peers(&adopted, from);
        }
    }

    pub(crate) fn config_objects(&self, keys: &[String]) -> Vec<ConfigObject> {
        (self.0.hooks.config_objects)(keys)
    }

    pub(crate) fn options(&self) -> &MeshOptions {
        &self.0.options
    }

    pub(crate) fn secret(&self) -> &[u8] {
        &self.0.options.secret
    }

    /// Returns the timeout of a call between nodes: the suspect time, after which a
    /// silent node is suspected anyway.
    pub(crate) fn call_timeout(&self) -> Duration {
        self.0.options.link.suspect
    }

    /// Returns whether a link to an address is to be maintained.
    pub(crate) fn is_target(&self, address: SocketAddr) -> bool {
        self.0.targets.borrow().contains(&address)
    }

    pub(crate) async fn open(&self, address: SocketAddr) -> Result<PeerLink, LinkError> {
        let link = PeerLink::open(address, &self.name(), self.secret(), self.call_timeout()).await;
        if matches!(link, Err(LinkError::Own)) {
            self.0.own_addresses.borrow_mut().insert(address);
        }
        link
    }

    /// Records a peer's link, or that it is closed.
    pub(crate) fn set_link(&self, address: SocketAddr, link: Option<PeerLink>) {
        self.0.peers.borrow_mut().insert(address, link);
    }

    /// Removes a peer whose task has ended.
    pub(crate) fn remove_peer(&self, address: SocketAddr) {
        self.0.peers.borrow_mut().remove(&address);
    }

    fn push_to_peers(&self, objects: &[ConfigObject], except: &Name) {
        for link in self.links().into_iter().filter(|link| link.name != *except) {
            let objects = objects.to_vec();
            monoio::spawn(async move {
                // The digests of the next heartbeat repair a lost push.
                if let Err(error) = link.push_config(objects).await {
                    log::debug!("config peer={} state=not_pushed reason={error}", link.name);
                }
            });
        }
    }

    fn update_targets(&self) {
        let mut membership = self.0.membership.borrow_mut();
        membership.remove_silent();
        membership.track_changes();
        let mut targets: BTreeSet<_> = (membership.peers().into_iter())
            .map(|member| member.address)
            .collect();
        let is_alone = !membership.members().any(|member| member.state.is_heard());
        drop(membership);
        if is_alone {
            targets.extend(&self.0.options.seeds);
        }
        let own = self.0.own_addresses.borrow();
        targets.retain(|address| !own.contains(address));
        *self.0.targets.borrow_mut() = targets;
    }

    fn targets_without_task(&self) -> Vec<SocketAddr> {
        let peers = self.0.peers.borrow();
        let targets = self.0.targets.borrow();
        let pending = targets
            .iter()
            .filter(|address| !peers.contains_key(address));
        pending.copied().collect()
    }
}
