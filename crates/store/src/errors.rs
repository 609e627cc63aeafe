//! Why the store cannot do what it was asked for.

use std::io;

use thiserror::Error;

/// Why something cannot be done. Each message says what an operator can do about it.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The system refused a file call.
    #[error("{0}; see the folder's rights and the disk's room")]
    Io(#[from] io::Error),
    /// A segment has this version of the format, which a later program wrote. The directory is left as it is.
    #[error(
        "of version {0} of the format, newer than this program's; run that version, or name another folder"
    )]
    NewerFormat(u32),
    /// A batch is over its limit, or all live data would be over theirs. Nothing was written.
    #[error("more than the limits allow; write less at once, or give the process more memory")]
    TooLarge,
    /// An earlier write failed, so that nothing is certain of the file that it went to. Nothing is written until
    /// [`Store::heal`](crate::Store::heal) succeeds or the store is opened anew.
    #[error("a write failed before; see the disk, then restart")]
    Failed,
}
