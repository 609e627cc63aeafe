//! Backoff of the primary search: how long no new search of the sites starts after one that found no primary.

use std::collections::BTreeMap;

use crate::{Micros, NEVER};

/// How long no new search for a group's primary starts after all sites answered that they do not have it, in
/// microseconds. Equals the local router's write hold after all members answered so. Every search costs each site an
/// attempt at its members.
pub(crate) const SEARCH_BACKOFF: Micros = 500_000;

/// Backoff state of the primary search, by group.
#[derive(Debug, Default)]
pub(crate) struct PrimarySearch {
    /// End of the latest backoff of each group; a group without an entry never had one.
    backoff_until: BTreeMap<u64, Micros>,
}

impl PrimarySearch {
    /// Returns whether no search for the group's primary may start yet.
    pub(crate) fn is_backing_off(&self, now: Micros, group: u64) -> bool {
        now < self.backoff_until.get(&group).copied().unwrap_or(NEVER)
    }

    /// Starts a backoff after a search that found no primary. A backoff in progress is not extended.
    pub(crate) fn start_backoff(&mut self, now: Micros, group: u64) {
        if !self.is_backing_off(now, group) {
            self.backoff_until.insert(group, now + SEARCH_BACKOFF);
        }
    }

    /// Ends the backoff because the group's home has changed: a candidate site is known, and the next search may start
    /// immediately.
    pub(crate) fn end_backoff(&mut self, now: Micros, group: u64) {
        self.backoff_until.insert(group, now);
    }
}
