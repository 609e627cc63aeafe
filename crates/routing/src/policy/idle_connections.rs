//! Idle connections that are not to be trusted, or not to be kept.

use super::blacklist::FAILURE_WINDOW;
use super::health_checks::HEALTH_CHECK_NEEDED;
use super::rested_connections::{RestClass, rest_class};
use crate::state::{Member, Router};
use crate::{MemberId, Micros};

impl Router {
    /// How long the connection to the member has rested, where it would be used again.
    pub(super) fn rest_class_of(&self, now: Micros, id: MemberId) -> Option<RestClass> {
        let Member { in_flight, newest_answered_sent, last_answered_at, .. } = &self.members[id];
        let is_known = in_flight.is_empty() && *newest_answered_sent > 0;
        rest_class(now - last_answered_at).filter(|_| is_known)
    }

    /// A router among many that was refused closes its idle connections, for a while after each use; a health
    /// check tells whether the process is dead.
    ///
    /// Guards members that take few connections against those that routers keep idle; costs attempts a
    /// handshake each.
    pub(super) fn record_refusal(&mut self, now: Micros, id: MemberId) {
        if now >= self.connections_scarce_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].in_flight.is_empty());
            self.actions.close_idle.extend(idle);
        }
        self.connections_scarce_until = now + FAILURE_WINDOW;
        self.health_check(now, id, HEALTH_CHECK_NEEDED);
    }

    /// After an attempt: closes what is idle at the member, or at all, while members take few connections.
    pub(super) fn release_connections(&mut self, now: Micros, id: MemberId, refused: bool) {
        if refused {
            self.record_refusal(now, id);
        } else if now < self.connections_scarce_until && self.members[id].in_flight.is_empty() {
            self.actions.close_idle.push(id);
        }
    }
}
