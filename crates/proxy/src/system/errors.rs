//! What errors of system calls on sockets say about this machine and the peer, as Linux documents them.

use std::io;

use thiserror::Error;
use uapi::c;

/// What an error of connecting, reading or writing says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// This machine lacks a descriptor, port, memory or route, or a firewall rule of its own forbids the call.
    /// Nothing is known of the peer.
    Local,
    /// The peer's machine answers, and no process listens at that address (ECONNREFUSED).
    Refused,
    /// The peer, or a machine between, ended the connection (ECONNRESET, EPIPE, ECONNABORTED).
    Reset,
    /// Nothing gets through to the peer's machine (ETIMEDOUT, EHOSTUNREACH); its process may well be running.
    Unreachable,
}

impl SocketErrorKind {
    /// Classifies an error of [`super::connect`], [`super::read`], [`super::write`] or [`super::peek`].
    pub fn of(error: &io::Error) -> SocketErrorKind {
        match error.raw_os_error() {
            Some(c::ECONNREFUSED) => SocketErrorKind::Refused,
            Some(c::ECONNRESET | c::EPIPE | c::ECONNABORTED) => SocketErrorKind::Reset,
            Some(c::ETIMEDOUT | c::EHOSTUNREACH | c::EHOSTDOWN | c::ENETRESET) => {
                SocketErrorKind::Unreachable
            }
            Some(_) => SocketErrorKind::Local,
            // Not from the system: marked by [`local`], or the peer's end where more had to come.
            None if error.get_ref().is_some_and(|inner| inner.is::<LocalError>()) => SocketErrorKind::Local,
            None => SocketErrorKind::Reset,
        }
    }
}

/// An error that lies with this machine whatever its number.
#[derive(Debug, Error)]
#[error("no socket: {0}")]
struct LocalError(io::Error);

/// Marks an error as one that lies with this machine.
pub(super) fn local(error: io::Error) -> io::Error {
    io::Error::new(error.kind(), LocalError(error))
}

/// Why a connection was not accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// The connection was closed before it was accepted, or the call was interrupted: the next one is accepted at once.
    #[error("connection gone before it was accepted: {0}")]
    Gone(io::Error),
    /// No descriptor or memory is free. The connection waits in the backlog meanwhile.
    #[error(
        "no descriptor or memory free to accept a connection, tried again; raise the limit on open files: {0}"
    )]
    Exhausted(io::Error),
    /// The listening socket itself is of no use.
    #[error("the listening socket fails: {0}")]
    Failed(io::Error),
}

impl From<io::Error> for AcceptError {
    fn from(error: io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(c::EMFILE | c::ENFILE | c::ENOBUFS | c::ENOMEM) => AcceptError::Exhausted(error),
            Some(c::EBADF | c::EINVAL | c::ENOTSOCK | c::EFAULT) => AcceptError::Failed(error),
            // Among them network errors that are pending on the new connection, which accept reports.
            _ => AcceptError::Gone(error),
        }
    }
}
