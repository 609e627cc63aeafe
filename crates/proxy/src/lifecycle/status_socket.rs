//! The listening side of the status sockets, at which a running proxy gives its state as one JSON object to everybody
//! who connects.

use slog::{Logger, warn};
use tokio::net::UnixListener;

use crate::system;

/// Listens on the Unix socket at `path`, and replaces a file that an earlier run left there. A proxy serves without a
/// status socket as well, so a failure is only logged and `None` returned.
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
