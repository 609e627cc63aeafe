//! Local sockets at which a running driver says what it believes: one JSON object to everybody who connects.

use std::io::Read;

use slog::{Logger, warn};
use tokio::net::UnixListener;

use crate::lifecycle::errors::ProgramError;
use crate::system;

/// The socket at that path; `None` where there can be none, which the log then says.
pub fn listen(path: &str, log: &Logger) -> Option<UnixListener> {
    // Left over from an earlier run.
    let _ = std::fs::remove_file(path);
    let bound = system::listen_local(path);
    bound.map_err(|error| warn!(log, "no status socket"; "path" => path, "why" => %error)).ok()
}

/// What the driver behind that socket says.
pub fn ask(path: &str) -> Result<String, ProgramError> {
    let failed = |why| ProgramError::Status { path: path.to_owned(), why };
    let mut stream = std::os::unix::net::UnixStream::connect(path).map_err(failed)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(failed)?;
    Ok(text)
}
