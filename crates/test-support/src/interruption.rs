//! Reads that a signal interrupts. The system does not restart a read with a time limit, and a process that starts and
//! ends others gets signals.

use std::io::{ErrorKind, Read, Result};

/// Reads what is there, as [`Read::read`] does, and reads again if a signal interrupts that.
///
/// # Errors
///
/// Returns any other error of the read.
pub fn read_some(source: &mut impl Read, bytes: &mut [u8]) -> Result<usize> {
    loop {
        match source.read(bytes) {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}
