//! The conclusions about forwarded requests, and the completion of every request.

use super::SiteRouter;
use crate::forwarded_requests::ForwardedRequest;
use crate::pending_requests::RequestLocation;
use crate::{
    Action, Conclusion, Effect, ForwardNumber, LOCAL_SITE, Micros, PeerGatewayId, RequestHandle, SiteId,
};

impl SiteRouter {
    /// Closes the entry of a forwarded request, unless the conclusion leaves it open, and answers the request
    /// or places it again.
    pub(super) fn conclude(&mut self, now: Micros, number: ForwardNumber, conclusion: Conclusion) {
        if conclusion == Conclusion::Open {
            return;
        }
        let Some(forwarded) = self.close_forward(number) else { return };
        match conclusion {
            Conclusion::Served => self.relay_response(forwarded.handle),
            Conclusion::MayHaveRun => self.possibly_executed(now, &forwarded),
            Conclusion::NeverRan | Conclusion::Open => self.place(now, forwarded.handle),
        }
    }

    fn relay_response(&mut self, handle: RequestHandle) {
        if self.pending.get(handle).is_some() {
            self.push_action(handle, Action::RelayResponse);
            self.close(handle);
        }
    }

    /// Handles a request that the gateway lost, or that failed there and may have run.
    fn possibly_executed(&mut self, now: Micros, forwarded: &ForwardedRequest) {
        let mut site = LOCAL_SITE;
        if let Some(gateway) = self.gateways.get_mut(forwarded.gateway) {
            site = gateway.site;
            if forwarded.sent_at >= self.last_stall_ended_at {
                gateway.record_failure(now);
            }
        }
        if let Some(pending) = self.pending.get_mut(forwarded.handle) {
            pending.record_possible_execution(forwarded.sent_at, site);
            self.place(now, forwarded.handle);
        }
    }

    /// Closes the entry of a forwarded request and confirms to the receiver that no more queries about it
    /// will come. Returns the entry; `None` if it was closed before.
    pub(super) fn close_forward(&mut self, number: ForwardNumber) -> Option<ForwardedRequest> {
        let forwarded = self.forwarded.close(number)?;
        if let Some(pending) = self.pending.get_mut(forwarded.handle) {
            pending.location = RequestLocation::Queued;
        }
        self.confirm_closed(forwarded.gateway);
        Some(forwarded)
    }

    /// Tells a gateway up to which number all its entries are closed, if that number has risen. A later
    /// confirmation replaces an earlier one of the same call.
    fn confirm_closed(&mut self, gateway: PeerGatewayId) {
        if let Some(up_to) = self.forwarded.confirm(gateway) {
            self.actions.confirmations.retain(|(other, _)| *other != gateway);
            self.actions.confirmations.push((gateway, up_to));
        }
    }

    /// Queries a gateway about all unresolved requests that were sent to it, if a link to it is up.
    pub(super) fn query_unresolved_at(&mut self, now: Micros, gateway: PeerGatewayId) {
        if self.gateways.get(gateway).is_some_and(|gateway| gateway.is_linked()) {
            for number in self.forwarded.open_at(gateway) {
                self.query_if_unresolved(now, number);
            }
        }
    }

    /// Queries the receiver about the request with this number, if the request is unresolved.
    pub(super) fn query_if_unresolved(&mut self, now: Micros, number: ForwardNumber) {
        if let Some(request) = self.forwarded.start_query(now, number) {
            self.push_action(request.handle, Action::QueryOutcome { gateway: request.gateway, number });
        }
    }

    /// Tells the gateway that a request was forwarded to, if any, that its answer is no longer needed.
    pub(super) fn cancel_if_forwarded(&mut self, handle: RequestHandle) {
        let location = self.pending.get(handle).map(|pending| pending.location);
        if let Some(RequestLocation::Forwarded { number, to }) = location {
            self.push_action(handle, Action::Cancel { gateway: to, number });
        }
    }

    /// Rejects a request. A rejection guarantees that the request did not run; if that is not certain, and
    /// the request is not idempotent, it fails instead.
    pub(super) fn reject(&mut self, handle: RequestHandle, retry_after: Micros) {
        let action = if self.may_deny(handle) {
            Action::Reject { retry_after: retry_after.min(self.config.max_retry_after) }
        } else {
            Action::Fail
        };
        self.push_action(handle, action);
        self.close(handle);
    }

    /// Returns whether the requester may be told that the request did not run: no attempt that this gateway made may
    /// have run, or it is harmless to repeat. Of earlier attempts the requester knows itself.
    pub(super) fn may_deny(&self, handle: RequestHandle) -> bool {
        self.pending.get(handle).is_none_or(|pending| {
            let is_idempotent = self.class_of(&pending.request).effect == Effect::Idempotent;
            pending.may_have_run.is_none() || is_idempotent
        })
    }

    /// Rejects a request that no site can or may serve in time, with the latency objective of its class as
    /// the retry-after.
    pub(super) fn give_up(&mut self, handle: RequestHandle) {
        let Some(pending) = self.pending.get(handle) else { return };
        let objective = self.class_of(&pending.request).objective;
        self.reject(handle, objective);
    }

    /// Tells the gateway that sent the request that it never ran here, and which site is believed to have the
    /// primary. If that is not certain, and the request is not idempotent, it fails instead.
    pub(super) fn report_not_primary(&mut self, handle: RequestHandle, hint: Option<SiteId>) {
        let action = if self.may_deny(handle) { Action::ReportNotPrimary { hint } } else { Action::Fail };
        self.push_action(handle, action);
        self.close(handle);
    }

    /// Removes a request that was answered or abandoned, and closes its forward entry if it has one.
    pub(super) fn close(&mut self, handle: RequestHandle) {
        if let Some(pending) = self.pending.remove(handle) {
            if let Some(number) = pending.forward_number() {
                self.close_forward(number);
            }
            self.queue.remove(handle);
        }
    }
}
