//! What a proxy saves for its next start, and what of it is used after a restart.
//!
//! - **Job:** decides which records to write so that the disk holds the newest [`StateSnapshot`], and which of the
//!   records that a former start wrote may still be used.
//! - **Inputs:** [`SavedState::changes`] takes a snapshot; the outcome of each write is reported by
//!   [`SavedState::writes_confirmed`] or [`SavedState::write_failed`]. [`restore`] takes the records of the data
//!   directory.
//! - **Outputs:** [`Change`]s to be written together, and a [`RestoredState`] or the reason why there is none, a
//!   [`RestoreError`].
//! - **Caller:** the `persistence` module of the proxy, which does the I/O by the `store` package.
//! - **Assumptions:** changes take effect together or not at all, and in the order in which they were returned. `now` is
//!   the Unix time; it may differ between starts by what a wall clock is off.
//!
//! A restored value is old: it has an age, and is used only where being wrong costs no more than not knowing. Nothing
//! here does I/O or has a clock.
//!
//! ```
//! use aldermill_warm_start::{KnownPrimary, SavedState, StateSnapshot, restore};
//!
//! let written_at = 1_800_000_000_000_000;
//! let primary = KnownPrimary { member: "s-2".to_owned(), confirmed_at: written_at };
//! let snapshot = StateSnapshot { primaries: [(7, primary)].into(), ..StateSnapshot::default() };
//!
//! let changes = SavedState::new("n1", []).changes(written_at, snapshot.clone());
//!
//! let records = changes.iter().filter_map(|change| {
//!     Some((change.namespace, change.key.as_slice(), change.value.as_deref()?))
//! });
//! let restored = restore("n1", written_at + 5_000_000, records)?;
//! assert_eq!(restored.snapshot, snapshot);
//! assert_eq!(restored.newest_confirmation_age, Some(5_000_000));
//! # Ok::<(), aldermill_warm_start::RestoreError>(())
//! ```

#![warn(missing_docs)]

pub mod namespace;
mod records;
mod restore;
mod saved_state;
mod snapshot;

pub use records::FORMAT_VERSION;
pub use restore::{RestoreError, RestoredState, restore};
pub use saved_state::{Change, SavedState};
pub use snapshot::{KnownPrimary, ServiceTime, StateSnapshot};

/// Whole microseconds: an instant since 1970, or a span.
pub type Micros = i64;
