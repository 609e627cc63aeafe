//! Schedule of subscriptions to the endpoint list, for a discovery service that sends it only to subscribers.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::MS;
use crate::Micros;

/// Time that each router adds to the interval over which a fleet spreads its first subscriptions, in
/// microseconds.
const START_SPREAD_PER_ROUTER: Micros = 30 * MS;
/// Minimum interval over which a fleet spreads its first subscriptions, in microseconds.
const MIN_START_SPREAD: Micros = 200 * MS;
/// Maximum interval over which a fleet spreads its first subscriptions, in microseconds.
const MAX_START_SPREAD: Micros = 1_200 * MS;
/// Backoff before the first failure, in microseconds. Each failure doubles it.
const INITIAL_BACKOFF: Micros = 500 * MS;
/// Maximum backoff, in microseconds.
const MAX_BACKOFF: Micros = 8_000 * MS;
/// Time to wait for the list before the next subscription, in microseconds.
const ANSWER_TIMEOUT: Micros = 10_000 * MS;

/// Schedules the subscriptions to the endpoint list.
#[derive(Clone)]
pub(crate) struct ListSubscription {
    next_at: Micros,
    backoff: Micros,
}

impl ListSubscription {
    /// Schedules the first subscription at a random time. All routers of a fleet subscribe when they start,
    /// so the interval over which the subscriptions are spread grows with the number of routers.
    pub(super) fn new(now: Micros, routers: usize, rng: &mut Pcg64Mcg) -> ListSubscription {
        let start_spread = START_SPREAD_PER_ROUTER * routers as Micros;
        let next_at = now + rng.random_range(0..start_spread.clamp(MIN_START_SPREAD, MAX_START_SPREAD));
        ListSubscription { next_at, backoff: INITIAL_BACKOFF }
    }

    /// Returns whether to subscribe now. If so, the next subscription is due after [`ANSWER_TIMEOUT`].
    pub(super) fn is_due(&mut self, now: Micros) -> bool {
        let is_due_now = now >= self.next_at;
        if is_due_now {
            self.next_at = now + ANSWER_TIMEOUT;
        }
        is_due_now
    }

    /// Records that the list was received: no further subscription is due.
    pub(super) fn received(&mut self) {
        self.next_at = Micros::MAX;
    }

    /// Records that discovery did not answer: doubles the backoff, and schedules the next subscription at a
    /// random time in the second half of it.
    pub(super) fn failed(&mut self, now: Micros, rng: &mut Pcg64Mcg) {
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.next_at = now + rng.random_range(self.backoff / 2..self.backoff);
    }
}
