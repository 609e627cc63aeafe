//! Opens sockets that listen, connect or receive datagrams.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket, UnixListener};

use super::errors;
use super::injection::{SystemCall, inject_fault};

/// Opens a TCP socket that listens at `address`, even if connections of an earlier process on that port are
/// still in TIME_WAIT. Accepted connections have send and receive buffers of `buffer_size` bytes each, so
/// that the amount of data that was written and not yet read is known to within one buffer.
pub fn listen(address: SocketAddr, backlog: i32, buffer_size: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.set_send_buffer_size(buffer_size)?;
    socket.set_recv_buffer_size(buffer_size)?;
    socket.bind(&address.into())?;
    socket.listen(backlog)?;
    TcpListener::from_std(socket.into())
}

/// Opens a UDP socket that is bound to `address`.
pub async fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// Opens a Unix domain socket that listens at `path`.
pub fn listen_local(path: &str) -> io::Result<UnixListener> {
    UnixListener::bind(path)
}

/// Sizes of the kernel's buffers of a connection, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct BufferSizes {
    /// Size of the buffer for data that was written and is not yet sent or acknowledged.
    pub send: u32,
    /// Size of the buffer for data that was received and not yet read.
    pub receive: u32,
}

/// Opens a TCP connection to `address`. The buffers have the system's default sizes if `sizes` is `None`.
///
/// # Errors
///
/// An error of `socket()` or of setting an option is always marked as caused by this machine. An error of
/// `connect()` is returned unchanged. [`SocketErrorKind::of`](super::SocketErrorKind::of) classifies both.
pub async fn connect(address: SocketAddr, sizes: Option<BufferSizes>) -> io::Result<TcpStream> {
    let socket = open_socket(address, sizes).map_err(errors::into_local)?;
    inject_fault(SystemCall::Connect)?;
    socket.connect(address).await
}

/// Opens a TCP socket that is not connected, and sets the sizes of its buffers if any are given.
fn open_socket(address: SocketAddr, sizes: Option<BufferSizes>) -> io::Result<TcpSocket> {
    inject_fault(SystemCall::Socket)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if let Some(BufferSizes { send, receive }) = sizes {
        socket.set_send_buffer_size(send)?;
        socket.set_recv_buffer_size(receive)?;
    }
    Ok(socket)
}
