//! What all actors of the process share.

use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use aldermill_flow_control::Priority;
use slog::Logger;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::flow_control::FlowControl;
use crate::lifecycle::clock::{Clock, UnstalledClock};
use crate::lifecycle::limits::Limits;
use crate::messages::DispatcherMessage;

/// What all actors share. Every actor has a reference to it; it is never changed as a whole, and lives as long as the process.
pub struct ProcessContext {
    /// The router's clock, which never steps.
    pub clock: Clock,
    /// The clock that leaves out the time in which the process was stalled.
    pub unstalled_clock: UnstalledClock,
    /// Sizes, counts and times that bound the process.
    pub limits: Limits,
    /// Where actors log.
    pub log: Logger,
    /// Where discovery is, as the configuration last said.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The dispatcher's mailbox.
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// Whether there is an endpoint list to decide on: requests wait for it.
    pub ready: watch::Receiver<bool>,
    /// `None` until the process is to stop; then until when new connections are accepted.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// The buffer budget, and who is too slow.
    pub flow_control: Rc<FlowControl>,
    /// The names of the request classes that may use the buffer space reserved for the best paid.
    pub highest_priority_classes: HashSet<String>,
    /// One permit for each connection to a member: `limits.connections.members` at once, idle ones included.
    pub member_connection_permits: Arc<Semaphore>,
    /// How many new connections wait for such a permit: while any does, no connection to a member is kept idle.
    pub waiting_for_permit: Cell<usize>,
}

impl ProcessContext {
    /// Whether requests of this class may use the buffer space that is reserved for the best paid.
    pub fn priority(&self, class: &str) -> Priority {
        if self.highest_priority_classes.contains(class) { Priority::Highest } else { Priority::Normal }
    }

    /// How long a request that arrives now may take before the process may be killed; `None` unless it is to stop.
    pub fn time_left_at_shutdown(&self) -> Option<Duration> {
        let accept_deadline = (*self.stopping.borrow())?;
        let limits = &self.limits.shutdown;
        let response_deadline = accept_deadline + (limits.deadline - limits.accept_window);
        Some(response_deadline.saturating_duration_since(Instant::now()))
    }

    /// Whether the process shuts down, and was asked to so long before `received_at` that a request that arrived then is owed
    /// no answer.
    pub fn is_past_arrival_window(&self, received_at: Instant) -> bool {
        let limits = &self.limits.shutdown;
        let arrival_deadline = (*self.stopping.borrow())
            .map(|accept_deadline| accept_deadline + (limits.arrival_window - limits.accept_window));
        arrival_deadline.is_some_and(|arrival_deadline| received_at >= arrival_deadline)
    }
}
