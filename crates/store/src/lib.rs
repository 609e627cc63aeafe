//! A small store that survives crashes: an append-only log in segments, an index in memory, compaction and recovery.
//!
//! Keys and values are bytes, in namespaces; a [`Batch`] takes effect whole or not at all, and is confirmed once it
//! is synced. All file work goes through [`Files`], so that tests can tear it. The format is written down in
//! `docs/store.md`.

#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

mod commit;
mod compact;
mod contents;
mod files;
mod keeping;
mod log;
mod problem;
mod store;

pub use commit::{Committer, Done};
pub use contents::{Batch, Snapshot};
pub use files::{Disk, Files};
pub use keeping::{Keeping, State};
pub use problem::{Damage, Problem, Recovered};
pub use store::{Bounds, Store};

/// Whole microseconds since 1970, as the caller's clock has them; the store never believes that time went back.
pub type Micros = i64;
