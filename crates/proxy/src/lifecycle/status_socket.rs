//! Opens status sockets. A running proxy sends its state as one JSON object to every process that connects to
//! such a socket.

use slog::{Logger, warn};
use tokio::net::UnixListener;

use crate::system;

/// Listens on the Unix socket at `path`, after removing any file at this path, such as the socket of an
/// earlier run. Logs a failure and returns `None`, because a proxy can serve without a status socket.
pub fn listen(path: &str, log: &Logger) -> Option<UnixListener> {
    let _ = std::fs::remove_file(path);
    match system::listen_local(path) {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(log, "status socket cannot be opened, served without it"; "path" => path, "why" => %error);
            None
        }
    }
}
