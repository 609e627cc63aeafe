//! What the registry sees of a connection, to choose the one that is closed for a new client.

use std::cell::Cell;

use tokio::time::Instant;

/// The part of a connection's state that its actor shares with the registry.
#[derive(Default)]
pub(super) struct SharedState {
    /// Since when the connection has no request under way; `None` while it has one, or is already to be closed.
    pub(super) idle_since: Cell<Option<Instant>>,
    /// Whether a request of this connection was ever answered.
    pub(super) was_served: Cell<bool>,
    /// The client does not read its response as fast as it is written. Flow control disconnects it in time, so that it
    /// does not count as an active client.
    pub(super) slow_reader: Cell<bool>,
}
