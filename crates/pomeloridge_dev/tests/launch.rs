//! Tests of deployments of separate processes.

use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use pomeloridge_dev::launch::{Fleet, get_json};

/// Time within which a stopped gateway ends.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against gateways that do not restart, as a connection has taken one of their ports.
#[test]
fn a_gateway_restarts_although_its_ports_are_in_use_elsewhere() {
    let mut fleet = Fleet::start("restart", 1).unwrap();
    let gateway = &mut fleet.gateways[0];
    gateway.process.kill();
    let ports = [gateway.caller, gateway.ready, gateway.metrics].map(|address| address.port());
    let taken = ports.map(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, port)));
    // Another process may have a port there already; then it is in use, too.
    let mut errors = taken.iter().filter_map(|taken| taken.as_ref().err());
    assert!(
        errors.all(|error| error.kind() == ErrorKind::AddrInUse),
        "{taken:?}"
    );
    assert_eq!(fleet.restart(0), Ok(()));
}

/// Guards against servers of the fake that do not restart for the same reason.
#[test]
fn servers_listen_where_no_connection_leaves() {
    let fleet = Fleet::start("server-address", 0).unwrap();
    let servers = get_json(fleet.store, "/-/objects/servers").unwrap();
    let servers = servers["items"].as_array().cloned().unwrap_or_default();
    assert!(!servers.is_empty());
    for server in servers {
        let address = server["spec"]["address"].as_str().unwrap_or_default();
        let address: SocketAddr = address.parse().unwrap();
        let connection = TcpStream::connect(address).unwrap();
        assert!(!address.ip().is_unspecified());
        assert_ne!(address.ip(), connection.local_addr().unwrap().ip());
    }
}

/// Guards against signals to another process, which was given the id of one that has ended.
#[test]
fn a_process_that_has_ended_gets_no_signal() {
    let mut fleet = Fleet::start("ended", 1).unwrap();
    let process = &mut fleet.gateways[0].process;
    assert!(process.signal(0));
    process.stop();
    assert!(process.wait(END_TIMEOUT).is_some());
    assert!(!process.signal(0));
    assert!(!process.is_running());
}
