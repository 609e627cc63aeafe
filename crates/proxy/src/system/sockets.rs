//! Opening sockets.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket, UnixListener};

use super::errors;
use super::injection::{SystemCall, inject_fault};

/// A listening socket at that address; a port that an earlier run left in TIME_WAIT is no obstacle. Its connections have
/// send and receive buffers of `buffer` bytes each, so that what was written and not read is known to within a buffer.
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

/// A socket for datagrams at that address.
pub async fn bind_datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address).await
}

/// A local listening socket at that path.
pub fn listen_local(path: &str) -> io::Result<UnixListener> {
    UnixListener::bind(path)
}

/// Sizes of the system's buffers of a connection, in bytes.
#[derive(Clone, Copy, Debug)]
pub struct BufferSizes {
    /// Of what was written and not sent or acknowledged.
    pub send: u32,
    /// Of what was received and not read.
    pub receive: u32,
}

/// A new connection to that address, with the system's default buffers where no sizes are given.
///
/// # Errors
///
/// One of `socket()` or of setting an option is always this machine's; of one of `connect()`,
/// [`SocketErrorKind::of`](super::SocketErrorKind::of) says whose it is.
pub async fn connect(address: SocketAddr, sizes: Option<BufferSizes>) -> io::Result<TcpStream> {
    let socket = open_socket(address, sizes).map_err(errors::into_local)?;
    inject_fault(SystemCall::Connect)?;
    socket.connect(address).await
}

fn open_socket(address: SocketAddr, sizes: Option<BufferSizes>) -> io::Result<TcpSocket> {
    inject_fault(SystemCall::Socket)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if let Some(BufferSizes { send, receive }) = sizes {
        socket.set_send_buffer_size(send)?;
        socket.set_recv_buffer_size(receive)?;
    }
    Ok(socket)
}
