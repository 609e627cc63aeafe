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
const SHORTEST_WAIT: Micros = 20 * MS;
/// The longest such wait.
const LONGEST_WAIT: Micros = 80 * MS;
/// How long after a failure new connections are tried one by one, in microseconds. Until then no request that was never
/// sent is given up early, as it has not waited for members.
const FAILURE_MEMORY: Micros = 1_000 * MS;

/// Until when new connections are tried one by one, because they failed here: one is tried after each wait,
/// which doubles where that fails and halves where it works.
///
/// Guards this machine and the members against all that waits at once when connections can be opened again;
/// costs what waits some tens of milliseconds.
#[derive(Clone, Copy)]
pub(crate) struct Backoff {
    until: Micros,
    wait: Micros,
    retry_at: Micros,
}

impl Backoff {
    /// New connections are not known to fail.
    pub(super) fn none(now: Micros) -> Backoff {
        Backoff { until: now, wait: SHORTEST_WAIT, retry_at: now }
    }
}

impl Router {
    /// Whether new connections failed here a short time ago.
    pub(super) fn backs_off(&self, now: Micros) -> bool {
        now < self.backoff.until
    }

    /// Whether an idle connection leads there, or a new one may be tried.
    pub(super) fn may_connect(&self, now: Micros, id: MemberId) -> bool {
        let idle = self.members[id].known_idle_connections.filter(|_| self.backs_off(now));
        idle.is_none_or(|idle| idle > 0 || now >= self.backoff.retry_at)
    }

    /// An attempt goes there. Says whether it tries a new connection where these failed.
    pub(super) fn claim_connection(&mut self, now: Micros, id: MemberId) -> bool {
        if !self.backs_off(now) {
            self.members[id].known_idle_connections = None;
        }
        match &mut self.members[id].known_idle_connections {
            None => false,
            Some(0) => {
                self.backoff.retry_at = now + self.backoff.wait;
                true
            }
            Some(idle) => {
                *idle -= 1;
                false
            }
        }
    }

    /// An attempt had a connection, and `heard` says that it can be used again.
    pub(super) fn connection_worked(&mut self, now: Micros, id: MemberId, tried: bool, heard: bool) {
        if let Some(idle) = &mut self.members[id].known_idle_connections {
            *idle += u32::from(heard);
        }
        if tried {
            let Backoff { wait, retry_at, .. } = &mut self.backoff;
            *wait = (*wait / 2).max(SHORTEST_WAIT);
            *retry_at = (*retry_at).min(now + *wait);
        }
    }

    /// The attempt never left: what was counted of it is given back, and it is placed again.
    pub(super) fn not_sent(
        &mut self,
        now: Micros,
        handle: RequestHandle,
        id: MemberId,
        sent: Micros,
        over: bool,
    ) {
        let pending = self.pending_requests.get_mut(&handle).expect("not yet closed");
        let tried = pending.tries_connection;
        pending.local_failures += 1;
        pending.last_member = Some(id);
        self.stall_pacing.take_back_attempt();
        let member = &mut self.members[id];
        member.in_flight.retain(|&out| out != handle);
        if let Some(at) = member.sent_recently.iter().rposition(|&at| at == sent) {
            member.sent_recently.remove(at);
        }
        member.saved_attempts += 1.0;
        // The member's actor found no idle connection to it.
        member.known_idle_connections = Some(0);
        let group = member.group;
        let wait = match self.backoff.wait {
            _ if !self.backs_off(now) => SHORTEST_WAIT,
            wait if tried => (wait * 2).min(LONGEST_WAIT),
            wait => wait,
        };
        let retry_at = now + self.rng.random_range(wait / 2..=wait);
        self.backoff = Backoff { until: now + FAILURE_MEMORY, wait, retry_at };
        if self.groups[group].primary.is_none() {
            // Nobody was asked whether it is the primary.
            self.groups[group].search_after = now;
        }
        self.tracked_session(handle).into_iter().for_each(|session| session.write_ended(0));
        if over {
            self.close(handle);
        } else {
            self.route(now, handle);
        }
        self.route_queued(now, group);
    }
}
