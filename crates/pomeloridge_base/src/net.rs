//! TCP listeners and connections with the socket options that all of them need.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
use std::time::Duration;

use monoio::net::udp::UdpSocket;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};

/// Maximum number of connections that wait to be accepted.
pub(crate) const BACKLOG: i32 = 1024;
/// Number of free ports that are tried for streams and datagrams together.
const MAX_PORT_CHOICES: u32 = 16;

/// Listens on `address`; port 0 chooses a free port.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let options = ListenerOpts::new().reuse_port(false).backlog(BACKLOG);
    TcpListener::bind_with_config(address, &options)
}

/// Listens on `address` and binds a socket for datagrams to the same port; port 0 chooses one that
/// is free for both.
pub fn listen_with_datagrams(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut choices = if address.port() == 0 {
        MAX_PORT_CHOICES
    } else {
        1
    };
    loop {
        let listener = listen(address)?;
        choices -= 1;
        match UdpSocket::bind(listener.local_addr()?) {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if choices > 0 && error.kind() == io::ErrorKind::AddrInUse => {
                log::debug!("a port is in use for datagrams, another is chosen: {error}");
            }
            Err(error) => return Err(error),
        }
    }
}

/// Accepts a connection and sets `TCP_NODELAY`.
pub async fn accept(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    let (stream, peer) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok((stream, peer))
}

/// Connects within `timeout` and sets `TCP_NODELAY`.
pub async fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = monoio::time::timeout(timeout, TcpStream::connect(address))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Borrows the socket of a connection, to read or set its options.
pub(crate) fn socket(stream: &TcpStream) -> BorrowedFd<'_> {
    // SAFETY: the descriptor is open for as long as `stream` is borrowed.
    unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) }
}

/// Peeks at received bytes without consuming them: returns 0 if the peer has closed the
/// connection, and an error of kind `WouldBlock` if nothing has been received.
pub(crate) fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut byte = [MaybeUninit::uninit()];
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    socket2::SockRef::from(&socket(stream)).recv_with_flags(&mut byte, flags)
}

/// Returns the number of written bytes that the peer has not acknowledged.
pub(crate) fn unacknowledged(stream: &TcpStream) -> io::Result<usize> {
    let mut count: libc::c_int = 0;
    // SAFETY: the descriptor is open, and the call writes one `c_int`.
    let done = unsafe { libc::ioctl(stream.as_raw_fd(), libc::TIOCOUTQ, &raw mut count) };
    if done == 0 {
        Ok(usize::try_from(count).unwrap_or_default())
    } else {
        Err(io::Error::last_os_error())
    }
}
