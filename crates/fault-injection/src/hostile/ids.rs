//! Ids of requests, unique within a trial.

use std::sync::atomic::{AtomicU64, Ordering};

/// Ids of one connection's requests.
pub struct IdSource {
    prefix: String,
    count: u64,
}

impl IdSource {
    /// Creates a source whose ids no other source of this process has.
    pub fn new(kind: &str) -> IdSource {
        static SOURCES: AtomicU64 = AtomicU64::new(0);
        let prefix = format!("{kind}{:x}", SOURCES.fetch_add(1, Ordering::Relaxed));
        IdSource { prefix, count: 0 }
    }

    /// Returns a new id.
    pub fn next(&mut self) -> String {
        self.count += 1;
        format!("{}-{:x}", self.prefix, self.count)
    }

    /// Returns a number that this source has not returned yet.
    pub fn number(&mut self) -> u64 {
        self.count += 1;
        self.count
    }

    /// Returns the same id each time.
    pub fn shared(&self) -> String {
        format!("{}-shared", self.prefix)
    }
}
