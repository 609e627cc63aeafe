use std::io;

use thiserror::Error;

/// Why something cannot be done.
#[derive(Debug, Error)]
pub enum Problem {
    #[error("{0}; see the folder's rights and the disk's room")]
    Io(#[from] io::Error),
    /// Written by a later version, which is left alone.
    #[error(
        "of version {0} of the format, newer than this program's; run that version, or name another folder"
    )]
    Newer(u32),
    /// A batch over the bound, or more live data than the bound.
    #[error("more than the limits allow")]
    TooLarge,
    /// A write failed before; the store must be opened anew to know what it holds.
    #[error("a write failed before; see the disk, then restart")]
    Failed,
}

/// What was found unreadable where something sound had been confirmed. It is reported, never served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Damage {
    pub segment: u64,
    pub from: u64,
    pub to: u64,
}

/// What a recovery found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovered {
    pub segments: usize,
    pub records: u64,
    pub damage: Vec<Damage>,
    /// Bytes of a torn tail that were cut off: never confirmed.
    pub torn: u64,
}
