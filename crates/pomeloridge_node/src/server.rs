//! Server for other nodes, with one task per connection.

use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http2::Builder;
use hyper::service::{Service, service_fn};
use hyper_util::service::TowerToHyperService;
use monoio::io::IntoPollIo;
use monoio::net::{TcpListener, TcpStream};
use monoio_compat::hyper::{MonoioExecutor, MonoioIo, MonoioTimer};
use pomeloridge_base::net;
use tonic::service::Routes;

use crate::error::LinkError;
use crate::generated::link_server::{self, LinkServer};
use crate::generated::node_server::NodeServer;
use crate::mesh::Mesh;
use crate::peer_link::MAX_MESSAGE_BYTES;
use crate::served_link::{LinkGuard, LinkKey, find, unauthenticated};
use crate::service::LinkService;

/// Limit on a message of the handshake, in bytes.
const MAX_HANDSHAKE_BYTES: usize = 4096;
/// Maximum number of concurrent calls on one link.
const MAX_CONCURRENT_CALLS: u32 = 64;
/// Pause after a connection could not be accepted, for example for lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Serves other nodes until the process ends.
pub(crate) async fn serve(mesh: Mesh, listener: TcpListener) {
    loop {
        match net::accept(&listener).await {
            Ok((stream, address)) => {
                monoio::spawn(serve_link(mesh.clone(), stream, address));
            }
            Err(error) => {
                log::warn!("link state=not_accepted reason={error}");
                monoio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_link(mesh: Mesh, stream: TcpStream, address: SocketAddr) {
    let timeout = mesh.call_timeout();
    let Some(link) = LinkGuard::new(mesh) else {
        log::warn!("link address={address} state=refused reason=too_many_unproved");
        return;
    };
    if let Err(error) = run_link(link.key(), stream, timeout).await {
        log::debug!("link address={address} state=closed reason={error}");
    }
}

async fn run_link(key: LinkKey, stream: TcpStream, timeout: Duration) -> Result<(), LinkError> {
    let routes = TowerToHyperService::new(routes(key));
    let service = service_fn(move |request: Request<Incoming>| {
        let routes = routes.clone();
        async move {
            // Refused before the message is read, because it may be larger than a handshake's.
            if is_allowed(key, request.uri().path()) {
                routes.call(request).await
            } else {
                Ok(unauthenticated().into_http())
            }
        }
    });
    let connection = Builder::new(MonoioExecutor)
        .timer(MonoioTimer)
        .keep_alive_interval(timeout)
        .keep_alive_timeout(timeout)
        .max_concurrent_streams(MAX_CONCURRENT_CALLS)
        .serve_connection(MonoioIo::new(stream.into_poll_io()?), service);
    let mut connection = pin!(connection);
    if let Ok(result) = monoio::time::timeout(timeout, &mut connection).await {
        return Ok(result?);
    }
    if find(key).is_ok_and(|link| link.peer().is_some()) {
        Ok(connection.await?)
    } else {
        Err(LinkError::Unproved)
    }
}

fn routes(key: LinkKey) -> Routes {
    let link = LinkServer::new(LinkService(key)).max_decoding_message_size(MAX_HANDSHAKE_BYTES);
    let node = NodeServer::new(LinkService(key)).max_decoding_message_size(MAX_MESSAGE_BYTES);
    Routes::new(link).add_service(node)
}

fn is_allowed(key: LinkKey, path: &str) -> bool {
    let service = path.trim_start_matches('/').split('/').next();
    service == Some(link_server::SERVICE_NAME) || find(key).is_ok_and(|link| link.peer().is_some())
}
