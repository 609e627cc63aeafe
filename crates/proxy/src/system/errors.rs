//! What errors of system calls on sockets say, as Linux documents them.

use std::io;

use thiserror::Error;
use uapi::c;

/// What an error of connecting, reading or writing says of the two ends and the path between them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// This machine has no descriptor, port, memory or route, or a rule of its own forbids the call. Nothing is known of
    /// the other side.
    Local,
    /// Nobody listens at that address (ECONNREFUSED).
    Refused,
    /// The other side, or a machine on its behalf, ended the connection (ECONNRESET, EPIPE).
    Reset,
    /// Nothing comes through to the other side (ETIMEDOUT, EHOSTUNREACH); its process may well live.
    Unreachable,
}

impl SocketErrorKind {
    /// The kind of an error of a call on a connection, by its number.
    pub fn of(error: &io::Error) -> SocketErrorKind {
        match error.raw_os_error() {
            Some(c::ECONNREFUSED) => SocketErrorKind::Refused,
            Some(c::ECONNRESET | c::EPIPE | c::ECONNABORTED) => SocketErrorKind::Reset,
            Some(c::ETIMEDOUT | c::EHOSTUNREACH | c::EHOSTDOWN | c::ENETRESET) => {
                SocketErrorKind::Unreachable
            }
            Some(_) => SocketErrorKind::Local,
            // Not the system's: the end of the stream within a message, or one that `as_local` marked.
            None if error.get_ref().is_some_and(|inner| inner.is::<LocalError>()) => SocketErrorKind::Local,
            None => SocketErrorKind::Reset,
        }
    }
}

/// An error that is this machine's whatever its number says.
#[derive(Debug, Error)]
#[error("no socket: {0}")]
struct LocalError(io::Error);

/// Marks an error as this machine's.
pub(super) fn into_local(error: io::Error) -> io::Error {
    io::Error::new(error.kind(), LocalError(error))
}

/// Why a connection was not accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// The connection went away before it was accepted, or a signal interrupted the call: the next one is accepted at
    /// once.
    #[error("connection gone before it was accepted: {0}")]
    Aborted(io::Error),
    /// The process or the machine has no descriptor or memory left. The connection waits in the backlog.
    #[error(
        "no descriptor or memory free to accept a connection, tried again; raise the limit on open files: {0}"
    )]
    Exhausted(io::Error),
    /// The listening socket itself is of no use.
    #[error("the listening socket fails: {0}")]
    ListenerFailed(io::Error),
}

impl From<io::Error> for AcceptError {
    fn from(error: io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(c::EMFILE | c::ENFILE | c::ENOBUFS | c::ENOMEM) => AcceptError::Exhausted(error),
            Some(c::EBADF | c::EINVAL | c::ENOTSOCK | c::EFAULT) => AcceptError::ListenerFailed(error),
            // Errors of the network that are pending on the new connection are among them: accept passes those on.
            _ => AcceptError::Aborted(error),
        }
    }
}
