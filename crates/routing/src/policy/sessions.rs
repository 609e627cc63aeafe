//! Writes of each session that passed through this router, for reads that must see their session's writes: those
//! that its own attempts made, and those that its caller forwarded to another site.

use std::collections::HashMap;

use super::blacklist::FAILURE_WINDOW;
use crate::Micros;
use crate::state::Router;

/// Number of sessions that are remembered before older ones are forgotten.
const MAX_SESSIONS: usize = 10_000;
/// Minimum age of a session's last commit, in microseconds, for the session to be forgotten first when there are
/// more than [`MAX_SESSIONS`].
const FORGET_AFTER: Micros = FAILURE_WINDOW;
/// Number of sessions that are kept if there are still more than [`MAX_SESSIONS`] then.
const KEPT_SESSIONS: usize = MAX_SESSIONS / 10 * 9;

/// The time on the router's clock, and the lead of the members' clock over it, in microseconds.
#[derive(Clone, Copy)]
pub(super) struct ClockReading {
    now: Micros,
    members_lead: Micros,
}

impl ClockReading {
    /// Returns a time of the router's clock on the members' clock.
    fn on_members_clock(self, at: Micros) -> Micros {
        at.saturating_add(self.members_lead)
    }
}

/// Writes of one session that passed through this router.
#[derive(Clone, Copy, Default)]
pub(crate) struct Session {
    /// Latest time on the members' clock at which the last write that this router's attempts made, and that ran
    /// or may have run, was committed; zero if there is none.
    last_committed_at: Micros,
    /// Time on the router's clock at which the last forwarded write ended; `None` if there is none.
    last_forwarded_until: Option<Micros>,
    /// Time on the router's clock at which the last write that ran or may have run ended, forwarded or not;
    /// `None` if there is none.
    last_ended_at: Option<Micros>,
    /// Number of writes in flight. Each of these may have been committed by now.
    writes_in_flight: u32,
}

impl Session {
    /// Returns the position that a read of the session must see, on the members' clock.
    fn floor(&self, clock: ClockReading) -> Micros {
        if self.writes_in_flight > 0 {
            return clock.on_members_clock(clock.now);
        }
        let forwarded = self.last_forwarded_until.map(|until| clock.on_members_clock(until));
        forwarded.map_or(self.last_committed_at, |forwarded| forwarded.max(self.last_committed_at))
    }

    /// Returns the least time since the session's last write was committed; `None` if none may have been.
    fn write_age(&self, now: Micros) -> Option<Micros> {
        if self.writes_in_flight > 0 { Some(0) } else { self.last_ended_at.map(|ended_at| now - ended_at) }
    }

    /// Records that a write was sent to a member or forwarded.
    pub(super) fn write_started(&mut self) {
        self.writes_in_flight += 1;
    }

    /// Records that an attempt of a write has ended. `committed_at` is the latest time at which the write was
    /// committed, on the members' clock; `None` if it never ran.
    pub(super) fn attempt_ended(&mut self, now: Micros, committed_at: Option<Micros>) {
        self.writes_in_flight -= 1;
        if let Some(committed_at) = committed_at {
            self.last_committed_at = self.last_committed_at.max(committed_at);
            self.last_ended_at = Some(now);
        }
    }

    /// Records that a forwarded write has ended, and may have been committed by now.
    fn forwarded_write_ended(&mut self, now: Micros) {
        self.writes_in_flight -= 1;
        self.last_forwarded_until = Some(now);
        self.last_ended_at = Some(now);
    }

    /// Returns the time on the router's clock at which the session's last write that ran was committed, at the
    /// latest.
    fn last_write_at(&self, clock: ClockReading) -> Micros {
        let committed_at = self.last_committed_at.saturating_sub(clock.members_lead);
        self.last_forwarded_until.map_or(committed_at, |until| until.max(committed_at))
    }

    /// Returns whether a write may have been committed after `at` on the router's clock.
    fn wrote_after(&self, at: Micros, clock: ClockReading) -> bool {
        self.writes_in_flight > 0
            || self.last_committed_at > clock.on_members_clock(at)
            || self.last_forwarded_until > Some(at)
    }
}

