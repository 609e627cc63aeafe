//! `aldermill sites`: prints the state of other sites and of the links to them, as a running gateway knows it.

use crate::cli::status;
use crate::lifecycle::errors::ProgramError;

/// Prints the JSON object from the status socket of the gateway.
///
/// # Errors
///
/// Returns an error if no gateway listens at the socket, or if the connection fails.
pub fn run(socket: &str) -> Result<(), ProgramError> {
    print!("{}", status::query(socket)?);
    Ok(())
}
