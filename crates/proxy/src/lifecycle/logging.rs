//! The log on standard error: one line per event, with timestamps in UTC, written by a dedicated thread.

use slog::{Drain, Logger, o};
use slog_async::{Async, AsyncGuard, OverflowStrategy};
use slog_term::{FullFormat, PlainDecorator};

use crate::lifecycle::limits::Limits;

/// The log of the process.
pub struct ProcessLog {
    /// Logger that the actors use.
    pub logger: Logger,
    /// Guard that writes the lines still queued when it is dropped.
    pub guard: AsyncGuard,
}

impl ProcessLog {
    /// Starts the thread that writes the log.
    pub fn start(limits: &Limits) -> ProcessLog {
        let decorator = PlainDecorator::new(std::io::stderr());
        let format = FullFormat::new(decorator).use_utc_timestamp().build().fuse();
        // If standard error is not read, lines are dropped and counted, so that the proxy never waits for it.
        let (drain, guard) = Async::new(format)
            .chan_size(limits.queues.log_lines)
            .overflow_strategy(OverflowStrategy::DropAndReport)
            .build_with_guard();
        ProcessLog { logger: Logger::root(drain.fuse(), o!()), guard }
    }
}
