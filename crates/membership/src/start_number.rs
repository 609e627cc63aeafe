//! The number that tells starts of one name apart, where the wall clock that it was taken from has been set back.

use crate::{Micros, Peer};

/// How long after its start a process is taken for the latest of its name: by then it has heard of the others.
const JOINING_TIME: Micros = 5_000_000;
/// How often the number is raised at most. Once is enough for a clock that was set back; two running processes that an
/// operator gave one name and one address stop raising theirs after this.
const MAX_RAISES: u32 = 4;
/// Numbers are raised by a random-like part of this, so that two starts that learnt of different earlier ones don't choose
/// the same.
const RAISE_SPAN: u64 = 1_000_000;

/// Decides whether a start of the same name with a higher number is an earlier one all the same.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StartNumberAssigner {
    started_at: Micros,
    raises: u32,
}

impl StartNumberAssigner {
    /// This process starts now.
    pub(crate) fn new(now: Micros) -> StartNumberAssigner {
        StartNumberAssigner { started_at: now, raises: 0 }
    }

    /// A number above that of `other`, a start of the same name, if it is an earlier start than this one; `None` if it is a
    /// later one.
    ///
    /// Nobody else can listen at this process's own address, so whoever announced it has ended. At another address the
    /// process that has started just now is the later one, whatever the clocks say that numbered both.
    pub(crate) fn number_above(&mut self, now: Micros, local: &Peer, other: &Peer) -> Option<u64> {
        let is_joining = now - self.started_at < JOINING_TIME;
        if self.raises == MAX_RAISES || !(is_joining || other.address == local.address) {
            return None;
        }
        self.raises += 1;
        other.start.checked_add(1 + local.start % RAISE_SPAN)
    }
}
