//! Idle connections to members: how long they have been idle, and when they are closed.

use super::blacklist::FAILURE_WINDOW;
use super::health_checks::URGENT_HEALTH_CHECK_INTERVAL;
use super::idle_drop_detection::{IdleClass, idle_class};
use crate::state::{Member, Router};
use crate::{MemberId, Micros};

impl Router {
    /// Returns the idle class of the connection that the next attempt at the member would reuse. `None` if no
    /// connection is known to be idle, or if it has been idle for too long to be classified.
    pub(super) fn idle_class_of(&self, now: Micros, id: MemberId) -> Option<IdleClass> {
        let Member { in_flight, newest_answered_sent_at, last_answered_at, .. } = &self.members[id];
        let has_idle_connection = in_flight.is_empty() && *newest_answered_sent_at > 0;
        idle_class(now - last_answered_at).filter(|_| has_idle_connection)
    }

    /// Handles a refused connection in a large fleet: closes all idle connections on the first refusal and,
    /// for [`FAILURE_WINDOW`] after the last one, each connection once it is idle again. A health check of
    /// the member tells whether its process is dead.
    ///
    /// This keeps the idle connections of routers from using up those of members that accept only a few. The
    /// cost is a handshake for each attempt.
    pub(super) fn record_connection_refused(&mut self, now: Micros, id: MemberId) {
        if now >= self.connections_scarce_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].in_flight.is_empty());
            self.actions.close_idle.extend(idle);
        }
        self.connections_scarce_until = now + FAILURE_WINDOW;
        self.try_health_check(now, id, URGENT_HEALTH_CHECK_INTERVAL);
    }

    /// Closes idle connections after an attempt while connections to members are scarce. A `refused` attempt
    /// starts or prolongs that time.
    pub(super) fn close_idle_if_scarce(&mut self, now: Micros, id: MemberId, refused: bool) {
        if refused {
            self.record_connection_refused(now, id);
        } else if now < self.connections_scarce_until && self.members[id].in_flight.is_empty() {
            self.actions.close_idle.push(id);
        }
    }
}
