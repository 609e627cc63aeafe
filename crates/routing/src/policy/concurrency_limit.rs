//! How many attempts this router may have in flight at a member.

use super::MS;
use crate::state::{Member, Router};
use crate::{MemberId, Micros, Standing};

/// Attempts at a member that all routers together start with.
pub(super) const START: f64 = 10.0;
/// Attempts at a member that all routers together may always have in flight.
pub(super) const STAY: f64 = 4.0;
/// Attempts at a member of usual size that all routers together may have in flight at most.
pub(super) const MOST: f64 = 100.0;

impl Router {
    /// So many drivers live: room of the dead is taken over, or given back, at once. Cold members are shared
    /// by `at_cold`, whoever may come back. Harms members where drivers that live are taken for dead.
    pub fn fleet(&mut self, living: usize, at_cold: usize) {
        let part = self.terms.drivers as f64 / living as f64;
        (self.terms.drivers, self.terms.drivers_at_cold) = (living, at_cold);
        let least = if self.sparse() { 0.0 } else { 1.0 };
        self.members.iter_mut().for_each(|member| member.window = (member.window * part).max(least));
    }

    /// How many more attempts this driver may have out at the member: its window, and for a cold one its
    /// part of what the member can bear. Where less than one attempt is due, attempts are saved up for.
    pub(super) fn room(&self, now: Micros, id: MemberId) -> f64 {
        if !self.connectable(now, id) {
            return 0.0;
        }
        let member = &self.members[id];
        // Attempts that were overtaken and stay out for long are taken for lost: they hold no place.
        let overdue = |(at, class)| at < member.overtaken && now - at > self.patience(class);
        let lost = self.sent_out(id).filter(|&out| overdue(out)).count();
        let out = (member.out.len() - lost) as f64;
        let mut room = member.window.floor() - out;
        let bearable = self.bearable(now, id);
        let sent = member.sent.iter().filter(|&&at| at > now - self.terms.overload_window).count() as f64;
        if self.sparse() {
            // Of a cold member's part none is lost to whole numbers: many drivers' attempts add up to it.
            let free = out < 1.0 && self.credit(now, id) >= 1.0 && sent <= bearable;
            return if free { member.window } else { 0.0 };
        } else if self.mute(now, id) {
            room = room.max(1.0);
        }
        if bearable < 1.0 && self.credit(now, id) < 1.0 {
            return 0.0;
        }
        room.min(bearable.max(1.0).floor() - sent)
    }

    /// Attempts saved up: at most two at a warm member and one at a cold one.
    pub(super) fn credit(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let bearable = self.bearable(now, id);
        let bearable_pace = bearable / self.terms.overload_window as f64;
        let usual = self.any_took.quantile(0.9).unwrap_or(0).max(100 * MS) / 2;
        let pace = bearable_pace.min(member.window / usual as f64);
        let most = (bearable / 2.0).clamp(1.0, 2.0);
        (member.credit + (now - member.credited) as f64 * pace).min(most)
    }

    /// An attempt uses up what was saved for its member; the primary is owed its part of its group's
    /// attempts.
    pub(super) fn account(&mut self, now: Micros, id: MemberId, writes: bool) {
        let (credit, hold) = (self.credit(now, id) - 1.0, self.hold());
        (self.members[id].credit, self.members[id].credited) = (credit, now);
        if !self.sparse() && self.groups[self.members[id].group].primary.is_some() {
            return;
        }
        let part = |&id: &MemberId| {
            let Member { standing, size, window, lost_until, .. } = self.members[id];
            if standing == Standing::Ready && now >= lost_until { size * window } else { 0.0 }
        };
        let group = &mut self.groups[self.members[id].group];
        let Some(primary) = group.primary else {
            group.walk_after = if writes { now + hold } else { group.walk_after };
            return;
        };
        let all: f64 = group.members.iter().map(part).sum();
        let due = part(&primary) / all.max(f64::EPSILON) - f64::from(id == primary);
        group.owed = (group.owed + due).clamp(-3.0, 3.0);
    }
}
