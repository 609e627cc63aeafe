//! `aldermill store`: checks, dumps or compacts a data directory.

use crate::cli::StoreCommand;
use crate::lifecycle::errors::ProgramError;
use crate::persistence::maintenance;

/// Runs the subcommand on its data directory.
///
/// # Errors
///
/// Returns an error if the directory cannot be read or written, or if `check` finds damaged records.
pub fn run(command: &StoreCommand) -> Result<(), ProgramError> {
    match command {
        StoreCommand::Check { folder } => check(folder),
        StoreCommand::Dump { folder } => maintenance::dump(folder),
        StoreCommand::Compact { folder } => maintenance::compact(folder),
    }
}

fn check(folder: &str) -> Result<(), ProgramError> {
    if maintenance::check(folder)? {
        Ok(())
    } else {
        Err(ProgramError::DamagedDataDirectory(folder.to_owned()))
    }
}
