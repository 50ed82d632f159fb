//! TCP listening and connecting with the options that every socket needs.

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::os::fd::{AsRawFd, BorrowedFd};
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

/// A connection's socket, for its options.
pub(crate) fn socket(stream: &TcpStream) -> BorrowedFd<'_> {
    // SAFETY: the descriptor is open for as long as `stream` is borrowed.
    unsafe { BorrowedFd::borrow_raw(stream.as_raw_fd()) }
}

/// Looks what the peer has sent without taking it: 0 after its end, an error of kind
/// `WouldBlock` if nothing has come.
pub(crate) fn peek(stream: &TcpStream) -> io::Result<usize> {
    let mut byte = [MaybeUninit::uninit()];
    let flags = libc::MSG_PEEK | libc::MSG_DONTWAIT;
    socket2::SockRef::from(&socket(stream)).recv_with_flags(&mut byte, flags)
}

/// Bytes that were written and that the peer's system has not acknowledged.
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
