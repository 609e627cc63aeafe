//! When a member's process was last heard, as its actor tells the dispatcher.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

/// When this process last heard a member, on its monotonic clock; shared by the member's actor and the dispatcher.
#[derive(Clone, Default)]
pub struct LastHeard {
    last_response_at: Rc<Cell<Option<Instant>>>,
    /// When it was last heard before it was lost.
    last_response_before_loss: Rc<Cell<Option<Instant>>>,
}

impl LastHeard {
    /// The member responded.
    pub(super) fn record_response(&self) {
        self.last_response_at.set(Some(Instant::now()));
    }

    /// The member's process seems to be gone.
    pub(super) fn record_loss(&self) {
        self.last_response_before_loss.set(self.last_response_at.get());
    }

    /// When the member's former incarnation was last heard, as far as that is sure. To be asked when the endpoint list
    /// first names another start of the member; the answer is given once for each loss. `was_accepting_requests` says that the
    /// member could be sent requests until now, so that the new incarnation may have been heard already: then only a loss
    /// in between tells the two apart.
    ///
    /// Without it, a wall clock that is ahead makes the new start look long past, and the member gets full load while it
    /// warms up. The cost: a member that started long before the list named it, and was lost again since, counts as
    /// younger than it is.
    pub fn previous_incarnation_last_heard(&self, was_accepting_requests: bool) -> Option<Instant> {
        let last_response_before_loss = self.last_response_before_loss.take();
        if was_accepting_requests { last_response_before_loss } else { self.last_response_at.get() }
    }
}
