//! Why the data directory cannot be used.

use std::io;
use std::time::Duration;

use aldermill_store::StoreError;
use aldermill_warm_start::RestoreError;
use thiserror::Error;

/// Why an attempt to open the data directory failed. It is repeated by itself, so each message says what to mend.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// The first attempt goes on, but the start does not wait for it any longer than this.
    #[error("not open within {} ms; see the disk", .0.as_millis())]
    TimedOut(Duration),
    /// The disk is full.
    #[error("no space left; free some, it is tried again by itself")]
    NoSpace,
    /// The store cannot be read or written.
    #[error("{0}")]
    Store(StoreError),
    /// The records are not for this proxy or this version.
    #[error("{0}")]
    Restore(#[from] RestoreError),
    /// The directory cannot be made or locked.
    #[error("{0}; see that the folder may be written")]
    Lock(io::Error),
    /// Records were confirmed once, and cannot be read in this number of places.
    #[error("{0} places are damaged, see aldermill store check")]
    Damaged(usize),
    /// The thread for an attempt cannot be started.
    #[error("{0}; see the limits on threads and memory")]
    SpawnThread(io::Error),
    /// The thread of an attempt panicked.
    #[error("the thread that opens it ended; see the lines before this one")]
    ThreadPanicked,
}

impl From<StoreError> for OpenError {
    fn from(error: StoreError) -> OpenError {
        match error {
            StoreError::Io(error) if error.kind() == io::ErrorKind::StorageFull => OpenError::NoSpace,
            error => OpenError::Store(error),
        }
    }
}

/// What an attempt that failed leaves undone.
#[derive(Debug, Error)]
pub(super) enum OpenFailure {
    /// The directory cannot be read: nothing is restored, and nothing saved.
    #[error("unavailable: {0}")]
    Unavailable(OpenError),
    /// The directory can be read, and not written to: what it holds is restored, and nothing saved.
    #[error("not writable: {0}")]
    NotWritable(OpenError),
}
