//! A whole exchange of heartbeats between two nodes in this process, over a
//! link on loopback: making, sending, answering and taking in, on both ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use monoio::net::TcpListener;
use pomeloridge_base::clock::{SharedClock, SystemClock};
use pomeloridge_base::id::{Incarnation, Name};
use pomeloridge_base::net::listen;
use pomeloridge_node::heartbeat::{HeartbeatPayload, ServiceLine};
use pomeloridge_node::member::{LinkOptions, ListedNode, Member, MemberState};
use pomeloridge_node::mesh::{Hooks, Mesh, MeshOptions};

use crate::fixture::{account, data_centre, pool};
use crate::row::{Row, Unit};

/// Numbers of service lines in either heartbeat.
const LINES: [usize; 3] = [0, 100, 1_000];
/// Exchanges of one round.
const EXCHANGES: usize = 200;
/// Rounds; the fastest counts.
const ROUNDS: usize = 5;
/// Time for the link to open, and for one exchange.
const LIMIT: Duration = Duration::from_secs(10);
/// Pause between two looks at the link.
const LOOK: Duration = Duration::from_millis(5);
/// No heartbeats but those that are measured.
const OPTIONS: LinkOptions = LinkOptions {
    heartbeat: Duration::from_hours(1),
    suspect: LIMIT,
    fan_out: 8,
    cut_off: LIMIT,
};

/// Measures exchanges.
pub fn rows() -> Vec<Row> {
    vec![Row::measure(
        "exchange",
        "both ends, over loopback",
        "service line",
        Unit::Nanoseconds,
        &LINES,
        |lines| {
            let driver = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
            let mut runtime = driver.enable_all().build().expect("the runtime starts");
            runtime.block_on(exchange(lines))
        },
    )]
}

fn open() -> (TcpListener, SocketAddr) {
    let listener = listen(([127, 0, 0, 1], 0).into()).expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    (listener, address)
}

fn payload(lines: usize) -> HeartbeatPayload {
    let line = |index| ServiceLine {
        account: account(index),
        pool: pool(index),
        amount: 1_234_567.5,
    };
    HeartbeatPayload {
        reaches_platform: true,
        service: (0..lines).map(line).collect(),
        ..HeartbeatPayload::default()
    }
}

fn mesh(name: &str, address: SocketAddr, lines: usize) -> Mesh {
    let own = Member {
        name: Name::from(name),
        address,
        data_centre: data_centre(0),
        incarnation: Incarnation(1),
        state: MemberState::Live,
        counter: 0,
        reaches_platform: true,
    };
    let options = MeshOptions {
        secret: b"a secret for measurements only".to_vec(),
        seeds: Vec::new(),
        link: OPTIONS,
    };
    let clock: SharedClock = Rc::new(SystemClock);
    let hooks = Hooks {
        payload: Box::new(move || payload(lines)),
        on_heartbeat: Box::new(|_, _| ()),
        config_objects: Box::new(|_| Vec::new()),
        adopt_config: Box::new(|_| false),
    };
    Mesh::new(own, options, clock, hooks)
}

/// Nanoseconds of one exchange.
async fn exchange(lines: usize) -> f64 {
    let (listener, address) = open();
    let peer = mesh("called", address, lines);
    monoio::spawn(async move { peer.serve(listener).await });
    let (_, own) = open();
    let caller = mesh("caller", own, lines);
    caller.update_listed(&[ListedNode {
        name: Name::from("called"),
        address,
        data_centre: data_centre(0),
        leaving: false,
    }]);
    let running = caller.clone();
    monoio::spawn(async move { running.run().await });
    let start = Instant::now();
    while caller.links().is_empty() {
        assert!(start.elapsed() < LIMIT, "the link did not open");
        monoio::time::sleep(LOOK).await;
    }
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for _ in 0..EXCHANGES {
            caller.exchange_heartbeats(LIMIT).await;
        }
        best = best.min(start.elapsed().as_nanos() as f64 / EXCHANGES as f64);
    }
    best
}
