//! Record of a member's drains: what earlier endpoint lists said of the member, which later lists do not take back.

use crate::{MemberStatus, Micros};

/// Whether a member has been listed as draining since its last start.
#[derive(Clone, Copy, Default)]
pub(crate) struct DrainRecord {
    /// Latest start of the member that a list has stated, as [`crate::ListedMember::listed_start`].
    latest_start: Micros,
    has_drained: bool,
}

impl DrainRecord {
    /// Records that an endpoint list states this status and this start of the member. Only a later start ends a
    /// drain: a list may be older than the one that announced the drain.
    pub(super) fn record(&mut self, status: MemberStatus, listed_start: Micros) {
        let is_new_start = listed_start > self.latest_start;
        match status {
            MemberStatus::Ready => self.has_drained &= !is_new_start,
            MemberStatus::Draining => self.has_drained = true,
            // The start of a member that is gone says nothing about a process that may be sent requests.
            MemberStatus::Unlisted => return,
        }
        self.latest_start = self.latest_start.max(listed_start);
    }

    /// Returns whether a list has named the member as draining since its last start.
    pub(super) fn has_drained(&self) -> bool {
        self.has_drained
    }
}
