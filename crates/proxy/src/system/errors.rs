//! Classification of errors of system calls on sockets, according to the Linux documentation.

use std::io;

use thiserror::Error;
use uapi::c;

/// Cause of an error of connecting, reading or writing: this machine, the remote end or the path between
/// them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SocketErrorKind {
    /// This machine has no free descriptor, port or memory, has no route, or forbids the call by a local
    /// rule. Nothing is known about the remote end.
    Local,
    /// No process listens at the remote address (ECONNREFUSED).
    Refused,
    /// The remote end, or a machine on its behalf, ended the connection (ECONNRESET, EPIPE, ECONNABORTED).
    Reset,
    /// The remote end cannot be reached (ETIMEDOUT, EHOSTUNREACH, EHOSTDOWN, ENETRESET). Its process may be
    /// running.
    Unreachable,
}

impl SocketErrorKind {
    /// Classifies an error of a call on a connection by its error number.
    pub fn of(error: &io::Error) -> SocketErrorKind {
        match error.raw_os_error() {
            Some(c::ECONNREFUSED) => SocketErrorKind::Refused,
            Some(c::ECONNRESET | c::EPIPE | c::ECONNABORTED) => SocketErrorKind::Reset,
            Some(c::ETIMEDOUT | c::EHOSTUNREACH | c::EHOSTDOWN | c::ENETRESET) => {
                SocketErrorKind::Unreachable
            }
            Some(_) => SocketErrorKind::Local,
            // Without an error number, the error was marked by `into_local`, or it is the end of the stream
            // within a message.
            None if error.get_ref().is_some_and(|inner| inner.is::<LocalError>()) => SocketErrorKind::Local,
            None => SocketErrorKind::Reset,
        }
    }
}

/// An error that was caused by this machine, whatever its error number.
#[derive(Debug, Error)]
#[error("cannot open a socket: {0}")]
struct LocalError(io::Error);

/// Marks an error as caused by this machine, so that it is classified as [`SocketErrorKind::Local`].
pub(super) fn into_local(error: io::Error) -> io::Error {
    io::Error::new(error.kind(), LocalError(error))
}

/// Reason why no connection was accepted.
#[derive(Debug, Error)]
pub enum AcceptError {
    /// The connection ended before it was accepted, or a signal interrupted the call. The next connection can
    /// be accepted at once.
    #[error("connection aborted before it was accepted: {0}")]
    Aborted(io::Error),
    /// The process or the machine has no free descriptor or memory. The connection stays in the backlog.
    #[error(
        "no free descriptor or memory to accept a connection, retrying; raise the limit on open files: {0}"
    )]
    Exhausted(io::Error),
    /// The listening socket itself is unusable.
    #[error("listening socket unusable: {0}")]
    ListenerFailed(io::Error),
}

impl From<io::Error> for AcceptError {
    fn from(error: io::Error) -> AcceptError {
        match error.raw_os_error() {
            Some(c::EMFILE | c::ENFILE | c::ENOBUFS | c::ENOMEM) => AcceptError::Exhausted(error),
            Some(c::EBADF | c::EINVAL | c::ENOTSOCK | c::EFAULT) => AcceptError::ListenerFailed(error),
            // Includes network errors that are pending on the new connection, which `accept` returns.
            _ => AcceptError::Aborted(error),
        }
    }
}
