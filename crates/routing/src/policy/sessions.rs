//! What this router's own attempts wrote, by session, for reads that must see their session's writes.

use std::collections::HashMap;

use super::blacklist::FAILURE_WINDOW;
use crate::Micros;

/// Sessions that are remembered before older ones are forgotten.
const MAX_SESSIONS: usize = 10_000;
/// How long ago a session must have written to be forgotten where there are more, in microseconds.
const FORGET_AFTER: Micros = FAILURE_WINDOW;

/// What this router's own attempts wrote of one session.
#[derive(Clone, Copy, Default)]
pub(crate) struct Session {
    /// When its last write that ran or may have run was committed at the latest, by the members' clock.
    last_commit: Micros,
    /// Writes in flight: each may have been committed by now.
    writes_in_flight: u32,
}

impl Session {
    /// The position that a read of the session must see, `now` by the members' clock.
    fn floor(&self, now: Micros) -> Micros {
        if self.writes_in_flight > 0 { now } else { self.last_commit }
    }

    /// A write is sent.
    pub(super) fn write_started(&mut self) {
        self.writes_in_flight += 1;
    }

    /// A write has ended, and was committed by `commit` at the latest; zero where it never ran.
    pub(super) fn write_ended(&mut self, commit: Micros) {
        self.writes_in_flight -= 1;
        self.last_commit = self.last_commit.max(commit);
    }
}

/// The sessions that wrote of late.
#[derive(Clone, Default)]
pub(crate) struct Sessions {
    by_name: HashMap<String, Session>,
    /// A write of a session that is not found may be as new as that.
    forgotten_until: Option<Micros>,
}

impl Sessions {
    /// The session of that name, new where it was not known.
    pub(super) fn entry(&mut self, name: String) -> &mut Session {
        self.by_name.entry(name).or_default()
    }

    /// The position that a read of the session must see, `now` by the members' clock; `None` where nothing bounds it.
    pub(super) fn floor(&self, name: &str, now: Micros) -> Option<Micros> {
        self.by_name.get(name).map(|session| session.floor(now)).or(self.forgotten_until)
    }

    /// Forgets sessions that wrote long ago, where there are very many; `now` by the members' clock.
    pub(super) fn forget_old(&mut self, now: Micros) {
        if self.by_name.len() <= MAX_SESSIONS {
            return;
        }
        let forgotten_until = Some(now - FORGET_AFTER);
        self.forgotten_until = forgotten_until;
        self.by_name
            .retain(|_, session| session.writes_in_flight > 0 || Some(session.last_commit) > forgotten_until);
    }
}
