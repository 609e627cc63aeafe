//! The subcommands of `aldermill store`, which inspect and compact a data directory. Inspecting is possible
//! while a proxy uses the directory, compacting is not.

use std::path::Path;

use aldermill_store::{Disk, Limits, RecoveryReport, Snapshot, Store, StoreError};

use crate::lifecycle::clock::unix_now;
use crate::lifecycle::errors::ProgramError;

/// Limits high enough to read any data directory that a proxy may have written, however much memory that
/// proxy had. Sizes are in bytes.
const MAINTENANCE_LIMITS: Limits = Limits {
    max_segment_bytes: 4 << 20,
    max_batch_bytes: 1 << 30,
    max_live_bytes: 1 << 40,
    max_log_ratio: 4,
};

/// Prints what a recovery of the directory would find. Returns `true` if nothing is damaged.
pub fn check(folder: &str) -> Result<bool, ProgramError> {
    let (_, recovery_report) = read_store(folder)?;
    println!(
        "{} segments, {} records, {} bytes of a torn end",
        recovery_report.segments, recovery_report.records, recovery_report.torn_bytes
    );
    for damage in &recovery_report.damage {
        println!("damaged: segment {} from byte {} to {}", damage.segment, damage.from, damage.to);
    }
    Ok(recovery_report.damage.is_empty())
}

/// Prints every record as one line of JSON. A value that is not valid JSON is printed as a string.
pub fn dump(folder: &str) -> Result<(), ProgramError> {
    let (snapshot, _) = read_store(folder)?;
    for (namespace, key, value) in snapshot.entries() {
        let value = serde_json::from_slice(value)
            .unwrap_or_else(|_| serde_json::Value::String(String::from_utf8_lossy(value).into_owned()));
        let key = String::from_utf8_lossy(key);
        println!("{}", serde_json::json!({"space": namespace, "key": key, "value": value}));
    }
    Ok(())
}

/// Compacts the directory: writes the live records to one segment. Fails while a proxy has the directory
/// open.
pub fn compact(folder: &str) -> Result<(), ProgramError> {
    // Ensures that a directory that cannot be read is never opened for writing.
    read_store(folder)?;
    let data_directory_error =
        |error: StoreError| ProgramError::DataDirectory { folder: folder.to_owned(), source: error };
    let disk = Disk::open(Path::new(folder)).map_err(|error| data_directory_error(error.into()))?;
    let (mut store, _) = Store::open(disk, MAINTENANCE_LIMITS, unix_now()).map_err(data_directory_error)?;
    let bytes_before = store.log_bytes();
    store.compact().map_err(data_directory_error)?;
    let bytes_now = store.log_bytes();
    println!("{bytes_before} bytes before, {bytes_now} now");
    Ok(())
}

fn read_store(folder: &str) -> Result<(Snapshot, RecoveryReport), ProgramError> {
    if !Path::new(folder).is_dir() {
        return Err(ProgramError::NoDataDirectory(folder.to_owned()));
    }
    Store::read(Disk::open_read_only(Path::new(folder)), MAINTENANCE_LIMITS, unix_now())
        .map_err(|error| ProgramError::DataDirectory { folder: folder.to_owned(), source: error })
}
