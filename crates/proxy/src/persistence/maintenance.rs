//! `aldermill store`: what can be done about a data directory while no proxy runs on it, or beside one.

use std::path::Path;

use aldermill_store::{Bounds, Disk, Problem, Recovered, Snapshot, Store};

use crate::lifecycle::clock::unix_now;
use crate::lifecycle::errors::ProgramError;

/// Reads whatever a proxy may have written, however much memory that proxy had. Sizes are in bytes.
const UNLIMITED: Bounds = Bounds { segment: 4 << 20, batch: 1 << 30, live: 1 << 40, slack: 4 };

/// Prints what a recovery would find; whether nothing is damaged.
pub fn check(folder: &str) -> Result<bool, ProgramError> {
    let (_, recovered) = read(folder)?;
    println!(
        "{} segments, {} records, {} bytes of a torn end",
        recovered.segments, recovered.records, recovered.torn
    );
    for damage in &recovered.damage {
        println!("damaged: segment {} from byte {} to {}", damage.segment, damage.from, damage.to);
    }
    Ok(recovered.damage.is_empty())
}

/// Prints every record as a line of JSON. A value that is not JSON is printed as a string.
pub fn dump(folder: &str) -> Result<(), ProgramError> {
    let (snapshot, _) = read(folder)?;
    for (namespace, key, value) in snapshot.everything() {
        let value = serde_json::from_slice(value)
            .unwrap_or_else(|_| serde_json::Value::String(String::from_utf8_lossy(value).into_owned()));
        let key = String::from_utf8_lossy(key);
        println!("{}", serde_json::json!({"space": namespace, "key": key, "value": value}));
    }
    Ok(())
}

/// Writes the live records to one segment. Fails while a proxy has the directory open.
pub fn compact(folder: &str) -> Result<(), ProgramError> {
    // Nothing is opened for writing that could not be read.
    read(folder)?;
    let failed =
        |problem: Problem| ProgramError::DataDirectory { folder: folder.to_owned(), source: problem };
    let disk = Disk::open(Path::new(folder)).map_err(|error| failed(error.into()))?;
    let (mut store, _) = Store::open(disk, UNLIMITED, unix_now()).map_err(failed)?;
    let (_, bytes_before) = store.size();
    store.compact().map_err(failed)?;
    let (_, bytes_now) = store.size();
    println!("{bytes_before} bytes before, {bytes_now} now");
    Ok(())
}

fn read(folder: &str) -> Result<(Snapshot, Recovered), ProgramError> {
    if !Path::new(folder).is_dir() {
        return Err(ProgramError::NoDataDirectory(folder.to_owned()));
    }
    Store::look(Disk::look(Path::new(folder)), UNLIMITED, unix_now())
        .map_err(|problem| ProgramError::DataDirectory { folder: folder.to_owned(), source: problem })
}
