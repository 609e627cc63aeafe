//! Connections that something on the way dropped, unseen, while they rested.

use super::blacklist::FAILURE_WINDOW;
use super::{MS, TICK};
use crate::Micros;

/// Rests are told apart by powers of two of this time, in microseconds.
const SHORTEST_REST: Micros = 250 * MS;
/// Rests of this many times the shortest, or longer, are not told apart.
const MAX_REST: Micros = 32;
/// How many powers of two there are below that.
const REST_CLASSES: usize = 6;
/// The part by which one attempt moves the share of silence.
const AVERAGE_STEP: f64 = 0.3;
/// Beyond this share of silence a rest is taken for too long.
const MOSTLY_SILENT: f64 = 0.5;
/// Under this share of silence a rest is taken for harmless.
const SELDOM_SILENT: f64 = 0.25;

/// How long a connection had rested, as a power of two of 250 ms.
pub(crate) type RestClass = usize;

/// The class of a rest, in microseconds; `None` beyond the longest.
pub(super) fn rest_class(rested_for: Micros) -> Option<RestClass> {
    let rest = (rested_for / SHORTEST_REST).max(0);
    (rest < MAX_REST).then_some((Micros::BITS - rest.leading_zeros()) as usize)
}

/// What attempts on rested connections met of late.
#[derive(Clone, Default)]
pub(crate) struct RestedConnections {
    /// The share that met silence, by rest class.
    silence: [f64; REST_CLASSES],
}

impl RestedConnections {
    /// Whether a connection that has rested for so long has most likely been dropped on the way.
    ///
    /// Without it attempts time out on connections that something on the way dropped unseen, also within the settings'
    /// idle limits. It takes evidence from both sides: rested connections mostly meet silence, less rested ones do not.
    /// The cost: handshakes where members fall silent at random.
    pub(super) fn are_dropped_after(&self, rest: RestClass) -> bool {
        let least = self.silence.iter().position(|&share| share > MOSTLY_SILENT).unwrap_or(0);
        least > 0 && rest >= least && self.silence[..least].iter().all(|&share| share < SELDOM_SILENT)
    }

    /// An attempt on a connection that had rested was answered, or met silence.
    pub(super) fn record(&mut self, rest: RestClass, answered: bool) {
        let share = &mut self.silence[rest];
        *share += (f64::from(!answered) - *share) * AVERAGE_STEP;
    }

    /// Lets what was learnt fade, by one tick.
    pub(super) fn fade(&mut self) {
        let faded = 1.0 - TICK as f64 / (3 * FAILURE_WINDOW) as f64;
        self.silence.iter_mut().for_each(|share| *share *= faded);
    }
}
