//! What became of requests that crossed, and the end of each.

use super::*;

impl Sites {
    pub(super) fn settle(&mut self, now: Micros, number: u64, settled: Settled) {
        if settled == Settled::Open {
            return;
        }
        let Some(sent) = self.uncross(number) else { return };
        let handle = sent.handle;
        if settled == Settled::MayHaveRun && sent.since >= self.woke {
            self.failed(now, sent.gate);
        }
        let site = self.gates.get(&sent.gate).map_or(OWN, |gate| gate.site);
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        match settled {
            Settled::Served => {
                self.actions.requests.push((handle, Action::Serve));
                self.close(handle);
            }
            Settled::MayHaveRun => {
                pending.may_have_run = pending.may_have_run.or(Some((sent.at, site)));
                self.place(now, handle);
            }
            _ => self.place(now, handle),
        }
    }

    /// Takes a crossing out of the books; nothing more will be asked about it.
    pub(super) fn uncross(&mut self, number: u64) -> Option<crate::crossing::Sent<Handle>> {
        let sent = self.crossings.close(number)?;
        if let Some(pending) = self.pending_requests.get_mut(&sent.handle) {
            pending.out = None;
        }
        if let Some(upto) = self.crossings.confirm(sent.gate) {
            self.actions.confirms.retain(|(gate, _)| *gate != sent.gate);
            self.actions.confirms.push((sent.gate, upto));
        }
        Some(sent)
    }

    /// Protects requests from a gateway that loses them. Should also cover one whose links break all the
    /// time. Harms one whose link broke once under many requests: it is blacklisted for a while, unless it is
    /// the only one.
    pub(super) fn failed(&mut self, now: Micros, id: GateId) {
        let Some(gate) = self.gates.get_mut(&id) else { return };
        gate.failures.push_back(now);
        gate.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if gate.failures.len() >= FAILURES {
            gate.blacklisted_until = now + BLACKLISTED_FOR;
            gate.failures.clear();
        }
    }

    pub(super) fn ask_all(&mut self, now: Micros, id: GateId) {
        if self.gates.get(&id).is_none_or(|gate| gate.links == 0) {
            return;
        }
        for number in self.crossings.open_at(id) {
            self.ask(now, number);
        }
    }

    pub(super) fn ask(&mut self, now: Micros, number: u64) {
        if let Some(sent) = self.crossings.get_mut(number)
            && sent.crossing == Crossing::Unsettled
        {
            (sent.crossing, sent.at) = (Crossing::Asked, now);
            self.actions.requests.push((sent.handle, Action::Ask { gate: sent.gate, number }));
        }
    }

    // ---- The end of a request.

    pub(super) fn reject(&mut self, handle: Handle, cool_down: Micros) {
        let Some(pending) = self.pending_requests.get(&handle) else { return };
        let pure = self.class(&pending.request).effect == Effect::Pure;
        // A rejection promises that nothing ran.
        let step = if pending.may_have_run.is_none() || pure {
            Action::Reject { cool_down: cool_down.min(self.terms.max_cool_down) }
        } else {
            Action::Fail
        };
        self.actions.requests.push((handle, step));
        self.close(handle);
    }

    pub(super) fn give_up(&mut self, handle: Handle) {
        let Some(pending) = self.pending_requests.get(&handle) else { return };
        let objective = self.class(&pending.request).objective;
        self.reject(handle, objective);
    }

    pub(super) fn close(&mut self, handle: Handle) {
        if let Some(pending) = self.pending_requests.remove(&handle) {
            if let Some(number) = pending.out {
                self.uncross(number);
            }
            self.held.retain(|&held| held != handle);
        }
    }

    pub(super) fn pump_all(&mut self, now: Micros) {
        let mut held = std::mem::take(&mut self.held);
        held.retain(|handle| self.pending_requests.contains_key(handle));
        // Best paid first, then those that came first.
        held.sort_by(|a, b| {
            let priority_weight =
                |handle: &Handle| self.class(&self.pending_requests[handle].request).priority_weight;
            priority_weight(b).total_cmp(&priority_weight(a)).then(a.cmp(b))
        });
        held.into_iter().for_each(|handle| self.place(now, handle));
    }

    pub(super) fn beat(&mut self, now: Micros) {
        // What is out and unsettled when its time is nearly up ends as what it is: it may have run.
        let ends = |pending: &PendingRequest| pending.out.is_some() && now + BEAT >= pending.deadline;
        let mut late: Vec<Handle> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| ends(pending))
            .map(|(&handle, _)| handle)
            .collect();
        late.sort();
        for handle in late {
            let Some(number) = self.pending_requests[&handle].out else { continue };
            if let Some(sent) = self.crossings.get(number) {
                let gate = sent.gate;
                self.actions.requests.push((handle, Action::Cancel { gate, number }));
            }
            self.settle(now, number, Settled::MayHaveRun);
        }
        let unanswered: Vec<u64> = self
            .gates
            .keys()
            .flat_map(|&id| self.crossings.open_at(id))
            .filter(|&number| {
                let sent = self.crossings.get(number);
                sent.is_some_and(|sent| sent.crossing == Crossing::Asked && now - sent.at >= ASK_AGAIN)
            })
            .collect();
        for number in unanswered {
            if let Some(sent) = self.crossings.get_mut(number) {
                sent.crossing = Crossing::Unsettled;
            }
            let up = self.crossings.get(number).and_then(|sent| self.gates.get(&sent.gate));
            if up.is_some_and(|gate| gate.links > 0) {
                self.ask(now, number);
            }
        }
        self.pump_all(now);
    }

    pub(super) fn class(&self, request: &Request) -> &RequestClass {
        &self.terms.classes[request.class]
    }

    pub(super) fn take_actions(&mut self) -> Actions {
        self.actions.wake_at = Some(self.next_beat);
        std::mem::take(&mut self.actions)
    }
}
