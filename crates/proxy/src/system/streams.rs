//! Reads from, writes to and peeks at TCP connections. A call that a signal interrupts is repeated.

use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::os::fd::AsRawFd;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use uapi::c;

use super::SocketErrorKind;
use super::injection::{Party, SystemCall, inject_fault};

/// Largest number of bytes that [`has_unread`] looks for.
pub const MAX_PEEK: usize = 8 * 1024;

/// Result of a peek at a connection, which neither waits nor consumes data.
#[derive(Debug)]
pub enum Peeked {
    /// The connection is open and has no data to read.
    NoData,
    /// Data is waiting to be read.
    Unread,
    /// The remote end has closed its side of the connection, and all of its data has been read.
    EndOfStream,
    /// The call failed with an error of this kind.
    Failed(SocketErrorKind),
}

/// Peeks at the connection. This calls the system, because the readiness that the runtime has recorded may be
/// outdated.
pub fn peek(stream: &TcpStream) -> Peeked {
    loop {
        let peeked = inject_fault(SystemCall::Peek)
            .and_then(|()| SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]));
        match peeked {
            Ok(0) => return Peeked::EndOfStream,
            Ok(_) => return Peeked::Unread,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) if error.kind() == ErrorKind::WouldBlock => return Peeked::NoData,
            Err(error) => return Peeked::Failed(SocketErrorKind::of(&error)),
        }
    }
}

/// Returns whether at least `count` bytes have arrived that were not read yet. `count` is at most [`MAX_PEEK`].
pub fn has_unread(stream: &TcpStream, count: usize) -> bool {
    let mut unread = [MaybeUninit::uninit(); MAX_PEEK];
    SockRef::from(stream).peek(&mut unread[..count]).is_ok_and(|peeked| peeked == count)
}

/// Returns whether the remote end has closed its side of the connection, or the connection has failed, even if data that
/// arrived before is still unread. This calls the system, because the runtime may not have looked for events yet.
pub fn is_closed_by_peer(stream: &TcpStream) -> bool {
    const CLOSED: i16 = c::POLLRDHUP | c::POLLHUP | c::POLLERR;
    let mut descriptors = [c::pollfd { fd: stream.as_raw_fd(), events: c::POLLRDHUP, revents: 0 }];
    // An interrupted call says nothing; callers ask again.
    uapi::poll(&mut descriptors, 0).is_ok_and(|ready| ready > 0) && descriptors[0].revents & CLOSED != 0
}

/// Waits for data, appends it to `buffer` and returns the number of bytes, which is 0 at the end of the
/// stream. Cancel safe: no data is lost if the future is dropped.
pub async fn read(party: Party, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    read_up_to(usize::MAX, party, stream, buffer).await
}

/// Does the same as [`read`], but reads at most `limit` bytes, which must be above zero, and leaves the others with the
/// system.
pub async fn read_up_to(
    limit: usize,
    party: Party,
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
) -> io::Result<usize> {
    loop {
        let read = match inject_fault(SystemCall::Read(party)) {
            Ok(()) => (&mut *stream).take(limit as u64).read_buf(buffer).await,
            Err(error) => Err(error),
        };
        match read {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Reads bytes that have arrived into `buffer`, and returns how many, which is 0 at the end of the stream.
///
/// # Errors
///
/// [`ErrorKind::WouldBlock`] if none have arrived.
pub fn try_read(party: Party, stream: &TcpStream, buffer: &mut [u8]) -> io::Result<usize> {
    loop {
        match inject_fault(SystemCall::Read(party)).and_then(|()| stream.try_read(buffer)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Waits until the system accepts data, writes as much of `bytes` as it accepts, and returns the number of
/// bytes written. Cancel safe: if the future is dropped before it completes, nothing has been written.
pub async fn write(party: Party, stream: &mut TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        let written = match inject_fault(SystemCall::Write(party)) {
            Ok(()) => stream.write(bytes).await,
            Err(error) => Err(error),
        };
        match written {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}

/// Writes all of `bytes`. Not cancel safe: if the future is dropped, it is not known how much was written.
///
/// # Errors
///
/// [`ErrorKind::WriteZero`] if the system accepts no more data.
pub async fn write_all(party: Party, stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(party, stream, bytes).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// Writes as much of `bytes` as the system accepts without blocking, and returns the number of bytes written.
///
/// # Errors
///
/// [`ErrorKind::WouldBlock`] if the system accepts none at once.
pub fn try_write(party: Party, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match inject_fault(SystemCall::Write(party)).and_then(|()| stream.try_write(bytes)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}
