//! State of a connection by which the registry selects the one to close for a new client.

use std::cell::Cell;

use tokio::time::Instant;

/// Part of a connection's state that its actor shares with the registry.
#[derive(Default)]
pub(super) struct SharedState {
    /// Time since which the connection has no pending request. `None` while it has one, or if it was already
    /// asked to close.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// True if a request of this connection was ever answered.
    pub(super) was_served: Cell<bool>,
    /// True while the client does not read its response as fast as it is written. Such a client does not
    /// count as active, because flow control disconnects it eventually.
    pub(super) slow_reader: Cell<bool>,
}
