//! Local status socket, from which `aldermill peers` reads what this proxy knows about its fleet.

use slog::Logger;
use tokio::io::AsyncWriteExt;
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;

use crate::lifecycle::status_socket;
use crate::system::Acceptor;

/// Local status socket, from which `aldermill peers` reads what this proxy knows about its fleet.
pub(super) struct StatusSocket(Acceptor<UnixListener>);

impl StatusSocket {
    /// Opens the socket at `path`. If that fails, logs a warning and returns `None`.
    pub(super) fn open(path: &str, log: &Logger) -> Option<StatusSocket> {
        let listener = status_socket::listen(path, log)?;
        Some(StatusSocket(Acceptor::new(listener, log.clone())))
    }
}

/// Waits for the next connection to the status socket, forever if there is no socket.
pub(super) async fn next_request(socket: &mut Option<StatusSocket>) -> UnixStream {
    match socket {
        Some(StatusSocket(acceptor)) => acceptor.next().await,
        None => std::future::pending().await,
    }
}

/// Writes the answer and a newline in a separate task, so that a client that does not read delays no other.
pub(super) fn answer(mut stream: UnixStream, text: String) {
    spawn_local(async move {
        let _ = stream.write_all(format!("{text}\n").as_bytes()).await;
    });
}
