//! Share of the processor that one connection takes before others have their turn.
//!
//! All actors share one thread. An actor that always finds more bytes to read and room to write never waits, so nobody
//! else would run.

use tokio::task;

/// Work that a connection does in one turn, in units.
const UNITS_PER_TURN: usize = 16;
/// Bytes of messages read or of responses written that count as one unit, in addition to one for each message.
const BYTES_PER_UNIT: usize = 4 * 1024;

/// Work of one connection since its last turn began.
#[derive(Default)]
pub(super) struct Turn {
    units: usize,
}

impl Turn {
    /// Counts a message of `bytes` bytes that was read, or a part of a response that was written.
    pub(super) fn record(&mut self, bytes: usize) {
        self.units += 1 + bytes / BYTES_PER_UNIT;
    }

    /// Lets all other actors run, and the runtime look for events, if the turn is used up. Cancel safe.
    pub(super) async fn yield_if_used_up(&mut self) {
        if self.units >= UNITS_PER_TURN {
            self.units = 0;
            task::yield_now().await;
        }
    }
}
