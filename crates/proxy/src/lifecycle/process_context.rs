//! The context that all actors of the process share: clocks, limits, log, channels and flow control.

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

use crate::client::PipelineMemory;
use crate::flow_control::FlowControl;
use crate::lifecycle::clock::{Clock, UnstalledClock};
use crate::lifecycle::limits::Limits;
use crate::messages::DispatcherMessage;

/// The context that all actors share. Every actor holds a reference to it. The context is never replaced and
/// lives as long as the process.
pub struct ProcessContext {
    /// The router's clock, which starts at Unix time and never steps.
    pub clock: Clock,
    /// The clock that excludes the time during which the process was stalled.
    pub unstalled_clock: UnstalledClock,
    /// Limits of the process: buffer sizes, connection counts, queue lengths and timeouts.
    pub limits: Limits,
    /// The logger of all actors.
    pub log: Logger,
    /// The address of discovery, from the configuration that was last loaded.
    pub discovery: watch::Receiver<SocketAddr>,
    /// The sending end of the dispatcher's mailbox.
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// Whether an endpoint list is available. Requests wait until it is.
    pub ready: watch::Receiver<bool>,
    /// The state of shutdown: `None` until it begins, then the instant until which new connections are
    /// accepted.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// The buffer budget and the detection of slow peers.
    pub flow_control: Rc<FlowControl>,
    /// The memory of small statements in progress and their responses, of all client connections together.
    pub pipeline_memory: Rc<PipelineMemory>,
    /// The names of the request classes that may use the buffer space reserved for [`Priority::Highest`].
    pub highest_priority_classes: HashSet<String>,
    /// One permit for each connection to a member, including idle connections. There are
    /// `limits.connections.members` permits.
    pub member_connection_permits: Arc<Semaphore>,
    /// Number of new connections that wait for a permit of `member_connection_permits`. While it is above
    /// zero, no connection to a member is kept idle.
    pub waiting_for_permit: Cell<usize>,
}

impl ProcessContext {
    /// Returns the priority of the request class `class`. [`Priority::Highest`] means that its requests may
    /// use the reserved buffer space.
    pub fn priority(&self, class: &str) -> Priority {
        if self.highest_priority_classes.contains(class) { Priority::Highest } else { Priority::Normal }
    }

    /// Returns how long a request that arrives now may take before the process may be killed, zero if that
    /// time has passed; `None` before shutdown begins.
    pub fn time_left_at_shutdown(&self) -> Option<Duration> {
        let accept_deadline = (*self.stopping.borrow())?;
        let limits = &self.limits.shutdown;
        let response_deadline = accept_deadline + (limits.deadline - limits.accept_window);
        Some(response_deadline.saturating_duration_since(Instant::now()))
    }

    /// Returns whether shutdown began so long before `received_at` that a client which sends a request at this instant
    /// need not find its connection open. Returns `false` before shutdown begins.
    pub fn is_past_arrival_window(&self, received_at: Instant) -> bool {
        let limits = &self.limits.shutdown;
        let arrival_deadline = (*self.stopping.borrow())
            .map(|accept_deadline| accept_deadline + (limits.arrival_window - limits.accept_window));
        arrival_deadline.is_some_and(|arrival_deadline| received_at >= arrival_deadline)
    }
}
