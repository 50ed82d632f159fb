//! A node: every part of it on one thread, one task for each peer and connection.

mod config;
mod duties;
mod freshness;
mod front;
mod life;
mod lists;
mod loads;
mod mesh;
mod operator;
mod reports;
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

/// Listeners of the three ports.
struct Ports {
    caller: TcpListener,
    node: TcpListener,
    operator: TcpListener,
}

/// Runs a node until it has stopped gracefully.
pub(crate) fn run(settings: Settings) -> Result<(), String> {
    let mut runtime = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new()
        .enable_all()
        .build()
        .map_err(|error| format!("the runtime cannot start: {error}"))?;
    runtime.block_on(serve(settings))
}

async fn serve(settings: Settings) -> Result<(), String> {
    let ports = Ports {
        caller: open("listen", "caller", settings.caller)?,
        node: open("listen", "node", settings.node)?,
        operator: open("listen", "operator", settings.operator)?,
    };
    let address = |listener: &TcpListener| listener.local_addr().map_err(|e| e.to_string());
    let node = address(&ports.node)?;
    announce(&json!({
        "caller": address(&ports.caller)?.to_string(),
        "node": node.to_string(),
        "operator": address(&ports.operator)?.to_string(),
    }));
    let state = State::new(settings, node)?;
    life::watch_signals(&state)?;
    let mesh = state.mesh.clone();
    monoio::spawn(async move { mesh.serve(ports.node).await });
    let mesh = state.mesh.clone();
    monoio::spawn(async move { mesh.run().await });
    monoio::spawn(freshness::watch(Rc::clone(&state)));
    monoio::spawn(config::run(Rc::clone(&state)));
    monoio::spawn(lists::run(Rc::clone(&state)));
    monoio::spawn(loads::probe(Rc::clone(&state)));
    monoio::spawn(front::pump(Rc::clone(&state)));
    let authorities = duties::start(&state);
    *state.authorities.borrow_mut() = authorities;
    monoio::spawn(operator::serve(Rc::clone(&state), ports.operator));
    front::serve(Rc::clone(&state), ports.caller).await;
    life::leave(&state).await;
    Ok(())
}

fn open(section: &str, key: &str, address: SocketAddr) -> Result<TcpListener, String> {
    listen(address).map_err(|error| {
        format!("[{section}] {key}: cannot listen on {address}: {error}; choose a free address")
    })
}

/// Prints the first line of output: where the node listens.
fn announce(addresses: &serde_json::Value) {
    println!("{addresses}");
    let _ = std::io::stdout().flush();
}
