//! Periodic work: expiring deadlines, repeating unanswered queries, and placing queued requests.

use super::SiteRouter;
use crate::{Actions, Conclusion, Micros};

/// The interval of the periodic work, in microseconds. A request that would expire before the next tick is
/// not placed any more, and a forwarded one is cancelled.
pub(super) const TICK_INTERVAL: Micros = 20_000;

impl SiteRouter {
    /// Does the periodic work. The caller calls this at [`Actions::wake_at`]; an earlier call does nothing.
    pub fn wake(&mut self, now: Micros) -> Actions {
        if now >= self.next_tick {
            self.next_tick = now + TICK_INTERVAL;
            self.end_expiring_forwards(now);
            self.repeat_queries(now);
            self.place_queued(now);
        }
        self.take_actions()
    }

    /// Cancels forwarded requests that expire before the next tick, and concludes that they may have run.
    fn end_expiring_forwards(&mut self, now: Micros) {
        for handle in self.pending.forwarded_due_by(now + TICK_INTERVAL) {
            let number = self.pending.get(handle).and_then(|pending| pending.forward_number());
            if let Some(number) = number {
                self.cancel_if_forwarded(handle);
                self.conclude(now, number, Conclusion::MayHaveRun);
            }
        }
    }

    /// Repeats queries that had no reply in time, as the query or its reply may have been lost with a link.
    fn repeat_queries(&mut self, now: Micros) {
        for number in self.forwarded.expire_queries(now) {
            let gateway = self.forwarded.get(number).and_then(|request| self.gateways.get(request.gateway));
            if gateway.is_some_and(|gateway| gateway.is_linked()) {
                self.query_if_unresolved(now, number);
            }
        }
    }
}
