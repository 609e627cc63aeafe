//! `aldermill check`: reads the configuration as `serve` would, and prints a summary.

use crate::lifecycle::configuration::{self, Files, Start};
use crate::lifecycle::errors::ProgramError;

/// Prints what the configuration amounts to.
///
/// # Errors
///
/// A file cannot be read, or its content cannot be used.
pub fn run(files: &Files) -> Result<(), ProgramError> {
    let start = Start::read(files, configuration::environment)?;
    print_summary(&start);
    Ok(())
}

fn print_summary(start: &Start) {
    let limits = &start.limits;
    println!("driver {} listens on {}, discovery at {}", start.name, start.listen, start.discovery);
    let known = start.known.as_ref().map_or(0, |known| known.members.len());
    println!("{known} members known, {} offerings", start.decoded.terms.classes.len());
    println!("connections: {} from clients, {} to members", limits.clients, limits.members);
    let (room, connection) = (start.bounds.room / 1024, start.bounds.connection / 1024);
    println!("room for what waits: {room} KiB, {connection} KiB for one connection");
}