/// The sessions that wrote recently.
#[derive(Clone, Default)]
pub(crate) struct Sessions {
    by_name: HashMap<String, Session>,
    /// Latest commit time that a forgotten session may have, on the router's clock; `None` if none was
    /// forgotten.
    forgotten_until: Option<Micros>,
}

impl Sessions {
    /// Returns the session of that name, creating it if it is not known.
    pub(super) fn entry(&mut self, name: String) -> &mut Session {
        self.by_name.entry(name).or_default()
    }

    /// Returns the position on the members' clock that a read of the session must see, or `None` if nothing
    /// bounds it.
    pub(super) fn floor(&self, name: &str, clock: ClockReading) -> Option<Micros> {
        let forgotten = self.forgotten_until.map(|until| clock.on_members_clock(until));
        self.by_name.get(name).map(|session| session.floor(clock)).or(forgotten)
    }

    /// Returns the least time since the session's last write was committed; `None` if it made none.
    fn write_age(&self, name: &str, now: Micros) -> Option<Micros> {
        let forgotten = self.forgotten_until.map(|until| now - until);
        self.by_name.get(name).map_or(forgotten, |session| session.write_age(now))
    }

    /// Returns the number of sessions that are remembered.
    pub(super) fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Forgets sessions if there are more than [`MAX_SESSIONS`]: those that wrote long ago, and if that is not
    /// enough, those that wrote longest ago. A read of a session that is not known must see all writes that
    /// were forgotten, which costs it the replicas that have not caught up with them.
    pub(super) fn forget_old(&mut self, clock: ClockReading) {
        if self.by_name.len() <= MAX_SESSIONS {
            return;
        }
        self.forget_until(clock.now - FORGET_AFTER, clock);
        if self.by_name.len() > MAX_SESSIONS {
            let mut last_writes: Vec<Micros> =
                self.by_name.values().map(|session| session.last_write_at(clock)).collect();
            let first_kept = last_writes.len() - KEPT_SESSIONS;
            let (_, &mut cutoff, _) = last_writes.select_nth_unstable(first_kept);
            // A position reported at the moment of a commit need not include it.
            self.forget_until(cutoff + 1, clock);
        }
    }

    /// Forgets sessions that have not written after `until`, on the router's clock.
    fn forget_until(&mut self, until: Micros, clock: ClockReading) {
        self.forgotten_until = self.forgotten_until.max(Some(until));
        self.by_name.retain(|_, session| session.wrote_after(until, clock));
    }
}

impl Router {
    /// Returns the router's clock reading for the session positions.
    pub(super) fn clock_reading(&self, now: Micros) -> ClockReading {
        ClockReading { now, members_lead: self.clock_offset }
    }

    /// Returns the number of sessions whose writes the router remembers.
    pub fn remembered_sessions(&self) -> usize {
        self.sessions.len()
    }

    /// Records that a write of the session is being forwarded to another site, until
    /// [`Router::forwarded_write_ended`]. Does nothing if the router tracks no sessions.
    pub fn write_forwarded(&mut self, session: &str) {
        if self.config.track_sessions {
            self.sessions.entry(session.to_owned()).write_started();
        }
    }

    /// Records that a forwarded write of the session was answered or is no longer waited for. Each call follows
    /// a call of [`Router::write_forwarded`].
    ///
    /// This protects reads of the session from missing the write. The cost: after a write that never ran, reads
    /// of the session need fresher replicas for a while.
    pub fn forwarded_write_ended(&mut self, now: Micros, session: &str) {
        if self.config.track_sessions {
            self.sessions.entry(session.to_owned()).forwarded_write_ended(now);
        }
    }

    /// Returns the least time since the last write of the session that passed through this router was
    /// committed, in microseconds; `None` if there was none, or if the router tracks no sessions. Another
    /// router's reads of the session must see commits up to that long ago.
    pub fn session_write_age(&self, now: Micros, session: &str) -> Option<Micros> {
        self.sessions.write_age(session, now)
    }
}
