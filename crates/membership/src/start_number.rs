//! Correction of this instance's start number after the wall clock that it was taken from has been set back.

use crate::{Micros, Peer};

/// Time after its start during which a process is taken for the latest instance of its name. By the end of it the process
/// has learnt of the others.
const JOINING_TIME: Micros = 5_000_000;
/// Maximum number of times that the start number is raised. Once is enough for a clock that was set back. The limit stops
/// two running processes that were configured with the same name and address from raising their numbers without end.
const MAX_RAISES: u32 = 4;
/// Bound of the pseudo-random amount by which a start number is raised, in microseconds. The amount keeps two instances
/// that learnt of different earlier instances from choosing the same number.
const RAISE_SPAN: u64 = 1_000_000;

/// Decides whether an instance of the same name with a higher start number is nevertheless an earlier one, and raises the
/// local start number above it if so.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartNumberAssigner {
    started_at: Micros,
    /// Number of times that the start number was raised so far.
    raises: u32,
}

impl StartNumberAssigner {
    /// Creates the assigner of a process that starts now.
    pub(crate) fn new(now: Micros) -> StartNumberAssigner {
        StartNumberAssigner { started_at: now, raises: 0 }
    }

    /// Returns a start number above that of `other`, an instance of the same name, if `other` is an earlier instance than
    /// this one. Returns `None` if `other` is a later instance, or if the number cannot be raised any further.
    ///
    /// No other process can listen at this process's address, so an instance that announced the same address has ended. If
    /// the addresses differ, a process that has just started is the later instance, whatever start numbers the clocks
    /// gave the two.
    pub(crate) fn number_above(&mut self, now: Micros, local: &Peer, other: &Peer) -> Option<u64> {
        let is_joining = now - self.started_at < JOINING_TIME;
        if self.raises == MAX_RAISES || !(is_joining || other.address == local.address) {
            return None;
        }
        self.raises += 1;
        other.start.checked_add(1 + local.start % RAISE_SPAN)
    }
}
