//! Carries out the site router's actions: hands requests to the local router, forwards them to other gateways, and
//! answers them.

use aldermill_routing::{Micros, Need};
use aldermill_site_link::{Confirm, Outbound, OutcomeQuery, Request as RequestFrame};
use aldermill_site_routing::{Action, Actions, PeerAnswer, PeerGatewayId, RequestHandle};

use super::answers::FinalAnswer;
use super::{GatewayPart, PendingRequest, SentRequest};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::members_clock::MIN_OFFSET_CHANGE;
use crate::dispatcher::requests::RouterSubmission;
use crate::messages::Answer;

/// An answer that has just been received for a request, from the local router or another gateway.
pub(in crate::dispatcher) struct ReceivedAnswer {
    pub(super) handle: RequestHandle,
    pub(super) answer: Answer,
}

/// A request that is to be forwarded, with the fields of [`Action::Forward`].
struct Forward {
    gateway: PeerGatewayId,
    number: u64,
    /// The time until the request's deadline when it arrives at the gateway, in microseconds.
    timeout: Micros,
    /// How long ago the first attempt that may have run began, in microseconds.
    earlier_attempt_age: Option<Micros>,
}

impl Dispatcher {
    /// Carries out the site router's actions, in order. `received` is the answer that
    /// [`Action::RelayResponse`] passes on to the requester; `None` if none was received.
    pub(in crate::dispatcher) fn carry_out_site_actions(
        &mut self,
        actions: Actions,
        mut received: Option<ReceivedAnswer>,
    ) {
        for (handle, action) in actions.requests {
            self.carry_out_site_action(handle, action, &mut received);
        }
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        for (gateway, up_to) in actions.confirmations {
            gateway_part.send(gateway, None, Outbound::Confirm(Confirm { up_to }));
        }
        if actions.announce_capacity {
            gateway_part.announce_capacity(now);
        }
        if let Some(at) = actions.wake_at {
            gateway_part.wake_at = at;
        }
    }

    fn carry_out_site_action(
        &mut self,
        handle: RequestHandle,
        action: Action,
        received: &mut Option<ReceivedAnswer>,
    ) {
        match action {
            Action::ServeLocally { timeout, earlier_attempt_age } => {
                self.serve_locally(handle, timeout, earlier_attempt_age)
            }
            Action::Withdraw => self.withdraw_from_router(handle),
            Action::Forward { gateway, number, timeout, earlier_attempt_age } => {
                let forward = Forward { gateway, number, timeout, earlier_attempt_age };
                self.forward_to_gateway(handle, &forward)
            }
            Action::QueryOutcome { gateway, number } => self.query_outcome(gateway, number),
            Action::Cancel { gateway, number } => self.cancel_at_site(gateway, number),
            Action::RelayResponse => {
                let received = received.take_if(|received| received.handle == handle);
                let answer = received.map_or(Answer::Failed, |received| received.answer);
                self.answer_pending_request(handle, FinalAnswer::Ended(answer));
            }
            Action::Reject { retry_after } => {
                self.answer_pending_request(handle, FinalAnswer::Ended(Answer::Rejected { retry_after }))
            }
            Action::Fail => self.answer_pending_request(handle, FinalAnswer::Ended(Answer::Failed)),
            Action::ReportNotPrimary { hint } => {
                self.answer_pending_request(handle, FinalAnswer::NotPrimary { hint })
            }
        }
    }

    fn serve_locally(&mut self, handle: RequestHandle, timeout: Micros, earlier_attempt_age: Option<Micros>) {
        let Some(pending) = self.pending_request_mut(handle) else { return };
        let request = pending.request.clone();
        let class = pending.class;
        let is_suspended = self.is_requester_unlinked(handle);
        let deadline = self.context.clock.now() + timeout;
        let (local_handle, actions) = self.submit_to_router(RouterSubmission {
            request,
            class,
            deadline,
            site_handle: Some(handle),
            earlier_attempt_age,
            is_suspended,
        });
        if let Some(pending) = self.pending_request_mut(handle) {
            pending.local_handle = Some(local_handle);
        }
        self.carry_out(actions);
    }

    fn pending_request(&self, handle: RequestHandle) -> Option<&PendingRequest> {
        self.gateway_part.as_ref()?.pending_requests.get(&handle)
    }

    fn pending_request_mut(&mut self, handle: RequestHandle) -> Option<&mut PendingRequest> {
        self.gateway_part.as_mut()?.pending_requests.get_mut(&handle)
    }

