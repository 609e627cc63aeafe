//! Hook by which tests make system calls fail. It has no effect in release builds.

use std::io;

/// A system call that tests can make fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SystemCall {
    /// `socket`, including the options that are set before connecting.
    Socket,
    /// `connect` of a stream.
    Connect,
    /// `accept` of a TCP connection.
    Accept,
    /// `accept` of a connection to a Unix domain socket.
    AcceptLocal,
    /// `recvfrom` of a datagram.
    Receive,
    /// `recv` with `MSG_PEEK`, which leaves the bytes in the receive buffer.
    Peek,
    /// `read` from a connection.
    Read(Party),
    /// `write` to a connection.
    Write(Party),
}

/// Kind of the remote end of a connection, by which tests select the calls that fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Party {
    /// A client.
    Client,
    /// A member, which is a database server.
    Member,
    /// The discovery service.
    Discovery,
}

/// Returns the error that a test injects into this call, if any. Always returns `Ok` in release builds.
pub(super) fn inject_fault(call: SystemCall) -> io::Result<()> {
    #[cfg(debug_assertions)]
    if let Some(error) = super::faults::error_to_inject(call) {
        return Err(error);
    }
    let _ = call;
    Ok(())
}
