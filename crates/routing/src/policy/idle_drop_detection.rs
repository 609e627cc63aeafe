//! Connections that something on the way dropped, unseen, while they rested.

use super::blacklist::FAILURE_WINDOW;
use super::{MS, TICK};
use crate::Micros;

/// Rests are told apart by powers of two of this time, in microseconds.
const IDLE_CLASS_UNIT: Micros = 250 * MS;
/// Rests of this many times the shortest, or longer, are not told apart.
const MAX_IDLE_MULTIPLE: Micros = 32;
/// How many powers of two there are below that.
const IDLE_CLASSES: usize = 6;
/// The part by which one attempt moves the share of silence.
const SMOOTHING_FACTOR: f64 = 0.3;
/// Beyond this share of silence a rest is taken for too long.
const DROPPED_ABOVE: f64 = 0.5;
/// Under this share of silence a rest is taken for harmless.
const HEALTHY_BELOW: f64 = 0.25;

/// How long a connection had rested, as a power of two of 250 ms.
pub(crate) type IdleClass = usize;

/// The class of a rest, in microseconds; `None` beyond the longest.
pub(super) fn idle_class(idle_time: Micros) -> Option<IdleClass> {
    let multiple = (idle_time / IDLE_CLASS_UNIT).max(0);
    (multiple < MAX_IDLE_MULTIPLE).then_some((Micros::BITS - multiple.leading_zeros()) as usize)
}

/// What attempts on rested connections met of late.
#[derive(Clone, Default)]
pub(crate) struct IdleDropDetector {
    /// The share that met silence, by rest class.
    unanswered_share: [f64; IDLE_CLASSES],
}

impl IdleDropDetector {
    /// Whether a connection that has rested for so long has most likely been dropped on the way.
    ///
    /// Without it attempts time out on connections that something on the way dropped unseen, also within the settings'
    /// idle limits. It takes evidence from both sides: rested connections mostly meet silence, less rested ones do not.
    /// The cost: handshakes where members fall silent at random.
    pub(super) fn likely_dropped(&self, class: IdleClass) -> bool {
        let shortest_dropped =
            self.unanswered_share.iter().position(|&share| share > DROPPED_ABOVE).unwrap_or(0);
        shortest_dropped > 0
            && class >= shortest_dropped
            && self.unanswered_share[..shortest_dropped].iter().all(|&share| share < HEALTHY_BELOW)
    }

    /// An attempt on a connection that had rested was answered, or met silence.
    pub(super) fn record(&mut self, class: IdleClass, answered: bool) {
        let share = &mut self.unanswered_share[class];
        *share += (f64::from(!answered) - *share) * SMOOTHING_FACTOR;
    }

    /// Lets what was learnt fade, by one tick.
    pub(super) fn fade(&mut self) {
        let faded = 1.0 - TICK as f64 / (3 * FAILURE_WINDOW) as f64;
        self.unanswered_share.iter_mut().for_each(|share| *share *= faded);
    }
}
