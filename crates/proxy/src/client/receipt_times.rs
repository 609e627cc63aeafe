//! Receipt times of the bytes in the read buffer, which differ from the read times if the process was stalled
//! before it read them.

use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::lifecycle::clock::{ReceiptBounds, UnstalledClock};

/// Receipt times of the bytes in one connection's read buffer.
#[derive(Default)]
pub(super) struct ReceiptTimes {
    /// Time of the last read; `None` before the first read.
    last_read_at: Option<Instant>,
    /// Bounds on the receipt times after a stall. `None` if the process was not stalled: the bytes were read
    /// as they arrived.
    receipt_bounds: Option<ReceiptBounds>,
}

impl ReceiptTimes {
    /// Records a read, and when the bytes may have arrived if they waited for this process. Must be called
    /// after each read.
    pub(super) fn record_read(&mut self, clock: &UnstalledClock, stream: &TcpStream) {
        let new_bounds = clock.receipt_bounds(stream, self.last_read_at.replace(Instant::now()));
        let previous_earliest = self.receipt_bounds.map(|bounds| bounds.earliest);
        self.receipt_bounds = new_bounds.map(|ReceiptBounds { earliest, latest }| ReceiptBounds {
            // Bytes left in the buffer by an earlier read are as old as that read.
            earliest: previous_earliest.map_or(earliest, |previous_earliest| previous_earliest.min(earliest)),
            latest,
        });
    }

    /// Returns when a statement that was just taken from the buffer arrived. The kernel only reports when the
    /// last bytes arrived. A statement in front of others arrived some time before, and gets the earliest
    /// possible time.
    pub(super) fn received_at(&self, is_last_in_buffer: bool) -> Instant {
        match self.receipt_bounds {
            Some(bounds) if is_last_in_buffer => bounds.latest,
            Some(bounds) => bounds.earliest,
            None => Instant::now(),
        }
    }

    /// Returns the time of the last read; `None` before the first read.
    pub(super) fn last_read_at(&self) -> Option<Instant> {
        self.last_read_at
    }
}
