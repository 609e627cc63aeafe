//! The client side of the status sockets: asks a running proxy for its state.

use std::io::Read;
use std::os::unix::net::UnixStream;

use crate::lifecycle::errors::ProgramError;

/// Reads the JSON object that the proxy behind the status socket at `path` gives.
///
/// # Errors
///
/// No proxy listens there, or the connection broke.
pub fn query(path: &str) -> Result<String, ProgramError> {
    let failed = |source| ProgramError::StatusSocket { path: path.to_owned(), source };
    let mut stream = UnixStream::connect(path).map_err(failed)?;
    let mut text = String::new();
    stream.read_to_string(&mut text).map_err(failed)?;
    Ok(text)
}
