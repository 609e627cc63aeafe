//! What drives this proxy's part in coordination: its timer, the outcomes of its writes, and reloads of its section.

use aldermill_directives::Micros;
use aldermill_operator_config::CoordinationConfig;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use crate::coordination::{CallTime, Coordination, DECISION_INTERVAL};
use crate::lifecycle::clock::Clock;
use crate::lifecycle::process_context::ProcessContext;

/// This proxy's part in coordination, and what it waits for.
pub(super) struct CoordinationLink {
    pub(super) coordination: Coordination,
    /// Whether each write to the data directory succeeded, in the order of the writes.
    write_outcomes: mpsc::Receiver<bool>,
    /// The operator's section, each time that it is read again.
    reloads: watch::Receiver<Option<CoordinationConfig>>,
    /// When observations and directives are next exchanged with the dispatcher.
    exchange_at: Micros,
}

/// Something that coordination waited for.
pub(super) enum CoordinationEvent {
    /// The operator's section was read again.
    Reconfigured(CoordinationConfig),
    /// The oldest write in flight is on the disk, or failed.
    WriteFinished {
        /// Whether it is on the disk.
        succeeded: bool,
    },
    /// Its timer is due.
    Due,
}

impl CoordinationLink {
    pub(super) fn new(
        coordination: Coordination,
        write_outcomes: mpsc::Receiver<bool>,
        reloads: watch::Receiver<Option<CoordinationConfig>>,
        now: Micros,
    ) -> CoordinationLink {
        CoordinationLink { coordination, write_outcomes, reloads, exchange_at: now }
    }

    /// Whether observations and directives are to be exchanged with the dispatcher now; the next time is then set.
    pub(super) fn take_exchange_due(&mut self, now: Micros) -> bool {
        if now < self.exchange_at {
            return false;
        }
        self.exchange_at = now + DECISION_INTERVAL;
        true
    }

    async fn next_event(&mut self, clock: &Clock) -> CoordinationEvent {
        let wake_at = clock.instant(self.coordination.wake_at());
        tokio::select! {
            biased;
            Some(config) = next_reload(&mut self.reloads) => CoordinationEvent::Reconfigured(config),
            Some(succeeded) = self.write_outcomes.recv() => CoordinationEvent::WriteFinished { succeeded },
            () = sleep_until(wake_at) => CoordinationEvent::Due,
        }
    }
}

/// The next event of coordination; never, where there is none.
pub(super) async fn next_event(link: &mut Option<CoordinationLink>, clock: &Clock) -> CoordinationEvent {
    match link {
        Some(link) => link.next_event(clock).await,
        None => std::future::pending().await,
    }
}

/// The section when it is read again; `None` if it is no longer in the file, which changes nothing here.
async fn next_reload(
    reloads: &mut watch::Receiver<Option<CoordinationConfig>>,
) -> Option<CoordinationConfig> {
    if reloads.changed().await.is_err() {
        // Nobody reads the file any more.
        return std::future::pending().await;
    }
    reloads.borrow_and_update().clone()
}

/// The time of a call to coordination. The router's clock stands for the wall clock, which may be stepped: it began with
/// it and never steps.
pub(super) fn call_time(context: &ProcessContext) -> CallTime {
    let now = context.clock.now();
    CallTime { now, wall_clock_ms: (now / 1000).max(1) as u64 }
}
