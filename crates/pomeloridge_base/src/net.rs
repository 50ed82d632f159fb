//! TCP listening and connecting with the options that every socket needs.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use monoio::net::{ListenerOpts, TcpListener, TcpStream};

/// Listens on `address`; port 0 takes a free port.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).backlog(1024);
    TcpListener::bind_with_config(address, &options)
}

/// Accepts one connection, with small writes sent at once.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, peer))
}

/// Connects within `timeout`, with small writes sent at once.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = monoio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
