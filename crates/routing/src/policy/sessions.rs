//! Writes that this router's own attempts made in each session, for reads that must see their session's
//! writes.

use std::collections::HashMap;

use super::blacklist::FAILURE_WINDOW;
use crate::Micros;

/// Number of sessions that are remembered before older ones are forgotten.
const MAX_SESSIONS: usize = 10_000;
/// Minimum age of a session's last commit, in microseconds, for the session to be forgotten when there are
/// more than [`MAX_SESSIONS`].
const FORGET_AFTER: Micros = FAILURE_WINDOW;

/// Writes that this router's own attempts made in one session.
#[derive(Clone, Copy, Default)]
pub(crate) struct Session {
    /// Latest time on the members' clock at which the session's last write that ran or may have run was
    /// committed; zero if there is none.
    last_committed_at: Micros,
    /// Number of writes in flight. Each of these may have been committed by now.
    writes_in_flight: u32,
}

impl Session {
    /// Returns the position that a read of the session must see. `now` is on the members' clock.
    fn floor(&self, now: Micros) -> Micros {
        if self.writes_in_flight > 0 { now } else { self.last_committed_at }
    }

    /// Records that a write was sent.
    pub(super) fn write_started(&mut self) {
        self.writes_in_flight += 1;
    }

    /// Records that a write has ended. `committed_at` is the latest time at which the write was committed, or
    /// zero if it never ran.
    pub(super) fn write_ended(&mut self, committed_at: Micros) {
        self.writes_in_flight -= 1;
        self.last_committed_at = self.last_committed_at.max(committed_at);
    }
}

/// The sessions that wrote recently.
#[derive(Clone, Default)]
pub(crate) struct Sessions {
    by_name: HashMap<String, Session>,
    /// Latest commit time that a forgotten session may have, on the members' clock; `None` if none was
    /// forgotten.
    forgotten_until: Option<Micros>,
}

impl Sessions {
    /// Returns the session of that name, creating it if it is not known.
    pub(super) fn entry(&mut self, name: String) -> &mut Session {
        self.by_name.entry(name).or_default()
    }

    /// Returns the position that a read of the session must see, or `None` if nothing bounds it. `now` is on
    /// the members' clock.
    pub(super) fn floor(&self, name: &str, now: Micros) -> Option<Micros> {
        self.by_name.get(name).map(|session| session.floor(now)).or(self.forgotten_until)
    }

    /// Forgets sessions that wrote long ago if there are more than [`MAX_SESSIONS`]. `now` is on the members'
    /// clock.
    pub(super) fn forget_old(&mut self, now: Micros) {
        if self.by_name.len() <= MAX_SESSIONS {
            return;
        }
        let forgotten_until = Some(now - FORGET_AFTER);
        self.forgotten_until = forgotten_until;
        self.by_name.retain(|_, session| {
            session.writes_in_flight > 0 || Some(session.last_committed_at) > forgotten_until
        });
    }
}
