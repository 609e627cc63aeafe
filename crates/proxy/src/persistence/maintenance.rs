//! `aldermill store`: what can be done about a folder.

use std::path::Path;

use aldermill_store::{Bounds, Disk, Recovered, Snapshot, Store};

use crate::lifecycle::clock::unix_now;
use crate::lifecycle::errors::ProgramError;

const ALL: Bounds = Bounds { segment: 4 << 20, batch: 1 << 30, live: 1 << 40, slack: 4 };

/// What a recovery would find; whether all of it is sound.
pub fn check(folder: &str) -> Result<bool, ProgramError> {
    let (_, found) = look(folder)?;
    println!("{} segments, {} records, {} bytes of a torn end", found.segments, found.records, found.torn);
    for damage in &found.damage {
        println!("damaged: segment {} from byte {} to {}", damage.segment, damage.from, damage.to);
    }
    Ok(found.damage.is_empty())
}

/// Every record as a line of JSON.
pub fn dump(folder: &str) -> Result<(), ProgramError> {
    for (space, key, value) in look(folder)?.0.everything() {
        let value = serde_json::from_slice(value)
            .unwrap_or_else(|_| serde_json::Value::String(String::from_utf8_lossy(value).into_owned()));
        let key = String::from_utf8_lossy(key);
        println!("{}", serde_json::json!({"space": space, "key": key, "value": value}));
    }
    Ok(())
}

/// Writes what is live to one segment; no driver may have the folder open.
pub fn compact(folder: &str) -> Result<(), ProgramError> {
    look(folder)?;
    let refused = |source| ProgramError::DataDirectory { folder: folder.to_owned(), source };
    let disk = Disk::open(Path::new(folder)).map_err(|why| refused(why.into()))?;
    let (mut store, _) = Store::open(disk, ALL, unix_now()).map_err(refused)?;
    let before = store.size().1;
    store.compact().map_err(refused)?;
    println!("{before} bytes before, {} now", store.size().1);
    Ok(())
}

fn look(folder: &str) -> Result<(Snapshot, Recovered), ProgramError> {
    if !Path::new(folder).is_dir() {
        return Err(ProgramError::NoDataDirectory(folder.to_owned()));
    }
    Store::look(Disk::look(Path::new(folder)), ALL, unix_now())
        .map_err(|source| ProgramError::DataDirectory { folder: folder.to_owned(), source })
}
