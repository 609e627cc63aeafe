//! A small key-value store that survives crashes: an append-only log in segments, an index in memory, compaction and
//! recovery.
//!
//! **Job.** Keeps what a proxy must know after a restart. Keys and values are bytes, in namespaces. A [`Batch`] takes
//! effect whole or not at all, and is confirmed once it is synced. The format is written down in `docs/store.md`.
//!
//! **Inputs.** Batches, the caller's time with each of them, and the [`Limits`]. All file work goes through [`Files`],
//! so that tests can make any call fail; [`Disk`] is the real one.
//!
//! **Outputs.** Whether a batch is confirmed, a [`Snapshot`] of what is stored, and after a start a [`RecoveryReport`]
//! of what a crash or the disk left unreadable.
//!
//! **Caller.** The proxy's `persistence` module runs a [`Store`] on the thread of a [`Committer`], since file calls block.
//! Its actors ask a [`DiskCircuitBreaker`] whether to hand over a write at all, so that none of them waits for a disk
//! that stalls. `aldermill store` reads and compacts a directory by hand.
//!
//! **Assumptions.** One process writes to a directory ([`Disk::open`] locks it). A sync that returns without an error
//! left the bytes on the disk. All live data fits in memory. Clocks may differ between starts: the store's time never
//! goes back.
//!
//! ```
//! use aldermill_store::{Batch, Disk, Limits, Store, StoreError};
//!
//! let directory = std::env::temp_dir().join(format!("aldermill-store-example-{}", std::process::id()));
//! let limits = Limits::for_memory(64 << 20);
//! let now = 1_700_000_000_000_000;
//!
//! let (mut store, report) = Store::open(Disk::open(&directory)?, limits, now)?;
//! assert!(report.damage.is_empty());
//! let mut batch = Batch::default();
//! batch.put(1, b"primary", b"member-3", None);
//! store.commit(now, vec![batch])?;
//! assert_eq!(store.snapshot().get(1, b"primary").as_deref(), Some(&b"member-3"[..]));
//!
//! std::fs::remove_dir_all(&directory)?;
//! # Ok::<(), StoreError>(())
//! ```

mod batch;
mod circuit_breaker;
mod committer;
mod compaction;
mod errors;
mod files;
mod format;
mod index;
mod recovery;
mod store;

pub use batch::Batch;
pub use circuit_breaker::{DiskCircuitBreaker, DiskState};
pub use committer::{CommitCallback, Committer};
pub use errors::StoreError;
pub use files::{Disk, Files};
pub use index::Snapshot;
pub use recovery::{Damage, RecoveryReport};
pub use store::{Limits, Store};

/// Whole microseconds since 1970 by the caller's clock, or a span of as many.
pub type Micros = i64;
