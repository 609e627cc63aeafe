//! Event sources of this proxy's part in coordination: its timer, the outcomes of its writes, and reloads of
//! the operator's section `coordination`.

use aldermill_directives::Micros;
use aldermill_operator_config::CoordinationConfig;
use tokio::sync::{mpsc, watch};
use tokio::time::sleep_until;

use crate::coordination::{CallTime, Coordination, DECISION_INTERVAL};
use crate::lifecycle::clock::Clock;
use crate::lifecycle::process_context::ProcessContext;

/// This proxy's part in coordination, with the event sources that it waits for.
pub(super) struct CoordinationRunner {
    pub(super) coordination: Coordination,
    /// Whether each write to the data directory succeeded, in the order of the writes.
    write_outcomes: mpsc::Receiver<bool>,
    /// The operator's section `coordination`, updated when it is reloaded.
    reloads: watch::Receiver<Option<CoordinationConfig>>,
    /// Time of the next exchange of observations and directives with the dispatcher, in microseconds.
    next_exchange_at: Micros,
}

/// An event that coordination handles.
pub(super) enum CoordinationEvent {
    /// The operator's section `coordination` was reloaded.
    Reconfigured(CoordinationConfig),
    /// The oldest pending write to the data directory is on disk, or has failed.
    WriteFinished {
        /// Whether the write is on disk.
        succeeded: bool,
    },
    /// The time at which coordination is to be woken has come.
    TimerDue,
}

impl CoordinationRunner {
    pub(super) fn new(
        coordination: Coordination,
        write_outcomes: mpsc::Receiver<bool>,
        reloads: watch::Receiver<Option<CoordinationConfig>>,
        now: Micros,
    ) -> CoordinationRunner {
        CoordinationRunner { coordination, write_outcomes, reloads, next_exchange_at: now }
    }

    /// Returns whether observations and directives are to be exchanged with the dispatcher now. If so, the
    /// next exchange is scheduled one decision interval later.
    pub(super) fn start_exchange_if_due(&mut self, now: Micros) -> bool {
        if now < self.next_exchange_at {
            return false;
        }
        self.next_exchange_at = now + DECISION_INTERVAL;
        true
    }

    async fn next_event(&mut self, clock: &Clock) -> CoordinationEvent {
        let wake_at = clock.instant(self.coordination.wake_at());
        tokio::select! {
            biased;
            Some(config) = next_reload(&mut self.reloads) => CoordinationEvent::Reconfigured(config),
            Some(succeeded) = self.write_outcomes.recv() => CoordinationEvent::WriteFinished { succeeded },
            () = sleep_until(wake_at) => CoordinationEvent::TimerDue,
        }
    }
}

/// Waits for the next event of coordination, forever if this proxy does not take part in it.
pub(super) async fn next_event(runner: &mut Option<CoordinationRunner>, clock: &Clock) -> CoordinationEvent {
    match runner {
        Some(runner) => runner.next_event(clock).await,
        None => std::future::pending().await,
    }
}

/// Waits until the operator's file is reloaded, and returns its section `coordination`. Returns `None` if the
/// section was removed, which has no effect here.
async fn next_reload(
    reloads: &mut watch::Receiver<Option<CoordinationConfig>>,
) -> Option<CoordinationConfig> {
    if reloads.changed().await.is_err() {
        // The sender is gone, so that the file is not reloaded any more.
        return std::future::pending().await;
    }
    reloads.borrow_and_update().clone()
}

/// Returns the time of a call to coordination. Its wall time is taken from the router's clock, which starts
/// at the Unix time and never steps, because the system's wall clock may step.
pub(super) fn call_time(context: &ProcessContext) -> CallTime {
    let now = context.clock.now();
    CallTime { now, wall_clock_ms: (now / 1000).max(1) as u64 }
}
