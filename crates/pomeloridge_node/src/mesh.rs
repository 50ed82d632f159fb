//! A node's links to the others, and what comes and goes over them.

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

/// Lines of usage that a node keeps at most, its own and its peers'.
const MAX_USAGE_LINES: usize = 500_000;

/// Takes in what a node's heartbeat carried.
pub type HeartbeatHook = Box<dyn Fn(&Member, HeartbeatPayload)>;
/// Gives the configuration objects with these keys.
pub type ConfigLookup = Box<dyn Fn(&[String]) -> Vec<ConfigObject>>;

/// What the rest of the program gives to the links. None of these may wait.
pub struct Hooks {
    /// What the next heartbeat carries.
    pub payload: Box<dyn Fn() -> HeartbeatPayload>,
    /// Takes in what a node's heartbeat carried.
    pub on_heartbeat: HeartbeatHook,
    /// The configuration objects in force with these keys; no keys stands for all.
    pub config_objects: ConfigLookup,
    /// Adopts an object if it is newer than the one in force; says whether it was.
    pub adopt_config: Box<dyn Fn(ConfigObject) -> bool>,
}

/// Settings of the links.
#[derive(Clone)]
pub struct MeshOptions {
    /// The fleet secret.
    pub secret: Vec<u8>,
    /// Nodes to ask while no other is known.
    pub seeds: Vec<SocketAddr>,
    /// Times and bounds.
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

/// A node's links to the others; clones are the same links.
#[derive(Clone)]
pub struct Mesh(pub(crate) Rc<Inner>);

pub(crate) struct Inner {
    options: MeshOptions,
    hooks: Hooks,
    membership: RefCell<Membership>,
    pub(crate) usage: RefCell<UsageStore>,
    /// Peers with a running task, with their link if it is open.
    peers: RefCell<BTreeMap<SocketAddr, Option<PeerLink>>>,
    /// Addresses that links are to be kept to.
    targets: RefCell<BTreeSet<SocketAddr>>,
    /// Addresses that turned out to be this node's own.
    own_addresses: RefCell<BTreeSet<SocketAddr>>,
}

impl Mesh {
    /// Links of `own`; nothing is sent before [`Mesh::run`].
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

    /// Answers other nodes for as long as the process lives.
    pub async fn serve(&self, listener: TcpListener) {
        server::serve(self.clone(), listener).await;
    }

    /// Keeps one task per peer for as long as the process lives.
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

    /// Looks at the membership; the function must not call the mesh.
    pub fn view<T>(&self, look: impl FnOnce(&Membership) -> T) -> T {
        look(&self.0.membership.borrow())
    }

    /// Takes over the platform's list of VMs.
    pub fn update_listed(&self, vms: &[ListedNode]) {
        self.0.membership.borrow_mut().update_listed(vms);
    }

    /// Tells the others from now on that this node is leaving.
    pub fn leave(&self) {
        self.0.membership.borrow_mut().leave();
    }

    /// Every other node, with the state it is in.
    pub fn members(&self) -> Vec<Member> {
        self.view(|membership| membership.members().collect())
    }

    /// How the node stands, `platform_silence` after it last reached the object service.
    pub fn connectivity(&self, platform_silence: Duration) -> Connectivity {
        self.view(|membership| membership.connectivity(platform_silence))
    }

    /// Spreads configuration objects that this node has adopted.
    pub fn push_config(&self, objects: &[ConfigObject]) {
        self.push_to_peers(objects, &self.name());
    }

    /// The open link to a node, or one opened for the purpose.
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

    /// Exchanges heartbeats over every open link at once, within a time.
    ///
    /// For what must be known to the peers before this node goes on.
    pub async fn exchange_heartbeats(&self, limit: Duration) {
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
        if monoio::time::timeout(limit, all).await.is_err() {
            log::debug!("a peer did not answer within {} ms", limit.as_millis());
        }
    }

    /// Links that are open.
    pub fn links(&self) -> Vec<PeerLink> {
        let peers = self.0.peers.borrow();
        let open = peers.values().flatten().filter(|link| !link.is_closed());
        open.cloned().collect()
    }

    /// The node's name.
    pub fn name(&self) -> Name {
        self.view(|membership| membership.own().name.clone())
    }

    /// The next heartbeat of this node.
    pub(crate) fn next_heartbeat(&self) -> Heartbeat {
        let payload = (self.0.hooks.payload)();
        let mut membership = self.0.membership.borrow_mut();
        Heartbeat {
            sender: membership.begin_heartbeat(payload.reaches_platform),
            payload,
            members: membership.next_gossip(),
        }
    }

    /// Takes in a heartbeat; false if a later start of its sender is known.
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

    /// Adopts objects that came from a node and spreads those that were new.
    pub(crate) fn receive_config(&self, objects: Vec<ConfigObject>, from: &Name) {
        self.0.membership.borrow_mut().record_push();
        let adopt = &self.0.hooks.adopt_config;
        let fresh: Vec<_> = (objects.into_iter())
            .filter(|object| {
                let adopted = adopt(object.clone());
                if adopted {
                    let (key, revision) = (&object.key, object.revision);
                    log::info!("config key={key} revision={revision} from={from}");
                }
                adopted
            })
            .collect();
        if !fresh.is_empty() {
            self.push_to_peers(&fresh, from);
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

    /// Deadline of a call between nodes: silence for longer is suspicious anyway.
    pub(crate) fn call_timeout(&self) -> Duration {
        self.0.options.link.suspect
    }

    /// Whether a link to an address is to be kept.
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

    /// Notes the state of a peer's link.
    pub(crate) fn set_link(&self, address: SocketAddr, link: Option<PeerLink>) {
        self.0.peers.borrow_mut().insert(address, link);
    }

    /// Notes that a peer's task has ended.
    pub(crate) fn remove_peer(&self, address: SocketAddr) {
        self.0.peers.borrow_mut().remove(&address);
    }

    fn push_to_peers(&self, objects: &[ConfigObject], except: &Name) {
        for link in self.links().into_iter().filter(|link| link.name != *except) {
            let objects = objects.to_vec();
            monoio::spawn(async move {
                // A lost push is made good by the digests of the next heartbeat.
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
        let alone = !membership.members().any(|member| member.state.is_heard());
        drop(membership);
        if alone {
            targets.extend(&self.0.options.seeds);
        }
        let own = self.0.own_addresses.borrow();
        targets.retain(|address| !own.contains(address));
        *self.0.targets.borrow_mut() = targets;
    }

    fn targets_without_task(&self) -> Vec<SocketAddr> {
        let peers = self.0.peers.borrow();
        let targets = self.0.targets.borrow();
        let idle = targets
            .iter()
            .filter(|address| !peers.contains_key(address));
        idle.copied().collect()
    }
}
