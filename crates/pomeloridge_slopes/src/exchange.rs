//! Measures a complete heartbeat exchange between two nodes in this process, over
//! a loopback link: building, sending, answering and merging, on both ends.

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

/// Numbers of service lines in each heartbeat.
const LINES: [usize; 3] = [0, 100, 1_000];
/// Exchanges per round.
const EXCHANGES: usize = 200;
/// Rounds; the fastest counts.
const ROUNDS: usize = 5;
/// Timeout for opening the link, and for one exchange.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two checks whether the link is open.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The heartbeat interval is long enough that only measured heartbeats are sent.
const OPTIONS: LinkOptions = LinkOptions {
    heartbeat: Duration::from_hours(1),
    suspect: TIMEOUT,
    fan_out: 8,
    cut_off: TIMEOUT,
};

/// Returns the measurement of heartbeat exchanges.
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

fn bind() -> (TcpListener, SocketAddr) {
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

/// Returns the nanoseconds of one exchange.
async fn exchange(lines: usize) -> f64 {
    let (listener, address) = bind();
    let peer = mesh("called", address, lines);
    monoio::spawn(async move { peer.serve(listener).await });
    let (_, own) = bind();
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
        assert!(start.elapsed() < TIMEOUT, "the link did not open");
        monoio::time::sleep(POLL_INTERVAL).await;
    }
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for _ in 0..EXCHANGES {
            caller.exchange_heartbeats(TIMEOUT).await;
        }
        best = best.min(start.elapsed().as_nanos() as f64 / EXCHANGES as f64);
    }
    best
}
