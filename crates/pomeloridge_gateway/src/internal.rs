//! The configuration as nodes read it from one another.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use pomeloridge_base::http::{Fault, Outgoing, Request, Responder, Response, call};
use pomeloridge_base::id::Revision;
use pomeloridge_platform::Object;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::state::State;

/// Path of the configuration.
const CONFIG_PATH: &str = "/config";
/// Path of the list of servers.
const SERVERS_PATH: &str = "/servers";
/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";
/// Time that a read takes at most.
const READ_TIME: Duration = Duration::from_millis(800);

#[derive(Serialize, Deserialize)]
struct ObjectWire {
    key: String,
    version: Revision,
    value: Value,
}

impl From<ObjectWire> for Object {
    fn from(wire: ObjectWire) -> Self {
        Self {
            key: wire.key,
            version: wire.version,
            value: wire.value,
        }
    }
}

impl From<Object> for ObjectWire {
    fn from(object: Object) -> Self {
        Self {
            key: object.key,
            version: object.version,
            value: object.value,
        }
    }
}

/// Reads a peer's configuration.
pub(crate) async fn read_config(address: SocketAddr) -> Result<Object, String> {
    let wire: ObjectWire = read(address, CONFIG_PATH).await?;
    Ok(wire.into())
}

/// Reads JSON from a peer.
async fn read<T: DeserializeOwned>(address: SocketAddr, path: &str) -> Result<T, String> {
    let response = call(address, &Outgoing::get(path), READ_TIME).await;
    let response = response.map_err(|fault| fault.to_string())?;
    serde_json::from_slice(&response.body).map_err(|error| error.to_string())
}

#[derive(Serialize, Deserialize)]
struct ListWire {
    revision: Revision,
    objects: Vec<ObjectWire>,
}

/// Reads a peer's list of servers.
pub(crate) async fn read_servers(address: SocketAddr) -> Result<(Revision, Vec<Object>), String> {
    let wire: ListWire = read(address, SERVERS_PATH).await?;
    let objects = wire.objects.into_iter().map(Object::from);
    Ok((wire.revision, objects.collect()))
}

/// Answers peers and collectors.
pub(crate) async fn handle(
    state: &Rc<State>,
    request: Result<Request, Fault>,
    responder: &mut Responder,
) {
    let response = match request {
        Ok(request) if request.path() == CONFIG_PATH => config(state),
        Ok(request) if request.path() == SERVERS_PATH => servers(state),
        Ok(request) if request.path() == METRICS_PATH => {
            Response::new(200, (state.metrics)()).with("content-type", "text/plain")
        }
        Ok(_) => Response::new(404, ""),
        Err(_) => Response::new(400, ""),
    };
    if let Err(fault) = responder.send(response).await {
        log::debug!("answer to a peer not delivered: {fault}");
    }
}

fn config(state: &State) -> Response {
    match state.config.borrow().as_ref() {
        Some(in_force) => Response::json(200, &ObjectWire::from(in_force.object.clone())),
        None => Response::new(404, ""),
    }
}

fn servers(state: &State) -> Response {
    let list = state.server_list.borrow();
    match list.revision() {
        Some(revision) => {
            let objects = list.objects().map(ObjectWire::from).collect();
            Response::json(200, &ListWire { revision, objects })
        }
        None => Response::new(404, ""),
    }
}
