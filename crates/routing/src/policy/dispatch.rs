//! A request's way: to a member, among the queued requests, or to its end.

use super::HELD_UP;
use crate::state::{Handle, InFlight, Router};
use crate::{Action, Effect, Micros, Need};

impl Router {
    /// Sends the request on its way, holds it, or gives it up.
    pub(super) fn place(&mut self, now: Micros, handle: Handle) {
        let pending = &self.pending_requests[&handle];
        let class = &self.terms.classes[pending.request.class];
        let (hopeless, useful) = self.useful_until(now, pending);
        // Never again what may have run: an effectful request at all, a receipted one past its window.
        let stuck = match (class.effect, pending.may_have_run) {
            (_, None) | (Effect::Pure, _) => false,
            (Effect::Effectful, Some(_)) => true,
            (Effect::Receipted { window, .. }, Some(first)) => now >= first.sent_at + window - HELD_UP,
        };
        if stuck
            || self.at_fault(pending)
            || now >= hopeless
            || pending.attempts - pending.unsent >= self.attempts_allowed(class)
        {
            return self.give_up(handle);
        }
        // Protects members from all that drivers which stood still owe at once. Harms what would be in time.
        let writes = class.need == Need::Write;
        let waits = now < self.rush_until && self.rush < 1.0;
        let target = match class.need {
            _ if waits => None,
            Need::Write => self.write_target(now, pending),
            need => self.read_target(now, handle, need),
        };
        let Some(id) = target else {
            return self.groups[self.pending_requests[&handle].group].held.push(handle);
        };
        self.account(now, id, writes);
        let rested = self.rested(now, id);
        let validity = self.validity(&self.pending_requests[&handle], id);
        let tries_connection = self.takes_connection(now, id);
        let kept = self.members[id].idle.is_some();
        let afresh = !kept && rested.is_some_and(|rest| self.reaped(rest));
        let pending = self.pending_requests.get_mut(&handle).expect("held by its handle");
        let member = &mut self.members[id];
        member.out.push(handle);
        member.sent.push_back(now);
        pending.attempts += 1;
        pending.rested = rested.filter(|_| !afresh);
        pending.tries_connection = tries_connection;
        pending.out = Some(InFlight { member: id, sent_at: now });
        pending.waits_from = now;
        self.attempted += 1.0;
        self.rush -= 1.0;
        self.session(handle).into_iter().for_each(|session| session.out += 1);
        self.actions
            .requests
            .push((handle, Action::Attempt { member: id, timeout: useful - now, afresh, validity }));
    }

    pub(super) fn close(&mut self, handle: Handle) {
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        pending.closed = true;
        self.groups[pending.group].held.retain(|&held| held != handle);
        if pending.out.is_none() {
            self.pending_requests.remove(&handle);
        }
    }

    pub(super) fn pump_all(&mut self, now: Micros) {
        (0..self.groups.len()).for_each(|group| self.pump(now, group));
    }

    /// Places the held requests of a group again: best paid first, then those that came last.
    pub(super) fn pump(&mut self, now: Micros, group: usize) {
        if self.groups[group].held.is_empty() {
            return;
        }
        let mut held = std::mem::take(&mut self.groups[group].held);
        let worth = |handle: &Handle| {
            let pending = &self.pending_requests[handle];
            let class = &self.terms.classes[pending.request.class];
            let late = now > pending.objective_at || pending.is_retry;
            class.priority_weight * if late { class.late_priority_weight } else { 1.0 }
        };
        held.sort_by(|a, b| worth(b).total_cmp(&worth(a)).then(b.cmp(a)));
        held.into_iter().for_each(|handle| self.place(now, handle));
    }
}
