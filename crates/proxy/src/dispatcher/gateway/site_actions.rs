//! Carries out what the site router decided: hand a request to the router here, send it to a site, answer it.

use aldermill_routing::Micros;
use aldermill_site_link::{Confirm, Outbound, OutcomeQuery, Request as RequestFrame};
use aldermill_site_routing::{Action, Actions, PeerAnswer, PeerGatewayId, RequestHandle};

use super::answers::FinalAnswer;
use super::{ForwardedRequest, GatewayPart, SentRequest};
use crate::dispatcher::Dispatcher;
use crate::dispatcher::requests::RouterSubmission;
use crate::messages::Answer;

/// What a request has just been answered with, here or at another site.
pub(in crate::dispatcher) struct ReceivedAnswer {
    pub(super) handle: RequestHandle,
    pub(super) answer: Answer,
}

impl Dispatcher {
    /// Carries out the site router's actions, in their order. `received` is passed on where a request is served
    /// with it.
    pub(in crate::dispatcher) fn carry_out_site_actions(
        &mut self,
        actions: Actions,
        mut received: Option<ReceivedAnswer>,
    ) {
        for (handle, action) in actions.requests {
            self.carry_out_site_action(handle, action, &mut received);
        }
        let Some(gateway_part) = &mut self.gateway_part else { return };
        for (gateway, up_to) in actions.confirmations {
            gateway_part.send(gateway, None, Outbound::Confirm(Confirm { up_to }));
        }
        if actions.announce_capacity {
            gateway_part.announce_capacity();
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
            Action::ServeLocally { timeout } => self.serve_locally(handle, timeout),
            Action::Withdraw => self.withdraw_from_router(handle),
            Action::Forward { gateway, number, timeout } => {
                self.forward_to_gateway(handle, gateway, number, timeout)
            }
            Action::QueryOutcome { gateway, number } => self.query_outcome(gateway, number),
            Action::Cancel { gateway, number } => self.cancel_at_site(gateway, number),
            Action::RelayResponse => {
                let received = received.take_if(|received| received.handle == handle);
                let answer = received.map_or(Answer::Failed, |received| received.answer);
                self.answer_forwarded(handle, FinalAnswer::Ended(answer));
            }
            Action::Reject { retry_after } => {
                self.answer_forwarded(handle, FinalAnswer::Ended(Answer::Rejected { retry_after }))
            }
            Action::Fail => self.answer_forwarded(handle, FinalAnswer::Ended(Answer::Failed)),
            Action::ReportNotPrimary { hint } => {
                self.answer_forwarded(handle, FinalAnswer::NotPrimary { hint })
            }
        }
    }

    fn serve_locally(&mut self, handle: RequestHandle, ttl: Micros) {
        let Some(forwarded) = self.forwarded_mut(handle) else { return };
        let request = forwarded.request.clone();
        let class = forwarded.class;
        let deadline = self.context.clock.now() + ttl;
        let (local, actions) =
            self.submit_to_router(RouterSubmission { request, class, deadline, site_handle: Some(handle) });
        if let Some(forwarded) = self.forwarded_mut(handle) {
            forwarded.local = Some(local);
        }
        self.carry_out(actions);
    }

    fn forwarded_mut(&mut self, handle: RequestHandle) -> Option<&mut ForwardedRequest> {
        self.gateway_part.as_mut()?.forwarded.get_mut(&handle)
    }

    fn withdraw_from_router(&mut self, handle: RequestHandle) {
        let local = self.gateway_part.as_mut().and_then(|gateway_part| gateway_part.withdraw(handle));
        if let Some(local) = local {
            self.abandon(local);
        }
    }

    /// Sends a request to another site's gateway. Where no link takes it, it never left this process.
    fn forward_to_gateway(
        &mut self,
        handle: RequestHandle,
        gateway: PeerGatewayId,
        number: u64,
        left: Micros,
    ) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(forwarded) = gateway_part.forwarded.get(&handle) else { return };
        let Some(peer) = gateway_part.peer_gateways.get(gateway) else { return };
        let incarnation = peer.origin.incarnation;
        let mut frame = gateway_part.request_frame(forwarded, now);
        frame.number = number;
        frame.receiver_incarnation = incarnation;
        frame.timeout_us = left.max(0) as u64;
        let frame = Outbound::Request(frame, forwarded.request.statement.clone());
        if let Some(link) = gateway_part.send(gateway, None, frame) {
            gateway_part.sent.insert(number, SentRequest { gateway, incarnation, link });
            return;
        }
        let actions = gateway_part.site_router.answered(now, number, PeerAnswer::NeverAccepted);
        self.carry_out_site_actions(actions, None);
    }

    /// Asks another gateway what became of a request that was sent there.
    fn query_outcome(&mut self, gateway: PeerGatewayId, number: u64) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let Some(sent) = gateway_part.sent.get(&number) else { return };
        let query = OutcomeQuery { number, receiver_incarnation: sent.incarnation };
        gateway_part.send(gateway, None, Outbound::OutcomeQuery(query));
    }

    fn cancel_at_site(&mut self, gateway: PeerGatewayId, number: u64) {
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let link = gateway_part.sent.remove(&number).map(|sent| sent.link);
        gateway_part.send(gateway, link, Outbound::Cancel(number));
    }
}

impl GatewayPart {
    /// A request as another gateway is sent it, but for whom it is meant and how long it may take.
    fn request_frame(&self, forwarded: &ForwardedRequest, now: Micros) -> RequestFrame {
        let request = &forwarded.request;
        // Zero on the wire says that no last write is known.
        let written_ago = request.last_write_age_at(now).map_or(0, |ago| ago.max(1));
        let mut visited = forwarded.visited.clone();
        visited.push(self.own.site.clone());
        RequestFrame {
            class: request.comment.class.clone(),
            group: request.comment.group,
            written_ago_us: written_ago as u64,
            client_retry: request.comment.client_retry,
            visited,
            ..RequestFrame::default()
        }
    }
}
