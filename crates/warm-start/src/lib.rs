//! Decides which state of a proxy is saved for its next start, and which saved state is used after a
//! restart.
//!
//! - **Purpose:** decides which records to write so that the disk holds the newest
//!   [`StateSnapshot`], and which records of an earlier start may still be used.
//! - **Inputs:** [`SavedState::changes`] takes a snapshot; the outcome of each write is reported by
//!   [`SavedState::writes_confirmed`] or [`SavedState::write_failed`]. [`restore`] takes the
//!   records of the data directory.
//! - **Outputs:** [`Change`]s, which must be written together, and a [`RestoredState`], or a
//!   [`RestoreError`] that says why nothing is restored.
//! - **Caller:** the `persistence` module of the proxy, which does the I/O through the `store` crate.
//! - **Assumptions:** changes take effect together or not at all, and in the order in which they
//!   were returned. `now` is the Unix time; it may jump between starts by the error of a wall
//!   clock.
//!
//! Restored values are old: their age is known, and they are used only where a wrong value costs no
//! more than a missing one. This crate does no I/O and has no clock.
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

/// A number of microseconds: an instant since the Unix epoch, or a duration.
pub type Micros = i64;
