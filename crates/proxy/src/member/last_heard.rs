//! Records when a member last responded, so that the dispatcher can bound when the member restarted.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

/// Time of a member's last response, on this process's monotonic clock. Clones share their state: the
/// member's actor writes it, the dispatcher reads it.
#[derive(Clone, Default)]
pub struct LastHeard {
    /// `None` until the member has responded.
    last_response_at: Rc<Cell<Option<Instant>>>,
    /// Value of `last_response_at` when the member was last lost. `None` if it has not been lost since the
    /// last call of [`LastHeard::previous_incarnation_last_heard`], or had never responded before the loss.
    last_response_before_loss: Rc<Cell<Option<Instant>>>,
}

impl LastHeard {
    /// Records that the member has just responded.
    pub(super) fn record_response(&self) {
        self.last_response_at.set(Some(Instant::now()));
    }

    /// Records that the member is unreachable, or that its process appears to be gone.
    pub(super) fn record_loss(&self) {
        self.last_response_before_loss.set(self.last_response_at.get());
    }

    /// Returns when the previous incarnation of the member was last heard from, or `None` if that is not
    /// certain. Call this when the endpoint list first names a new start of the member; each loss is reported
    /// only once.
    ///
    /// `was_accepting_requests` says whether the member could be sent requests until now. If so, the last
    /// response may already have come from the new incarnation, and only a loss in between separates the two.
    ///
    /// Without this lower bound on the start time, a wall clock that is ahead would make the new start look
    /// long past, and the member would get its full load while it warms up. The trade-off is that a member
    /// that started long before the list named it, and was lost again since, counts as younger than it is.
    pub fn previous_incarnation_last_heard(&self, was_accepting_requests: bool) -> Option<Instant> {
        let last_response_before_loss = self.last_response_before_loss.take();
        if was_accepting_requests { last_response_before_loss } else { self.last_response_at.get() }
    }
}
