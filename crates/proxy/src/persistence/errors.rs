//! Errors that can occur when the data directory is opened.

use std::io;
use std::time::Duration;

use aldermill_store::StoreError;
use aldermill_warm_start::RestoreError;
use thiserror::Error;

/// The reason why an attempt to open the data directory failed. Attempts are repeated automatically, so each
/// message only says what an operator can do about the cause.
#[derive(Debug, Error)]
pub(super) enum OpenError {
    /// The first attempt did not finish within this time. It continues, but startup no longer waits for it.
    #[error("not open within {} ms; check whether the disk is slow or hangs", .0.as_millis())]
    TimedOut(Duration),
    /// The disk is full.
    #[error("no space left; free some space, opening is retried automatically")]
    NoSpace,
    /// The store cannot be read or written.
    #[error("{0}")]
    Store(StoreError),
    /// The records belong to another proxy or another version of the program, or do not identify their owner.
    #[error("{0}")]
    Restore(#[from] RestoreError),
    /// The directory cannot be created or locked.
    #[error("{0}; check that the directory is writable")]
    Lock(io::Error),
    /// Records that were once confirmed cannot be read, in this number of places.
    #[error("damaged in {0} places; run `aldermill store check` to list them")]
    Damaged(usize),
    /// The thread that makes the attempt cannot be started.
    #[error("{0}; check the limits on threads and memory")]
    SpawnThread(io::Error),
    /// The thread that makes the attempt panicked.
    #[error("the thread that opens the directory panicked; see the preceding output")]
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

/// The effect of a failed attempt on restoring and saving state.
#[derive(Debug, Error)]
pub(super) enum OpenFailure {
    /// The directory cannot be read: state is neither restored nor saved.
    #[error("unavailable: {0}")]
    Unavailable(OpenError),
    /// The directory can be read but not written: state is restored but not saved.
    #[error("not writable: {0}")]
    NotWritable(OpenError),
}
