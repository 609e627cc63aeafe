//! `aldermill sites`: what a running gateway knows of other sites and its links to them.

use crate::cli::status;
use crate::lifecycle::errors::ProgramError;

/// Prints the JSON object that the gateway's status socket gives.
///
/// # Errors
///
/// No gateway listens at that socket.
pub fn run(socket: &str) -> Result<(), ProgramError> {
    print!("{}", status::query(socket)?);
    Ok(())
}
