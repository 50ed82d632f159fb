//! Server and raw clients on loopback in the same runtime.

pub mod runtime;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::io::{AsyncReadRent, AsyncWriteRentExt};
use monoio::net::TcpStream;
use pomeloridge_base::http::{Fault, Limits, Request, Responder, Server};

/// Returns limits that tests can exceed quickly.
pub fn small_limits() -> Limits {
    Limits {
        head_bytes: 1024,
        body_bytes: 4096,
        head_time: Duration::from_millis(300),
        body_time: Duration::from_millis(300),
        ..Limits::default()
    }
}

/// Starts a server and returns its address.
pub fn start<H>(limits: Limits, handler: H) -> SocketAddr
where
    H: AsyncFn(Result<Request, Fault>, &mut Responder) + 'static,
{
    let listener = pomeloridge_base::net::listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let server = Rc::new(Server {
        limits: limits.into(),
        handler,
        stopping: || false,
    });
    monoio::spawn(server.run(listener));
    address
}

/// Sends raw bytes and reads until the server closes the connection or `enough` bytes have
/// arrived.
pub async fn raw(address: SocketAddr, bytes: Vec<u8>, enough: usize) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let (result, _) = stream.write_all(bytes).await;
    result.unwrap();
    let mut text = Vec::new();
    while text.len() < enough {
        let (result, chunk) = stream.read(Vec::with_capacity(4096)).await;
        match result {
            Ok(0) | Err(_) => break,
            Ok(_) => text.extend_from_slice(&chunk),
        }
    }
    String::from_utf8(text).unwrap()
}
