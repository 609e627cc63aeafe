//! Attempts that could not be sent because this machine cannot open connections for the moment: no
//! descriptor, port, route or memory is available.
//!
//! Such a failure says nothing about the member. The attempt is routed again: to a member with an idle
//! connection, otherwise after a backoff, for as long as the request's deadline allows.

use rand::Rng;

use super::MS;
use crate::state::{RequestHandle, Router};
use crate::{MemberId, Micros};

/// Minimum delay, in microseconds, between two tries of a new connection to any member after one failed.
const MIN_BACKOFF: Micros = 20 * MS;
/// Maximum delay, in microseconds, between two tries of a new connection to any member after one failed.
const MAX_BACKOFF: Micros = 80 * MS;
/// Time for which the backoff stays active after a failure, in microseconds. Until then, new connections are
/// tried one at a time, and no request that was never sent is shed early, because such a request has not
/// waited for member capacity.
const BACKOFF_EXPIRY: Micros = 1_000 * MS;

/// Backoff for new connections after one could not be opened on this machine. One new connection is tried
/// after each delay, which doubles if the connection fails and halves if it succeeds.
///
/// This protects this machine and the members from a burst of all waiting attempts when connections can be
/// opened again. The cost is a wait of some tens of milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionBackoff {
    active_until: Micros,
    delay: Micros,
    retry_at: Micros,
}

impl ConnectionBackoff {
    /// Creates an inactive backoff: new connections are not known to fail.
    pub(super) fn inactive(now: Micros) -> ConnectionBackoff {
        ConnectionBackoff { active_until: now, delay: MIN_BACKOFF, retry_at: now }
    }
}

impl Router {
    /// Returns whether a new connection failed on this machine less than [`BACKOFF_EXPIRY`] ago.
    pub(super) fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff.active_until
    }

    /// Returns whether an attempt may go to the member now: over an idle connection, or because a new
    /// connection may be tried.
    pub(super) fn may_connect(&self, now: Micros, id: MemberId) -> bool {
        let idle_connections = self.members[id].known_idle_connections.filter(|_| self.is_backing_off(now));
        idle_connections.is_none_or(|count| count > 0 || now >= self.backoff.retry_at)
    }

    /// Takes a connection to the member for an attempt. Returns whether the attempt tries a new connection
    /// while the backoff is active.
    pub(super) fn claim_connection(&mut self, now: Micros, id: MemberId) -> bool {
        if !self.is_backing_off(now) {
            self.members[id].known_idle_connections = None;
        }
        match &mut self.members[id].known_idle_connections {
            None => false,
            Some(0) => {
                self.backoff.retry_at = now + self.backoff.delay;
                true
            }
            Some(idle_connections) => {
                *idle_connections -= 1;
                false
            }
        }
    }

    /// Records that an attempt had a connection. `tried_connection` says that it was a new one tried during
    /// the backoff, and `reusable` that it can be used again.
    pub(super) fn record_connection_success(
        &mut self,
        now: Micros,
        id: MemberId,
        tried_connection: bool,
        reusable: bool,
    ) {
        if let Some(idle_connections) = &mut self.members[id].known_idle_connections {
            *idle_connections += u32::from(reusable);
        }
        if tried_connection {
            let ConnectionBackoff { delay, retry_at, .. } = &mut self.backoff;
            *delay = (*delay / 2).max(MIN_BACKOFF);
            *retry_at = (*retry_at).min(now + *delay);
        }
    }

    /// Handles an attempt that was never sent because of a local failure: reverts what was counted for it,
    /// and routes the request again or, if `request_closed`, closes it.
    pub(super) fn attempt_failed_locally(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        id: MemberId,
        sent_at: Micros,
        request_closed: bool,
    ) {
        let pending =
            self.pending_requests.get_mut(&handle).expect("a request is pending until it is closed");
        let tried_connection = pending.tries_connection;
        pending.local_failures += 1;
        pending.last_member = Some(id);
        self.stall_pacing.undo_attempt();
        let member = &mut self.members[id];
        member.in_flight.retain(|&other| other != handle);
        if let Some(at) = member.sent_recently.iter().rposition(|&at| at == sent_at) {
            member.sent_recently.remove(at);
        }
        member.saved_attempts += 1.0;
        // The member's actor found no idle connection to it.
        member.known_idle_connections = Some(0);
        let group = member.group;
        let delay = match self.backoff.delay {
            _ if !self.is_backing_off(now) => MIN_BACKOFF,
            delay if tried_connection => (delay * 2).min(MAX_BACKOFF),
            delay => delay,
        };
        let retry_at = now + self.rng.random_range(delay / 2..=delay);
        self.backoff = ConnectionBackoff { active_until: now + BACKOFF_EXPIRY, delay, retry_at };
        if self.groups[group].primary.is_none() {
            // No member was asked whether it is the primary.
            self.groups[group].search_after = now;
        }
        self.tracked_session(handle).into_iter().for_each(|session| session.attempt_ended(now, None));
        if request_closed {
            self.close(handle);
        } else {
            self.route(now, handle);
        }
        self.route_queued(now, group);
    }
}
