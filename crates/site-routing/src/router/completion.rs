//! What became of requests that crossed, and the end of each.

use super::*;

impl SiteRouter {
    pub(super) fn settle(&mut self, now: Micros, number: u64, settled: Conclusion) {
        if settled == Conclusion::Open {
            return;
        }
        let Some(sent) = self.uncross(number) else { return };
        let handle = sent.handle;
        if settled == Conclusion::MayHaveRun && sent.since >= self.woke {
            self.failed(now, sent.gateway);
        }
        let site = self.gateways.get(&sent.gateway).map_or(LOCAL_SITE, |gateway| gateway.site);
        let Some(pending) = self.pending_requests.get_mut(&handle) else { return };
        match settled {
            Conclusion::Served => {
                self.actions.requests.push((handle, Action::RelayResponse));
                self.close(handle);
            }
            Conclusion::MayHaveRun => {
                pending.may_have_run = pending.may_have_run.or(Some((sent.at, site)));
                self.place(now, handle);
            }
            _ => self.place(now, handle),
        }
    }

    /// Takes a crossing out of the books; nothing more will be asked about it.
    pub(super) fn uncross(
        &mut self,
        number: u64,
    ) -> Option<crate::forwarded_requests::ForwardedRequest<RequestHandle>> {
        let sent = self.crossings.close(number)?;
        if let Some(pending) = self.pending_requests.get_mut(&sent.handle) {
            pending.out = None;
        }
        if let Some(upto) = self.crossings.confirm(sent.gateway) {
            self.actions.confirmations.retain(|(gateway, _)| *gateway != sent.gateway);
            self.actions.confirmations.push((sent.gateway, upto));
        }
        Some(sent)
    }

    /// Protects requests from a gateway that loses them. Should also cover one whose links break all the
    /// time. Harms one whose link broke once under many requests: it is blacklisted for a while, unless it is
    /// the only one.
    pub(super) fn failed(&mut self, now: Micros, id: PeerGatewayId) {
        let Some(gateway) = self.gateways.get_mut(&id) else { return };
        gateway.failures.push_back(now);
        gateway.failures.retain(|&at| at >= now - FAILURE_WINDOW);
        if gateway.failures.len() >= FAILURES {
            gateway.blacklisted_until = now + BLACKLISTED_FOR;
            gateway.failures.clear();
        }
    }

    pub(super) fn ask_all(&mut self, now: Micros, id: PeerGatewayId) {
        if self.gateways.get(&id).is_none_or(|gateway| gateway.links == 0) {
            return;
        }
        for number in self.crossings.open_at(id) {
            self.ask(now, number);
        }
    }

    pub(super) fn ask(&mut self, now: Micros, number: u64) {
        if let Some(sent) = self.crossings.get_mut(number)
            && sent.crossing == ForwardState::Unresolved
        {
            (sent.crossing, sent.at) = (ForwardState::Queried, now);
            self.actions.requests.push((sent.handle, Action::QueryOutcome { gateway: sent.gateway, number }));
        }
    }

    // ---- The end of a request.

    pub(super) fn reject(&mut self, handle: RequestHandle, retry_after: Micros) {
        let Some(pending) = self.pending_requests.get(&handle) else { return };
        let pure = self.class(&pending.request).effect == Effect::Idempotent;
        // A rejection promises that nothing ran.
        let step = if pending.may_have_run.is_none() || pure {
            Action::Reject { retry_after: retry_after.min(self.terms.max_retry_after) }
        } else {
            Action::Fail
        };
        self.actions.requests.push((handle, step));
        self.close(handle);
    }

    pub(super) fn give_up(&mut self, handle: RequestHandle) {
        let Some(pending) = self.pending_requests.get(&handle) else { return };
        let objective = self.class(&pending.request).objective;
        self.reject(handle, objective);
    }

    pub(super) fn close(&mut self, handle: RequestHandle) {
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
                |handle: &RequestHandle| self.class(&self.pending_requests[handle].request).priority_weight;
            priority_weight(b).total_cmp(&priority_weight(a)).then(a.cmp(b))
        });
        held.into_iter().for_each(|handle| self.place(now, handle));
    }

    pub(super) fn beat(&mut self, now: Micros) {
        // What is out and unsettled when its time is nearly up ends as what it is: it may have run.
        let ends = |pending: &PendingRequest| pending.out.is_some() && now + BEAT >= pending.deadline;
        let mut late: Vec<RequestHandle> = self
            .pending_requests
            .iter()
            .filter(|(_, pending)| ends(pending))
            .map(|(&handle, _)| handle)
            .collect();
        late.sort();
        for handle in late {
            let Some(number) = self.pending_requests[&handle].out else { continue };
            if let Some(sent) = self.crossings.get(number) {
                let gateway = sent.gateway;
                self.actions.requests.push((handle, Action::Cancel { gateway, number }));
            }
            self.settle(now, number, Conclusion::MayHaveRun);
        }
        let unanswered: Vec<u64> = self
            .gateways
            .keys()
            .flat_map(|&id| self.crossings.open_at(id))
            .filter(|&number| {
                let sent = self.crossings.get(number);
                sent.is_some_and(|sent| sent.crossing == ForwardState::Queried && now - sent.at >= ASK_AGAIN)
            })
            .collect();
        for number in unanswered {
            if let Some(sent) = self.crossings.get_mut(number) {
                sent.crossing = ForwardState::Unresolved;
            }
            let up = self.crossings.get(number).and_then(|sent| self.gateways.get(&sent.gateway));
            if up.is_some_and(|gateway| gateway.links > 0) {
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
