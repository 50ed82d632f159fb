//! What nodes read from one another over HTTP, and the metrics.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use pomeloridge_base::counted::Counted;
use pomeloridge_base::http::{Fault, Outgoing, Request, Responder, Response, call};
use pomeloridge_base::id::Revision;
use pomeloridge_platform::{ListWire, Object, ObjectWire};
use serde::de::DeserializeOwned;

use crate::compression::{compress, decompress};
use crate::state::State;

/// Path of the configuration.
const CONFIG_PATH: &str = "/config";
/// Path of the list of servers.
const SERVERS_PATH: &str = "/servers";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Time that a read takes at most.
const READ_TIME: Duration = Duration::from_millis(1500);
/// Peers that read from this node at once; more would share a small link until the
/// time of each has run out.
const READERS: usize = 2;
/// Code of the answer to a peer beyond those.
const BUSY: u16 = 503;

/// Reads a peer's configuration.
pub(crate) async fn read_config(address: SocketAddr) -> Result<Object, String> {
    let wire: ObjectWire = read(address, CONFIG_PATH).await?;
    Ok(wire.into())
}

/// Reads packed JSON from a peer.
async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, String> {
    let response = call(address, &Outgoing::get(path), READ_TIME).await;
    let response = response.map_err(|fault| fault.to_string())?;
    if response.status != StatusCode::OK {
        return Err(format!("status {}", response.status));
    }
    let body = decompress(&response.body).map_err(|error| error.to_string())?;
    serde_json::from_slice(&body).map_err(|error| error.to_string())
}

/// Reads a peer's list of servers.
pub(crate) async fn read_servers(address: SocketAddr) -> Result<(Revision, Vec<Object>), String> {
    let wire: ListWire = read(address, SERVERS_PATH).await?;
    Ok(wire.into())
}

/// Answers peers and collectors.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    let response = match request {
        Ok(request) if request.path() == CONFIG_PATH => {
            return be_read(state, config, responder).await;
        }
        Ok(request) if request.path() == SERVERS_PATH => {
            return be_read(state, servers, responder).await;
        }
        Ok(request) if request.path() == METRICS_PATH => {
            Response::new(200, (state.metrics)()).with("content-type", "text/plain")
        }
        Ok(_) => Response::new(404, ""),
        Err(_) => Response::new(400, ""),
    };
    send(response, responder).await;
}

async fn send(response: Response, responder: &mut Responder) {
    if let Err(fault) = responder.send(response).await {
        log::debug!("answer to a peer not delivered: {fault}");
    }
}

/// Answers one of a few peers at a time; a read lasts until the peer has closed the
/// connection, since a written answer may still wait for the link.
async fn be_read(state: &State, write: fn(&State) -> Response, responder: &mut Responder) {
    responder.close_after();
    let Some(reader) = Counted::below(&state.peer_reads, READERS) else {
        return send(Response::new(BUSY, ""), responder).await;
    };
    let mut response = write(state);
    match compress(&response.body) {
        Ok(packed) => response.body = packed.into(),
        Err(error) => {
            log::error!("answer to a peer not packed: {error}");
            response = Response::new(500, "");
        }
    }
    send(response, responder).await;
    if monoio::time::timeout(READ_TIME, responder.gone())
        .await
        .is_err()
    {
        log::debug!("a peer has not closed its connection within {READ_TIME:?}");
    }
    drop(reader);
}

fn config(state: &State) -> Response {
    match state.config.borrow().encoded() {
        Some(written) => Response::new(200, written),
        None => Response::new(404, ""),
    }
}

fn servers(state: &State) -> Response {
    let list = state.server_list.borrow();
    match list.revision() {
        Some(revision) => {
            let objects = list.objects().cloned().collect();
            Response::json(200, &ListWire::from((revision, objects)))
        }
        None => Response::new(404, ""),
    }
}
