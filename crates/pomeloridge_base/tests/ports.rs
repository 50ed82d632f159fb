//! Ports for streams and datagrams.

#[path = "support/runtime.rs"]
mod runtime;

use std::net::{SocketAddr, UdpSocket};

use pomeloridge_base::net::listen_with_datagrams;
use runtime::run;

/// Datagram ports in use, and ports chosen beside them: so many that some coincide.
const PORTS: usize = 400;

/// Guards against processes that can't start, as the port that the system chose for their streams is
/// in use for datagrams.
#[test]
fn a_chosen_port_is_free_for_streams_and_datagrams() {
    run(async {
        let any = SocketAddr::from(([127, 0, 4, 1], 0));
        let used = (0..PORTS).map(|_| UdpSocket::bind(any).unwrap());
        let _used: Vec<UdpSocket> = used.collect();
        for _ in 0..PORTS {
            let (listener, socket) = listen_with_datagrams(any).unwrap();
            assert_eq!(listener.local_addr().unwrap(), socket.local_addr().unwrap());
        }
    });
}

/// Checks that a port that was named is not replaced.
#[test]
fn a_named_port_that_is_in_use_is_an_error() {
    run(async {
        let used = UdpSocket::bind("127.0.4.1:0").unwrap();
        let opened = listen_with_datagrams(used.local_addr().unwrap());
        assert!(opened.is_err());
    });
}
