//! Where tests make system calls fail; nothing in release builds.

use std::io;

/// The calls that tests may make fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SystemCall {
    /// `socket`, and the options that are set before connecting.
    Socket,
    /// `connect` of a stream.
    Connect,
    /// `accept` of a TCP connection.
    Accept,
    /// `accept` of a connection to a local socket.
    AcceptLocal,
    /// `recvfrom` of a datagram.
    Receive,
    /// `recv` that leaves the bytes where they are.
    Peek,
    /// `read` of a connection.
    Read(Party),
    /// `write` of a connection.
    Write(Party),
}

/// Who is at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// A client.
    Client,
    /// A member.
    Member,
    /// The discovery service.
    Discovery,
}

/// Fails with the error that a test wants of this call, if any; never in release builds.
pub(super) fn inject_fault(call: SystemCall) -> io::Result<()> {
    #[cfg(debug_assertions)]
    if let Some(error) = super::faults::error_to_inject(call) {
        return Err(error);
    }
    let _ = call;
    Ok(())
}
