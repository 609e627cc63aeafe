//! Detection of connections that were silently dropped on the network path while they were idle.

use super::blacklist::FAILURE_WINDOW;
use super::{MS, TICK};
use crate::Micros;

/// Unit of idle time, in microseconds. Idle times are classified by powers of two of it.
const IDLE_CLASS_UNIT: Micros = 250 * MS;
/// Idle times of this many units or more are not classified.
const MAX_IDLE_MULTIPLE: Micros = 32;
/// Number of idle classes below [`MAX_IDLE_MULTIPLE`].
const IDLE_CLASSES: usize = 6;
/// Weight of one attempt in the moving average of unanswered attempts.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Share of unanswered attempts above which connections of an idle class are taken to be dropped.
const DROPPED_ABOVE: f64 = 0.5;
/// Share of unanswered attempts below which connections of an idle class are taken to be intact.
const HEALTHY_BELOW: f64 = 0.25;

/// Class of a connection's idle time, on a logarithmic scale: class 0 is less than 250 ms, and class `n`
/// starts at 2^(`n` - 1) times 250 ms.
pub(crate) type IdleClass = usize;

/// Returns the class of an idle time in microseconds, or `None` for [`MAX_IDLE_MULTIPLE`] units and longer.
pub(super) fn idle_class(idle_time: Micros) -> Option<IdleClass> {
    let multiple = (idle_time / IDLE_CLASS_UNIT).max(0);
    (multiple < MAX_IDLE_MULTIPLE).then_some((Micros::BITS - multiple.leading_zeros()) as usize)
}

/// Recent results of attempts on connections that had been idle.
#[derive(Clone, Default)]
pub(crate) struct IdleDropDetector {
    /// Share of attempts that were not answered, by idle class.
    unanswered_share: [f64; IDLE_CLASSES],
}

impl IdleDropDetector {
    /// Returns whether a connection of this idle class has most likely been dropped on the network path.
    ///
    /// Without this check, attempts time out on connections that were silently dropped on the network path,
    /// even within the idle limits of the settings. The decision needs evidence from both sides: connections
    /// that were idle for long are mostly not answered, and those that were idle for less time are. The cost:
    /// unnecessary handshakes if members stop answering at random.
    pub(super) fn likely_dropped(&self, class: IdleClass) -> bool {
        let shortest_dropped =
            self.unanswered_share.iter().position(|&share| share > DROPPED_ABOVE).unwrap_or(0);
        shortest_dropped > 0
            && class >= shortest_dropped
            && self.unanswered_share[..shortest_dropped].iter().all(|&share| share < HEALTHY_BELOW)
    }

    /// Records whether an attempt on a connection that had been idle was answered.
    pub(super) fn record(&mut self, class: IdleClass, answered: bool) {
        let share = &mut self.unanswered_share[class];
        *share += (f64::from(!answered) - *share) * SMOOTHING_FACTOR;
    }

    /// Lets the recorded shares decay by one tick.
    pub(super) fn decay(&mut self) {
        let decay_factor = 1.0 - TICK as f64 / (3 * FAILURE_WINDOW) as f64;
        self.unanswered_share.iter_mut().for_each(|share| *share *= decay_factor);
    }
}
