//! Reading, writing and peeking at connections. A call that a signal interrupts is made again.

use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::SocketErrorKind;
use super::injection::{Party, SystemCall, inject_fault};

/// What a peek at a connection finds, without waiting and without reading anything.
#[derive(Debug)]
pub enum Peeked {
    /// Nothing to read.
    NoData,
    /// Bytes that nobody has read.
    Unread,
    /// The other side sends nothing more.
    EndOfStream,
    /// The connection is broken.
    Failed(SocketErrorKind),
}

/// Peeks at the connection. The system itself is asked, as what the runtime knows of readiness may be outdated.
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

/// Appends what comes next to `buffer`; how many bytes that are, 0 at the end of the stream. Cancel safe: nothing is lost
/// where the future is dropped.
pub async fn read(party: Party, stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    loop {
        let read = match inject_fault(SystemCall::Read(party)) {
            Ok(()) => stream.read_buf(buffer).await,
            Err(error) => Err(error),
        };
        match read {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Writes as much as the system takes, once it takes any; how many bytes. Cancel safe: nothing is lost where the future is
/// dropped.
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

/// Writes all of it. Not cancel safe: how much was written is not known where the future is dropped.
pub async fn write_all(party: Party, stream: &mut TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        match write(party, stream, bytes).await? {
            0 => return Err(ErrorKind::WriteZero.into()),
            count => bytes = &bytes[count..],
        }
    }
    Ok(())
}

/// Writes what the system takes at once; how many bytes.
pub fn try_write(party: Party, stream: &TcpStream, bytes: &[u8]) -> io::Result<usize> {
    loop {
        match inject_fault(SystemCall::Write(party)).and_then(|()| stream.try_write(bytes)) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}
