//! Internal HTTP API: configuration, server list and table of versions for peers, the metrics
//! page, and operators' questions.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::StatusCode;
use pomeloridge_base::count_guard::CountGuard;
use pomeloridge_base::http::{Fault, OutgoingRequest, Request, Responder, Response, call};
use pomeloridge_base::id::Revision;
use pomeloridge_platform::{ListWire, Object, ObjectWire};
use pomeloridge_policy::stream_versions::VersionTable;

use crate::compression::{compress, decompress};
use crate::server_list::ServerListDelta;
use crate::state::State;
use crate::versions::TableWire;
use crate::{peers, route_explain};

/// Path of the configuration.
const CONFIG_PATH: &str = "/config";
/// Path of the server list.
const SERVERS_PATH: &str = "/servers";
/// Query parameter of [`SERVERS_PATH`]: the revision of the list that the reader has. A node of a
/// former build ignores it and sends the whole list.
const AFTER_PARAMETER: &str = "after";
/// Path of the table of versions.
const VERSIONS_PATH: &str = "/versions";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Path of operators' questions where a request would go.
const ROUTE_EXPLAIN_PATH: &str = "/route/explain";
/// Timeout for reading from a peer.
const READ_TIMEOUT: Duration = Duration::from_millis(1500);
/// Most peers that may read from this node at once. More of them sharing a slow link would all
/// time out.
const MAX_PEER_READS: usize = 2;
/// Status that is sent to a peer beyond [`MAX_PEER_READS`].
const BUSY_STATUS: u16 = 503;

/// What a peer sends of its server list.
#[derive(Debug)]
pub(crate) enum PeerServers {
    /// The whole list.
    List(Revision, Vec<Object>),
    /// Changes since the revision that the reader named.
    Changes(ServerListDelta),
}

/// Reads a peer's configuration.
pub(crate) async fn read_config(address: SocketAddr) -> Result<Object, String> {
    let text = read(address, CONFIG_PATH).await?;
    let wire: ObjectWire = serde_json::from_slice(&text).map_err(|error| error.to_string())?;
    Ok(wire.into())
}

/// Reads compressed JSON from a peer.
async fn read(address: SocketAddr, path: &str) -> Result<Vec<u8>, String> {
    let (status, bytes) = read_any(address, path).await?;
    expect_ok(status)?;
    Ok(bytes)
}

/// Reads a compressed answer from a peer. The body of a failure is left out.
async fn read_any(address: SocketAddr, path: &str) -> Result<(StatusCode, Vec<u8>), String> {
    let response = call(address, &OutgoingRequest::get(path), READ_TIMEOUT).await;
    let response = response.map_err(|fault| fault.to_string())?;
    if !response.status.is_success() {
        return Ok((response.status, Vec::new()));
    }
    let bytes = decompress(&response.body).map_err(|error| error.to_string())?;
    Ok((response.status, bytes))
}

fn expect_ok(status: StatusCode) -> Result<(), String> {
    if status == StatusCode::OK {
        Ok(())
    } else {
        Err(format!("status {status}"))
    }
}

/// Reads from a peer the changes of the server list since the revision `known`, or the whole list
/// if this node has none or the peer does not know the changes.
pub(crate) async fn read_servers(
    address: SocketAddr,
    known: Option<Revision>,
) -> Result<PeerServers, String> {
    let path = known.map_or_else(
        || SERVERS_PATH.to_owned(),
        |known| format!("{SERVERS_PATH}?{AFTER_PARAMETER}={}", known.0),
    );
    let (status, bytes) = read_any(address, &path).await?;
    if status == StatusCode::PARTIAL_CONTENT {
        let change = peers::decode_change(&bytes).map_err(|error| error.to_string())?;
        return Ok(PeerServers::Changes(change));
    }
    expect_ok(status)?;
    let wire = ListWire::decode(&bytes).map_err(|error| error.to_string())?;
    let (revision, objects) = wire.into();
    Ok(PeerServers::List(revision, objects))
}

/// Reads a peer's table of versions.
pub(crate) async fn read_versions(address: SocketAddr) -> Result<VersionTable, String> {
    let text = read(address, VERSIONS_PATH).await?;
    let wire: TableWire = serde_json::from_slice(&text).map_err(|error| error.to_string())?;
    VersionTable::try_from(wire).map_err(|error| error.to_string())
}

/// Handles requests of peers and metrics collectors.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    let response = match request {
        Ok(request) if request.path() == CONFIG_PATH => {
            return serve_peer(state, config_response, responder).await;
        }
        Ok(request) if request.path() == SERVERS_PATH => {
            let known = request.query(AFTER_PARAMETER);
            let known = known.and_then(|text| text.parse().ok().map(Revision));
            let build = |state: &State| servers_response(state, known);
            return serve_peer(state, build, responder).await;
        }
        Ok(request) if request.path() == VERSIONS_PATH => {
            return serve_peer(state, versions_response, responder).await;
        }
        Ok(request) if request.path() == METRICS_PATH => {
            Response::new(200, (state.metrics)()).with_header("content-type", "text/plain")
        }
        Ok(request) if request.path() == ROUTE_EXPLAIN_PATH => {
            route_explain::respond(state, &request)
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

/// Serves a peer's read unless too many are in progress. A read lasts until the peer has closed
/// the connection, as a written response may still be queued for the link.
async fn serve_peer(
    state: &State,
    build: impl FnOnce(&State) -> Response,
    responder: &mut Responder,
) {
    responder.close_after();
    let Some(read_slot) = CountGuard::try_new(&state.peer_reads, MAX_PEER_READS) else {
        return send(Response::new(BUSY_STATUS, ""), responder).await;
    };
    let mut response = build(state);
    match compress(&response.body) {
        Ok(packed) => response.body = packed.into(),
        Err(error) => {
            log::error!("answer to a peer not compressed: {error}");
            response = Response::new(500, "");
        }
    }
    send(response, responder).await;
    if monoio::time::timeout(READ_TIMEOUT, responder.closed())
        .await
        .is_err()
    {
        log::debug!("a peer did not close its connection within {READ_TIMEOUT:?}");
    }
    drop(read_slot);
}

fn config_response(state: &State) -> Response {
    match state.config.borrow().encoded() {
        Some(written) => Response::new(200, written),
        None => Response::new(404, ""),
    }
}

/// Returns the changes of the server list since the revision `known`, or the whole list.
fn servers_response(state: &State, known: Option<Revision>) -> Response {
    let list = state.server_list.borrow();
    if let Some(change) = known.and_then(|known| list.changes_since(known)) {
        match peers::encode_change(&change) {
            Ok(bytes) => return Response::new(StatusCode::PARTIAL_CONTENT.as_u16(), bytes),
            Err(error) => log::error!("servers choice=send_list reason=\"{error}\""),
        }
    }
    match list.revision() {
        Some(revision) => {
            let objects = list.objects().cloned().collect();
            Response::json(200, &ListWire::from((revision, objects)))
        }
        None => Response::new(404, ""),
    }
}

fn versions_response(state: &State) -> Response {
    let versions = state.versions.borrow();
    Response::json(200, &TableWire::from(versions.table()))
}
