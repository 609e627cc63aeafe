//! Idle connections that are not to be trusted, or not to be kept.

use super::blacklist::FAILURE_WINDOW;
use super::health_checks::URGENT_HEALTH_CHECK_INTERVAL;
use super::idle_drop_detection::{IdleClass, idle_class};
use crate::state::{Member, Router};
use crate::{MemberId, Micros};

impl Router {
    /// How long the connection to the member has rested, where it would be used again.
    pub(super) fn idle_class_of(&self, now: Micros, id: MemberId) -> Option<IdleClass> {
        let Member { in_flight, newest_answered_sent, last_answered_at, .. } = &self.members[id];
        let has_idle_connection = in_flight.is_empty() && *newest_answered_sent > 0;
        idle_class(now - last_answered_at).filter(|_| has_idle_connection)
    }

    /// A router among many that was refused closes its idle connections, for a while after each use; a health
    /// check tells whether the process is dead.
    ///
    /// Guards members that take few connections against those that routers keep idle; costs attempts a
    /// handshake each.
    pub(super) fn record_connection_refused(&mut self, now: Micros, id: MemberId) {
        if now >= self.connections_scarce_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].in_flight.is_empty());
            self.actions.shut.extend(idle);
        }
        self.connections_scarce_until = now + FAILURE_WINDOW;
        self.try_health_check(now, id, URGENT_HEALTH_CHECK_INTERVAL);
    }

    /// After an attempt: closes what is idle at the member, or at all, while members take few connections.
    pub(super) fn release_idle_connections(&mut self, now: Micros, id: MemberId, refused: bool) {
        if refused {
            self.record_connection_refused(now, id);
        } else if now < self.connections_scarce_until && self.members[id].in_flight.is_empty() {
            self.actions.shut.push(id);
        }
    }
}
