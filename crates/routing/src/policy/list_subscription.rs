//! When the endpoint list is asked for, where it comes only on request.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::MS;
use crate::Micros;

/// What each router adds to the span over which the first requests of a fleet are spread, in microseconds.
const START_SPREAD_PER_ROUTER: Micros = 30 * MS;
/// The shortest and the longest such span, in microseconds.
const MIN_START_SPREAD: Micros = 200 * MS;
const MAX_START_SPREAD: Micros = 1_200 * MS;
/// The backoff before the first failure, in microseconds; each failure doubles it.
const INITIAL_BACKOFF: Micros = 500 * MS;
/// The longest backoff, in microseconds.
const MAX_BACKOFF: Micros = 8_000 * MS;
/// How long an answer is waited for before the list is asked for again, in microseconds.
const ANSWER_TIMEOUT: Micros = 10_000 * MS;

/// When the endpoint list is asked for next.
#[derive(Clone)]
pub(crate) struct ListSubscription {
    next_at: Micros,
    backoff: Micros,
}

impl ListSubscription {
    /// All routers of a fleet ask at their start: the span over which they are spread grows with their number.
    pub(super) fn new(now: Micros, routers: usize, rng: &mut Pcg64Mcg) -> ListSubscription {
        let start_spread = START_SPREAD_PER_ROUTER * routers as Micros;
        let next_at = now + rng.random_range(0..start_spread.clamp(MIN_START_SPREAD, MAX_START_SPREAD));
        ListSubscription { next_at, backoff: INITIAL_BACKOFF }
    }

    /// Whether the list is to be asked for now; if so, an answer is waited for.
    pub(super) fn is_due(&mut self, now: Micros) -> bool {
        let is_due_now = now >= self.next_at;
        if is_due_now {
            self.next_at = now + ANSWER_TIMEOUT;
        }
        is_due_now
    }

    /// The list was received: it need not be asked for any more.
    pub(super) fn received(&mut self) {
        self.next_at = Micros::MAX;
    }

    /// Discovery did not answer.
    pub(super) fn failed(&mut self, now: Micros, rng: &mut Pcg64Mcg) {
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.next_at = now + rng.random_range(self.backoff / 2..self.backoff);
    }
}