    fn withdraw_from_router(&mut self, handle: RequestHandle) {
        let local_handle =
            self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.take_local_handle(handle));
        if let Some(local_handle) = local_handle {
            self.abandon(&[local_handle]);
        }
    }

    /// Sends a request to another site's gateway. If no link takes the request, it never left this process, and
    /// counts as never accepted.
    fn forward_to_gateway(&mut self, handle: RequestHandle, forward: &Forward) {
        let &Forward { gateway, number, timeout, earlier_attempt_age } = forward;
        let now = self.context.clock.now();
        self.track_forwarded_write(handle);
        let last_write_age = self.last_write_age(now, handle);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(pending) = gateway_part.pending_requests.get(&handle) else { return };
        let Some(peer) = gateway_part.peer_gateways.get(gateway) else { return };
        let incarnation = peer.origin.incarnation;
        let mut frame = gateway_part.request_frame(pending);
        if let Some(last) = peer.last_announcement {
            frame.announcement = last.number;
            frame.announcement_ago_us = (now - last.received_at).max(0) as u64;
        }
        // Zero on the wire means that no last write is known. The receiver may know the members' clock less exactly by
        // `MIN_OFFSET_CHANGE`.
        frame.written_ago_us = last_write_age.map_or(0, |age| (age - MIN_OFFSET_CHANGE).max(1) as u64);
        frame.number = number;
        frame.receiver_incarnation = incarnation;
        frame.timeout_us = timeout.max(0) as u64;
        frame.one_way_delay_us = gateway_part.site_router.one_way_delay(gateway).max(0) as u64;
        // Zero on the wire means that no attempt may have run.
        frame.earlier_attempt_ago_us = earlier_attempt_age.map_or(0, |age| age.max(1) as u64);
        let frame = Outbound::Request(frame, pending.request.statement.clone());
        if let Some(link) = gateway_part.send(gateway, None, frame) {
            gateway_part.sent_requests.insert(number, SentRequest { gateway, incarnation, link });
            return;
        }
        let actions = gateway_part.site_router.answered(now, number, PeerAnswer::NeverAccepted);
        self.carry_out_site_actions(actions, None);
    }

    /// Records a write that is about to be forwarded with its session, whose reads must see it from now on.
    fn track_forwarded_write(&mut self, handle: RequestHandle) {
        let Some(pending) = self.pending_request(handle) else { return };
        let is_write = self.settings.router_config.classes[pending.class].need == Need::Write;
        if !is_write || pending.forwarded_write.is_some() {
            return;
        }
        let Some(session) = self.session(&pending.request, pending.class) else { return };
        self.router.write_forwarded(&session);
        if let Some(pending) = self.pending_request_mut(handle) {
            pending.forwarded_write = Some(session);
        }
    }

    /// Returns the time since the last write that a read of its session's writes must see was committed, in
    /// microseconds, as another gateway states it or this process knows it; `None` for other requests.
    fn last_write_age(&self, now: Micros, handle: RequestHandle) -> Option<Micros> {
        let pending = self.pending_request(handle)?;
        if self.settings.router_config.classes[pending.class].need != Need::OwnWrites {
            return None;
        }
        let stated = pending.request.last_write_age_at(now);
        let session = self.session(&pending.request, pending.class);
        let known = session.and_then(|session| self.router.session_write_age(now, &session));
        stated.into_iter().chain(known).min()
    }

    /// Queries the outcome of a request that was forwarded to another gateway.
    fn query_outcome(&mut self, gateway: PeerGatewayId, number: u64) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(sent) = gateway_part.sent_requests.get(&number) else { return };
        let query = OutcomeQuery { number, receiver_incarnation: sent.incarnation };
        gateway_part.send(gateway, None, Outbound::OutcomeQuery(query));
    }

    /// Tells another gateway that the answer to a request that was forwarded to it is no longer needed.
    fn cancel_at_site(&mut self, gateway: PeerGatewayId, number: u64) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let link = gateway_part.sent_requests.remove(&number).map(|sent| sent.link);
        gateway_part.send(gateway, link, Outbound::Cancel(number));
    }
}

impl GatewayPart {
    /// Returns the frame that forwards a request. The caller sets its number, the incarnation of the receiver, the
    /// timeout, the announcement and the ages of attempts and writes.
    fn request_frame(&self, pending: &PendingRequest) -> RequestFrame {
        let request = &pending.request;
        let mut visited = pending.visited.clone();
        visited.push(self.identity.site.clone());
        RequestFrame {
            class: request.comment.class.clone(),
            group: request.comment.group,
            client_retry: request.comment.client_retry,
            visited,
            ..RequestFrame::default()
        }
    }
}
