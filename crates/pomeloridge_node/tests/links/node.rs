//! Test node: the links and a configuration view.

use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use pomeloridge_base::clock::SystemClock;
use pomeloridge_base::config::{ConfigObject, ConfigView, FLEET_KEY};
use pomeloridge_base::id::{Incarnation, Name, Revision};
use pomeloridge_base::net;
use pomeloridge_node::heartbeat::HeartbeatPayload;
use pomeloridge_node::member::{LinkOptions, ListedNode, Member, MemberState};
use pomeloridge_node::mesh::{Hooks, Mesh, MeshOptions};

/// Time within which an awaited condition must hold.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Link options of the nodes, unless a test gives others.
pub const OPTIONS: LinkOptions = LinkOptions {
    heartbeat: Duration::from_millis(50),
    suspect: Duration::from_secs(10),
    fan_out: 8,
    cut_off: Duration::from_secs(10),
};
/// Fleet secret.
pub const SECRET: &[u8] = b"a secret of the fleet";

/// Node that runs in the test's own runtime.
pub struct TestNode {
    pub mesh: Mesh,
    pub address: SocketAddr,
    pub config: Rc<RefCell<ConfigView>>,
    pub payload: Rc<RefCell<HeartbeatPayload>>,
    pub absorbed: Rc<RefCell<Vec<(Name, HeartbeatPayload)>>>,
    pub adopted: Rc<Cell<usize>>,
}

impl TestNode {
    /// Starts a node with `seeds`.
    pub fn start(name: &str, data_centre: &str, secret: &[u8], seeds: &[SocketAddr]) -> Self {
        Self::start_with(name, data_centre, secret, seeds, OPTIONS, |address| address)
    }

    /// Starts a node that advertises the address that `advertise` returns for its own.
    pub fn start_with(
        name: &str,
        data_centre: &str,
        secret: &[u8],
        seeds: &[SocketAddr],
        link: LinkOptions,
        advertise: impl FnOnce(SocketAddr) -> SocketAddr,
    ) -> Self {
        let listener = net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let address = advertise(listener.local_addr().expect("the listener is bound"));
        let own = Member {
            name: Name::from(name),
            address,
            data_centre: Name::from(data_centre),
            incarnation: Incarnation(1),
            state: MemberState::Live,
            counter: 0,
            reaches_platform: false,
        };
        let options = MeshOptions {
            secret: secret.to_vec(),
            seeds: seeds.to_vec(),
            link,
        };
        let config = Rc::new(RefCell::new(ConfigView::default()));
        let payload = Rc::new(RefCell::new(HeartbeatPayload::default()));
        let absorbed = Rc::new(RefCell::new(Vec::new()));
        let adopted = Rc::new(Cell::new(0));
        let hooks = hooks(&config, &payload, &absorbed, &adopted);
        let mesh = Mesh::new(own, options, Rc::new(SystemClock), hooks);
        let (serving, running) = (mesh.clone(), mesh.clone());
        monoio::spawn(async move { serving.serve(listener).await });
        monoio::spawn(async move { running.run().await });
        Self {
            mesh,
            address,
            config,
            payload,
            absorbed,
            adopted,
        }
    }

    pub fn listed(&self) -> ListedNode {
        let own = self.mesh.view(|membership| membership.own().clone());
        ListedNode {
            name: own.name,
            address: self.address,
            data_centre: own.data_centre,
            leaving: false,
        }
    }

    pub fn revision(&self) -> Revision {
        self.config.borrow().revision(FLEET_KEY)
    }

    /// Adopts the fleet object at a revision, as if read from the object service.
    pub fn adopt(&self, revision: u64) -> ConfigObject {
        let object = fleet(revision);
        assert!(self.config.borrow_mut().adopt(object.clone()));
        object
    }
}

/// Returns the fleet object at a revision.
pub fn fleet(revision: u64) -> ConfigObject {
    ConfigObject {
        key: FLEET_KEY.to_owned(),
        revision: Revision(revision),
        value: serde_json::json!({}),
    }
}

fn hooks(
    config: &Rc<RefCell<ConfigView>>,
    payload: &Rc<RefCell<HeartbeatPayload>>,
    absorbed: &Rc<RefCell<Vec<(Name, HeartbeatPayload)>>>,
    adopted: &Rc<Cell<usize>>,
) -> Hooks {
    let (reader, digests, writer) = (config.clone(), config.clone(), config.clone());
    let (payload, absorbed, adopted) = (payload.clone(), absorbed.clone(), adopted.clone());
    Hooks {
        payload: Box::new(move || {
            let view = digests.borrow();
            let objects = view.objects();
            HeartbeatPayload {
                digests: objects
                    .map(|object| (object.key.clone(), object.revision))
                    .collect(),
                ..payload.borrow().clone()
            }
        }),
        on_heartbeat: Box::new(move |from, payload| {
            absorbed.borrow_mut().push((from.name.clone(), payload));
        }),
        config_objects: Box::new(move |keys| {
            let view = reader.borrow();
            let wanted = view
                .objects()
                .filter(|object| keys.is_empty() || keys.contains(&object.key));
            wanted.cloned().collect()
        }),
        adopt_config: Box::new(move |object| {
            let is_new = writer.borrow_mut().adopt(object);
            adopted.set(adopted.get() + usize::from(is_new));
            is_new
        }),
    }
}

/// Runs a test on one thread, like a node.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    let mut runtime = builder.enable_all().build().expect("epoll is available");
    runtime.block_on(test)
}

/// Waits until a condition holds.
pub async fn until(what: &str, holds: impl Fn() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < TIMEOUT, "timed out waiting until {what}");
        monoio::time::sleep(Duration::from_millis(5)).await;
    }
}
