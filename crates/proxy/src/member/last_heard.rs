//! When a member's process was last heard, as its actor tells the dispatcher.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

/// What this process saw itself of a member's lives, on its monotonic clock; shared by actor and dispatcher.
#[derive(Clone, Default)]
pub struct LastHeard {
    heard: Rc<Cell<Option<Instant>>>,
    before_loss: Rc<Cell<Option<Instant>>>,
}

impl LastHeard {
    pub(super) fn hears(&self) {
        self.heard.set(Some(Instant::now()));
    }

    /// Its process seems to be gone.
    pub(super) fn loses(&self) {
        self.before_loss.set(self.heard.get());
    }

    /// The list has just told another start: when the life before it was last heard, as far as that is sure. `open` says
    /// that the member might be sent requests until now, so that the new life may have been heard already: then only a
    /// loss in between tells the two apart.
    ///
    /// Protects a member in slow start from a wall clock that is ahead, which makes its start look old. Harms one that
    /// started long before the list told it and whose connections were lost again since: it counts as younger than it is.
    pub fn former_life(&self, open: bool) -> Option<Instant> {
        let before_loss = self.before_loss.take();
        if open { before_loss } else { self.heard.get() }
    }
}
