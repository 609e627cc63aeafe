//! Client of the status sockets, which queries a running proxy for its state.

use std::io::Read;
use std::os::unix::net::UnixStream;

use crate::lifecycle::errors::ProgramError;

/// Reads the JSON object from the status socket at `path`.
///
/// # Errors
///
/// Returns an error if no proxy listens at the socket, or if the connection fails.
pub fn query(path: &str) -> Result<String, ProgramError> {
    let failed = |source| ProgramError::StatusSocket { path: path.to_owned(), source };
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(failed)?;
    Ok(text)
}
