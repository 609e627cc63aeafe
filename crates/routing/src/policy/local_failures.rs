//! Attempts that could not leave because this machine opens no connections for a moment: no descriptor, port,
//! route or memory is free.
//!
//! Nothing is learnt of the member then. The attempt is placed again: on a member that an idle connection
//! leads to, else after a backoff, for as long as its deadline allows.

use rand::Rng;

use super::MS;
use crate::state::{RequestHandle, Router};
use crate::{MemberId, Micros};

/// The shortest wait between two tries of a new connection, to whichever member, after one failed.
const MIN_BACKOFF: Micros = 20 * MS;
/// The longest such wait.
const MAX_BACKOFF: Micros = 80 * MS;
/// How long after a failure new connections are tried one by one, in microseconds. Until then no request that was never
/// sent is given up early, as it has not waited for members.
const BACKOFF_EXPIRY: Micros = 1_000 * MS;

/// Until when new connections are tried one by one, because they failed here: one is tried after each wait,
/// which doubles where that fails and halves where it works.
///
/// Guards this machine and the members against all that waits at once when connections can be opened again;
/// costs what waits some tens of milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct ConnectionBackoff {
    active_until: Micros,
    delay: Micros,
    retry_at: Micros,
}

impl ConnectionBackoff {
    /// New connections are not known to fail.
    pub(super) fn inactive(now: Micros) -> ConnectionBackoff {
        ConnectionBackoff { active_until: now, delay: MIN_BACKOFF, retry_at: now }
    }
}

impl Router {
    /// Whether new connections failed here a short time ago.
    pub(super) fn is_backing_off(&self, now: Micros) -> bool {
        now < self.backoff.active_until
    }

    /// Whether an idle connection leads there, or a new one may be tried.
    pub(super) fn may_connect(&self, now: Micros, id: MemberId) -> bool {
        let idle_connections = self.members[id].known_idle_connections.filter(|_| self.is_backing_off(now));
        idle_connections.is_none_or(|count| count > 0 || now >= self.backoff.retry_at)
    }

    /// An attempt goes there. Says whether it tries a new connection where these failed.
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

    /// An attempt had a connection, and `heard` says that it can be used again.
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

    /// The attempt never left: what was counted of it is given back, and it is placed again.
    pub(super) fn attempt_failed_locally(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        id: MemberId,
        sent_at: Micros,
        request_closed: bool,
    ) {
        let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
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
            // Nobody was asked whether it is the primary.
            self.groups[group].search_after = now;
        }
        self.session(handle).into_iter().for_each(|session| session.write_ended(0));
        if request_closed {
            self.close(handle);
        } else {
            self.route(now, handle);
        }
        self.route_queued(now, group);
    }
}
