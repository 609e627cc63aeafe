//! The local socket at which `aldermill peers` asks what this proxy knows.

use slog::Logger;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;

use crate::lifecycle::status_socket;
use crate::system::Acceptor;

/// The local socket at which `aldermill peers` asks what this proxy knows.
pub(super) struct StatusSocket(Acceptor<UnixListener>);

impl StatusSocket {
    /// Opens the socket at this path; `None`, and a warning in the log, if that fails.
    pub(super) fn open(path: &str, log: &Logger) -> Option<StatusSocket> {
        let listener = status_socket::listen(path, log)?;
        Some(StatusSocket(Acceptor::new(listener, log.clone())))
    }
}

/// The next one who asks; never, where there is no socket.
pub(super) async fn next_request(socket: &mut Option<StatusSocket>) -> UnixStream {
    match socket {
        Some(StatusSocket(acceptor)) => acceptor.next().await,
        None => std::future::pending().await,
    }
}

/// Writes the answer in a task of its own, so that who asks and does not read keeps nobody waiting.
pub(super) fn answer(mut stream: UnixStream, text: String) {
    spawn_local(async move {
        let _ = stream.write_all(format!("{text}\n").as_bytes()).await;
    });
}
