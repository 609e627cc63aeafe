//! Idle connections that are not to be trusted, or not to be kept.

use super::blacklist::FAILURE_WINDOW;
use super::health_checks::HEALTH_CHECK_NEEDED;
use super::{BEAT, MS};
use crate::state::{Member, Router};
use crate::{MemberId, Micros};

impl Router {
    /// How long the connection to the member has rested, as a power of two, where it would be used again.
    pub(super) fn rested(&self, now: Micros, id: MemberId) -> Option<usize> {
        let Member { out, newest_answered_sent, answered, .. } = &self.members[id];
        let rest = ((now - answered) / (250 * MS)).max(0);
        let known = out.is_empty() && *newest_answered_sent > 0 && rest < 32;
        known.then_some((64 - rest.leading_zeros()) as usize)
    }

    /// Whether a connection that has rested for so long has most likely been dropped on the way.
    ///
    /// Guards attempts against connections that something on the way drops unseen, within the settings' idle
    /// limits too: rested ones mostly meet silence, and those less rested do not. Costs handshakes when
    /// members fall silent at random.
    pub(super) fn reaped(&self, rest: usize) -> bool {
        let least = self.rests.iter().position(|&silent| silent > 0.5).unwrap_or(0);
        least > 0 && rest >= least && self.rests[..least].iter().all(|&silent| silent < 0.25)
    }

    /// A router among many that was refused closes its idle connections, for a while after each use; a health
    /// check tells whether the process is dead.
    ///
    /// Guards members that take few connections against those that routers keep idle; costs attempts a
    /// handshake each.
    pub(super) fn refused(&mut self, now: Micros, id: MemberId) {
        if now >= self.tight_until {
            let idle = (0..self.members.len()).filter(|&id| self.members[id].out.is_empty());
            self.actions.shut.extend(idle);
        }
        self.tight_until = now + FAILURE_WINDOW;
        self.health_check(now, id, HEALTH_CHECK_NEEDED);
    }

    /// What was learnt of rested connections fades.
    pub(super) fn fade_silence(&mut self) {
        let faded = 1.0 - BEAT as f64 / (3 * FAILURE_WINDOW) as f64;
        self.rests.iter_mut().for_each(|silent| *silent *= faded);
    }

    /// After an attempt: closes what is idle at the member, or at all, while members take few connections.
    pub(super) fn release_connections(&mut self, now: Micros, id: MemberId, refused: bool) {
        if refused {
            self.refused(now, id);
        } else if now < self.tight_until && self.members[id].out.is_empty() {
            self.actions.shut.push(id);
        }
    }
}
