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

/// What every actor of the driver needs.
pub struct ProcessContext {
    pub clock: Clock,
    pub unstalled_clock: UnstalledClock,
    pub limits: Limits,
    pub log: Logger,
    /// Where discovery is, as the configuration last said.
    pub discovery: watch::Receiver<SocketAddr>,
    pub dispatcher: mpsc::Sender<DispatcherMessage>,
    /// There is a list to decide on.
    pub ready: watch::Receiver<bool>,
    /// Set once the driver is to stop: until when new connections are still taken.
    pub stopping: watch::Receiver<Option<Instant>>,
    /// Room for what waits, and who is too slow.
    pub flow_control: Rc<FlowControl>,
    /// The names of the best paid request classes.
    pub best_paid: HashSet<String>,
    /// The members' share of descriptors.
    pub member_room: Arc<Semaphore>,
    /// Connections that wait for one of them.
    pub waiting_for_room: Cell<usize>,
}

impl ProcessContext {
    /// Whether requests of this class may use the buffer space that is reserved for the best paid.
    pub fn priority(&self, class: &str) -> Priority {
        if self.best_paid.contains(class) { Priority::Highest } else { Priority::Normal }
    }

    /// How long a request that comes now may still be under way: `None` unless the program is to stop.
    pub fn left_to_answer(&self) -> Option<Duration> {
        let window_closes = (*self.stopping.borrow())?;
        let end = window_closes + (self.limits.shutdown.deadline - self.limits.shutdown.accept_window);
        Some(end.saturating_duration_since(Instant::now()))
    }
}
