//! System calls on sockets: every socket of the proxy is opened, connected, accepted, read and written here, and what
//! an error of such a call says is decided here alone ([`SocketErrorKind`], [`AcceptError`]).
//!
//! In builds with debug assertions a test may make these calls fail by seed, see `system/faults.rs`; release builds do
//! not contain that code.

mod acceptor;
mod datagrams;
mod errors;
#[cfg(debug_assertions)]
mod faults;

use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;

use socket2::{Domain, Protocol, SockRef, Socket, Type};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream, UdpSocket, UnixListener, UnixStream};

pub use acceptor::Acceptor;
pub use datagrams::{Datagrams, Received};
pub use errors::{AcceptError, SocketErrorKind};

/// The calls that tests can make fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemCall {
    /// `socket` and the options of a new one.
    Socket,
    /// `connect`.
    Connect,
    /// `accept` on a TCP socket.
    Accept,
    /// `accept` on a local socket.
    AcceptLocal,
    /// Receiving a datagram.
    Receive,
    /// A look at a connection that takes nothing from it.
    Peek,
    /// Reading from a connection to such a peer.
    Read(Party),
    /// Writing to a connection to such a peer.
    Write(Party),
}

/// The peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// A client.
    Client,
    /// A member.
    Member,
    /// The service that sends the endpoint list.
    Discovery,
}

/// The error that a test injects into this call, if any; never one in release builds.
fn injected(call: SystemCall) -> io::Result<()> {
    #[cfg(debug_assertions)]
    if let Some(error) = faults::draw(call) {
        return Err(error);
    }
    let _ = call;
    Ok(())
}

/// A listening socket, also on a port that an earlier run left in TIME_WAIT. Its connections have send and receive
/// buffers of `buffer` bytes, so that what was written and not yet read by the peer is known to within a buffer.
pub fn listen(address: SocketAddr, backlog: i32, buffer: usize) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.set_send_buffer_size(buffer)?;
    socket.set_recv_buffer_size(buffer)?;
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

/// Sizes of the system's buffers of a connection.
#[derive(Clone, Copy, Debug)]
pub struct BufferSizes {
    /// The send buffer, in bytes.
    pub send: u32,
    /// The receive buffer, in bytes.
    pub receive: u32,
}

/// Opens a connection to that address, with the system's usual buffers where no sizes are given.
///
/// An error of `socket()` or of setting an option always lies with this machine; one of `connect()` says what
/// [`SocketErrorKind::of`] says.
pub async fn connect(address: SocketAddr, sizes: Option<BufferSizes>) -> io::Result<TcpStream> {
    let socket = open_socket(address, sizes).map_err(errors::local)?;
    injected(SystemCall::Connect)?;
    socket.connect(address).await
}

fn open_socket(address: SocketAddr, sizes: Option<BufferSizes>) -> io::Result<TcpSocket> {
    injected(SystemCall::Socket)?;
    let socket = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    if let Some(BufferSizes { send, receive }) = sizes {
        socket.set_send_buffer_size(send)?;
        socket.set_recv_buffer_size(receive)?;
    }
    Ok(socket)
}

/// Accepts the next connection.
async fn accept(listener: &TcpListener) -> Result<(TcpStream, SocketAddr), AcceptError> {
    let Err(fault) = injected(SystemCall::Accept) else { return Ok(listener.accept().await?) };
    if fault.kind() == io::ErrorKind::ConnectionAborted {
        // The aborted connection was one of the backlog.
        listener.accept().await?;
    }
    Err(fault.into())
}

async fn accept_local(listener: &UnixListener) -> Result<UnixStream, AcceptError> {
    injected(SystemCall::AcceptLocal)?;
    Ok(listener.accept().await?.0)
}

/// What [`peek`] finds on a connection.
#[derive(Debug)]
pub enum Peeked {
    /// Nothing to read.
    Quiet,
    /// Bytes that nobody has read.
    Unread,
    /// The peer has closed its side.
    Ended,
    /// The connection failed.
    Broken(SocketErrorKind),
}

/// Looks at a connection without waiting and without taking anything from it. The system itself is asked: what the
/// runtime knows of readiness may be a turn of its loop old. A call that a signal interrupted is made again.
pub fn peek(stream: &TcpStream) -> Peeked {
    loop {
        let looked = injected(SystemCall::Peek)
            .and_then(|()| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
        match looked {
            Ok(0) => return Peeked::Ended,
            Ok(_) => return Peeked::Unread,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Peeked::Quiet,
            Err(error) => return Peeked::Broken(SocketErrorKind::of(&error)),
        }
    }
}

/// Reads what comes next and appends it to `into`. Returns the number of bytes, 0 where the peer has closed its side.
/// Nothing is lost where the wait is given up.
pub async fn read(party: Party, stream: &mut TcpStream, into: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        let read = match injected(SystemCall::Read(party)) {
            Ok(()) => stream.read_buf(into).await,
            Err(error) => Err(error),
        };
        match read {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Writes as much as the system accepts and returns how much. Nothing is lost where the wait is given up.
pub async fn write(party: Party, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        let written = match injected(SystemCall::Write(party)) {
            Ok(()) => stream.write(bytes).await,
            Err(error) => Err(error),
        };
        match written {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}

/// Writes all bytes, however long that takes. How much was written is not known where the wait is given up.
pub async fn write_all(party: Party, stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(party, stream, bytes).await? {
            0 => return Err(io::ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// Writes what the system accepts without waiting and returns how much; `WouldBlock` where that is nothing.
pub fn try_write(party: Party, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match injected(SystemCall::Write(party)).and_then(|()| stream.try_write(bytes)) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}
