//! When the bytes in the read buffer arrived, also where the process was stalled before it read them.

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::lifecycle::clock::{ReceiptBounds, UnstalledClock};

/// Times of receipt of one connection's read buffer.
#[derive(Default)]
pub(super) struct ReceiptTimes {
    /// When the connection was last read; `None` before the first read.
    last_read_at: Option<Instant>,
    /// `None` where the process was not stalled: the bytes were read as they arrived.
    receipt_bounds: Option<ReceiptBounds>,
}

impl ReceiptTimes {
    /// To be called after each read: notes when the bytes may have arrived, where they waited for this process.
    pub(super) fn record_read(&mut self, clock: &UnstalledClock, stream: &TcpStream) {
        let new_bounds = clock.receipt_bounds(stream, self.last_read_at.replace(Instant::now()));
        let previous_earliest = self.receipt_bounds.map(|bounds| bounds.earliest);
        self.receipt_bounds = new_bounds.map(|ReceiptBounds { earliest, latest }| ReceiptBounds {
            // What is left in the buffer of an earlier read is as old as that read.
            earliest: previous_earliest.map_or(earliest, |previous_earliest| previous_earliest.min(earliest)),
            latest,
        });
    }

    /// When a statement that was just taken from the buffer arrived. The system only says when the last bytes came;
    /// a statement in front of others came at some time before.
    pub(super) fn received_at(&self, is_last_in_buffer: bool) -> Instant {
        match self.receipt_bounds {
            Some(bounds) if is_last_in_buffer => bounds.latest,
            Some(bounds) => bounds.earliest,
            None => Instant::now(),
        }
    }

    /// When the connection was last read.
    pub(super) fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at
    }
}
