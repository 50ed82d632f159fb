//! Node: runs on one thread, with a task for each peer and connection.

mod caller_port;
mod config;
mod duties;
mod freshness;
mod lifecycle;
mod load_reports;
mod node_links;
mod node_status;
mod operator;
mod platform_lists;
mod state;
mod store;

use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;

use monoio::net::TcpListener;
use pomeloridge_base::net::listen;
use pomeloridge_base::settings::Settings;
use serde_json::json;

use state::State;

/// Listeners of the node's ports.
struct Ports {
    caller: TcpListener,
    node: TcpListener,
    operator: TcpListener,
}

/// Runs a node until it has shut down.
pub(crate) fn run(settings: Settings) -> Result<(), String> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .map_err(|error| format!("the runtime cannot start: {error}"))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), String> {
    let ports = Ports {
        caller: open_port("listen", "caller", settings.caller)?,
        node: open_port("listen", "node", settings.node)?,
        operator: open_port("listen", "operator", settings.operator)?,
    };
    let address = |listener: &TcpListener| listener.local_addr().map_err(|e| e.to_string());
    let node = address(&ports.node)?;
    print_addresses(&json!({
        "caller": address(&ports.caller)?.to_string(),
        "node": node.to_string(),
        "operator": address(&ports.operator)?.to_string(),
    }));
    let state = State::new(settings, node)?;
    lifecycle::watch_signals(&state)?;
    let mesh = state.mesh.clone();
    monoio::spawn(async move { mesh.serve(ports.node).await });
    let mesh = state.mesh.clone();
    monoio::spawn(async move { mesh.run().await });
    monoio::spawn(freshness::detect_pauses(Rc::clone(&state)));
    monoio::spawn(config::follow(Rc::clone(&state)));
    monoio::spawn(platform_lists::run(Rc::clone(&state)));
    monoio::spawn(load_reports::probe_ejected(Rc::clone(&state)));
    monoio::spawn(caller_port::admit_waiting(Rc::clone(&state)));
    let authorities = duties::start(&state);
    *state.authorities.borrow_mut() = authorities;
    monoio::spawn(operator::serve(Rc::clone(&state), ports.operator));
    caller_port::serve(Rc::clone(&state), ports.caller).await;
    lifecycle::finish(&state).await;
    Ok(())
}

fn open_port(section: &str, key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    listen(address).map_err(|error| {
        format!("[{section}] {key}: cannot listen on {address}: {error}; choose a free address")
    })
}

/// Prints the addresses on which the node listens, as the first line of output.
fn print_addresses(addresses: &serde_json::Value) {
    println!("{addresses}");
    let _ = std::io::stdout().flush();
}
