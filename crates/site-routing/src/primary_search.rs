//! The search for a group's primary among sites, and how long it rests after it found none.

use std::collections::BTreeMap;

use crate::{Micros, NEVER};

/// How long no further search for a group's primary starts after all sites said that it is not there, in microseconds; as
/// long as the local router holds a write after all members said so. Every search costs each site an attempt at its members.
pub(crate) const SEARCH_BACKOFF: Micros = 500_000;

/// Decides when the sites may be searched for a group's primary.
#[derive(Debug, Default)]
pub(crate) struct PrimarySearch {
    /// By group; one that is missing was never held.
    backoff_until: BTreeMap<u64, Micros>,
}

impl PrimarySearch {
    /// Whether no search may start for the group.
    pub(crate) fn is_backing_off(&self, now: Micros, group: u64) -> bool {
        now < self.backoff_until.get(&group).copied().unwrap_or(NEVER)
    }

    /// A search found no primary. A hold that is in force is not prolonged.
    pub(crate) fn start_backoff(&mut self, now: Micros, group: u64) {
        if !self.is_backing_off(now, group) {
            self.backoff_until.insert(group, now + SEARCH_BACKOFF);
        }
    }

    /// The group's home has changed: there is somewhere to go, and the next search may start at once.
    pub(crate) fn end_backoff(&mut self, now: Micros, group: u64) {
        self.backoff_until.insert(group, now);
    }
}
