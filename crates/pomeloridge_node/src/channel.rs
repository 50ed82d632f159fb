//! Client side of a link: HTTP/2 over one connection.

use std::future::Future;
use std::net::SocketAddr;
use std::task::{Context, Poll};
use std::time::Duration;

use futures_util::future::LocalBoxFuture;
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::client::conn::http2::{Builder, SendRequest};
use monoio::io::IntoPollIo;
use monoio_compat::hyper::{MonoioExecutor, MonoioIo, MonoioTimer};
use pomeloridge_base::net;
use tonic::Status;
use tonic::body::Body;
use tower::Service;

use crate::error::LinkError;

/// Connection to another node; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Channel {
    sender: SendRequest<Body>,
}

impl Channel {
    /// Connects within `timeout`, which is also the interval and the timeout of the
    /// keep-alive pings that end a silent connection.
    pub(crate) async fn connect(address: SocketAddr, timeout: Duration) -> Result<Self, LinkError> {
        let stream = net::connect(address, timeout).await?.into_poll_io()?;
        let handshake = Builder::new(MonoioExecutor)
            .timer(MonoioTimer)
            .keep_alive_interval(timeout)
            .keep_alive_timeout(timeout)
            .keep_alive_while_idle(true)
            .handshake(MonoioIo::new(stream));
        let (sender, connection) = with_timeout(timeout, handshake).await??;
        monoio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("link address={address} state=closed reason={error}");
            }
        });
        Ok(Self { sender })
    }

    /// Returns whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = hyper::Error;
    type Future = LocalBoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.sender.poll_ready(context)
    }

    fn call(&mut self, request: Request<Body>) -> Self::Future {
        Box::pin(self.sender.send_request(request))
    }
}

/// Returns the origin of the calls' URIs, which servers ignore.
pub(crate) fn origin() -> Uri {
    Uri::from_static("http://node")
}

/// Awaits a call's reply for at most `timeout`.
pub(crate) async fn with_deadline<T>(
    timeout: Duration,
    call: impl Future<Output = Result<tonic::Response<T>, Status>>,
) -> Result<T, LinkError> {
    Ok(with_timeout(timeout, call).await??.into_inner())
}

async fn with_timeout<T>(
    timeout: Duration,
    future: impl Future<Output = T>,
) -> Result<T, LinkError> {
    let result = monoio::time::timeout(timeout, future).await;
    result.map_err(|_| LinkError::Deadline)
}
