//! Links that fall silent without being closed.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt, Splitable};
use monoio::net::TcpStream;
use pomeloridge_base::id::Name;
use pomeloridge_base::net;
use pomeloridge_node::error::LinkError;
use pomeloridge_node::member::LinkOptions;
use pomeloridge_node::peer_link::PeerLink;

use crate::node::{OPTIONS, SECRET, TestNode, run, until};

const TIMEOUT: Duration = Duration::from_millis(300);

/// Starts a TCP relay to `target`. While its flag is set, it discards the bytes of both
/// directions and keeps the connections open.
fn relay(target: SocketAddr) -> (SocketAddr, Rc<Cell<bool>>) {
    let listener = net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let cut = Rc::new(Cell::new(false));
    let is_cut = cut.clone();
    monoio::spawn(async move {
        while let Ok((near, _)) = net::accept(&listener).await {
            let Ok(far) = net::connect(target, OPTIONS.suspect).await else {
                continue;
            };
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            monoio::spawn(forward(near_read, far_write, is_cut.clone()));
            monoio::spawn(forward(far_read, near_write, is_cut.clone()));
        }
    });
    (address, cut)
}

type ReadHalf = monoio::io::OwnedReadHalf<TcpStream>;
type WriteHalf = monoio::io::OwnedWriteHalf<TcpStream>;

async fn forward(mut from: ReadHalf, mut to: WriteHalf, cut: Rc<Cell<bool>>) {
    let mut buffer = vec![0; 4096];
    loop {
        let (read, bytes) = from.read(buffer).await;
        let Ok(count @ 1..) = read else {
            if cut.get() {
                // The end of one direction is not forwarded.
                monoio::time::sleep(Duration::from_hours(1)).await;
            }
            return;
        };
        buffer = bytes;
        if !cut.get() && to.write_all(buffer[..count].to_vec()).await.0.is_err() {
            return;
        }
    }
}

#[test]
fn opening_a_link_to_a_silent_node_times_out() {
    run(async {
        let listener = net::listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let link = PeerLink::open(address, &Name::from("b"), SECRET, TIMEOUT).await;
        assert!(matches!(link, Err(LinkError::Deadline)), "{link:?}");
    });
}

#[test]
fn pings_detect_an_idle_link_that_falls_silent() {
    run(async {
        let a = TestNode::start("a", "x", SECRET, &[]);
        let (address, cut) = relay(a.address);
        let link = PeerLink::open(address, &Name::from("b"), SECRET, Duration::from_secs(1)).await;
        let link = link.expect("the relay forwards");
        assert!(!link.is_closed());
        cut.set(true);
        // No calls are made: only the pings detect the silence.
        until("the silence is detected", || link.is_closed()).await;
    });
}

#[test]
fn a_link_that_was_cut_is_opened_again() {
    run(async {
        let mut cut = None;
        let b = TestNode::start_with("b", "y", SECRET, &[], OPTIONS, |address| {
            let (relay_address, switch) = relay(address);
            cut = Some(switch);
            relay_address
        });
        let cut = cut.expect("the relay was started");
        let quick = LinkOptions {
            suspect: Duration::from_secs(1),
            ..OPTIONS
        };
        let a = TestNode::start_with("a", "x", SECRET, &[], quick, |address| address);
        a.mesh.update_listed(&[b.listed()]);
        until("the link is open", || a.mesh.links().len() == 1).await;
        cut.set(true);
        until("the link is closed", || a.mesh.links().is_empty()).await;
        cut.set(false);
        until("the link is open again", || a.mesh.links().len() == 1).await;
    });
}
