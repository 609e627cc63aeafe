//! Messages that arrive over links: responses, outcome queries and the replies to them, capacity announcements,
//! and remote requests.

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::Micros;
use aldermill_site_link::{
    CapacityAnnouncement, Inbound, Outbound, OutcomeQuery, OutcomeReply, OutcomeReplyKind,
    Response as ResponseFrame, ResponseKind,
};
use aldermill_site_routing::{Outcome, PeerAnswer, PeerGatewayId};

use super::site_actions::ReceivedAnswer;
use super::{GatewayPart, ReceivedAnnouncement, Requester, RetainedResponse, capped_micros};
use crate::dispatcher::Dispatcher;
use crate::messages::{Answer, LinkId, Rows};

impl Dispatcher {
    /// Handles a message that arrived over a link, or a measured round trip, after the other side has greeted.
    pub(super) fn handle_inbound(&mut self, link: LinkId, gateway: PeerGatewayId, event: Inbound) {
        match event {
            Inbound::Greeted(_) => {}
            Inbound::Request(frame, statement) => {
                self.remote_request_received(link, gateway, frame, statement)
            }
            Inbound::Response(response, data) => self.response_received(&response, data),
            Inbound::OutcomeReply(reply, data) => self.outcome_reply_received(link, &reply, data),
            Inbound::Cancel(number) => self.remote_request_cancelled(gateway, number),
            Inbound::OutcomeQuery(query) => self.answer_outcome_query(link, gateway, &query),
            Inbound::Confirm(confirm) => {
                let Some(gateway_part) = &mut self.gateway_part else { return };
                let origin = &gateway_part.peer_gateways[gateway].origin;
                gateway_part.outcomes.confirm(origin, confirm.up_to);
            }
            Inbound::CapacityAnnouncement(announcement) => self.capacity_received(gateway, &announcement),
            Inbound::RoundTrip(round_trip) => {
                if let Some(gateway_part) = &mut self.gateway_part {
                    gateway_part.site_router.round_trip_measured(gateway, round_trip);
                }
            }
        }
    }

    /// Handles another gateway's response to a request that was forwarded to it.
    fn response_received(&mut self, response: &ResponseFrame, data: Vec<u8>) {
        let now = self.context.clock.now();
        let received = self.received_answer(response.number, data);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let answer = gateway_part.peer_answer(response);
        let actions = gateway_part.site_router.answered(now, response.number, answer);
        gateway_part.sent_requests.remove(&response.number);
        self.carry_out_site_actions(actions, received);
    }

    /// Handles another gateway's reply to a query about a request that was forwarded to it.
    fn outcome_reply_received(&mut self, link: LinkId, frame: &OutcomeReply, data: Vec<u8>) {
        let now = self.context.clock.now();
        let outcome = decode_outcome_reply(frame);
        let received = self.received_answer(frame.number, data);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if frame.kind() == OutcomeReplyKind::InFlight
            && let Some(sent) = gateway_part.sent_requests.get_mut(&frame.number)
        {
            // The response will come over the link that the query was sent on.
            sent.link = link;
        }
        let actions = gateway_part.site_router.outcome_received(now, frame.number, &outcome);
        self.carry_out_site_actions(actions, received);
    }

    /// Replies to another gateway's query about a request that it sent.
    fn answer_outcome_query(&mut self, link: LinkId, gateway: PeerGatewayId, query: &OutcomeQuery) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let outcome = gateway_part.look_up_outcome(now, gateway, query);
        gateway_part.set_response_link(gateway, query.number, link);
        let (frame, data) = encode_outcome_reply(query.number, outcome);
        gateway_part.send(gateway, Some(link), Outbound::OutcomeReply(frame, data));
        self.resume_remote_request(gateway, query.number);
    }

    /// Handles another gateway's announcement of its capacity and of the groups at its site. A request class that
    /// the announcement leaves out has no credit.
    fn capacity_received(&mut self, gateway: PeerGatewayId, announcement: &CapacityAnnouncement) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let credit = |name: &String| announcement.credits.iter().find(|credit| credit.class == *name);
        let requests = |name| credit(name).map_or(0, |credit| credit.requests);
        let credits: Vec<u32> = gateway_part.class_names.iter().map(requests).collect();
        let homes: Vec<(u64, bool)> =
            announcement.homes.iter().map(|home| (home.group, home.has_primary)).collect();
        gateway_part.peer_gateways[gateway].last_announcement = (announcement.number > 0)
            .then_some(ReceivedAnnouncement { number: announcement.number, received_at: now });
        gateway_part.site_router.attempt_ages_announced(gateway, announcement.reads_attempt_ages);
        let actions =
            gateway_part.site_router.capacity_announced(now, gateway, credits, &homes, announcement.draining);
        self.carry_out_site_actions(actions, None);
    }

    /// Returns the data that another gateway sent for a request, as an answer. Data larger than
    /// `limits.buffers.small_message` needs reserved buffer space; if none is free, the answer is a rejection or
    /// a failure instead. Returns `None` if the request is not pending any more.
    fn received_answer(&self, number: u64, data: Vec<u8>) -> Option<ReceivedAnswer> {
        let gateway_part = self.gateway_part.as_ref()?;
        let handle = gateway_part.site_router.handle_by_forward_number(number)?;
        let pending = gateway_part.pending_requests.get(&handle)?;
        if data.len() <= self.context.limits.buffers.small_message {
            let answer = Answer::Served(Rows { pieces: vec![data], reservation: None });
            return Some(ReceivedAnswer { handle, answer });
        }
        let priority = self.context.priority(&pending.request.comment.class);
        let owner = ReservationOwner { peer: pending.request.peer, priority };
        let reserved = self.context.flow_control.try_reserve(owner, data.len());
        let answer = match reserved {
            Some(_) => Answer::Served(Rows { pieces: vec![data], reservation: reserved }),
            None => self.no_buffer_space_answer(pending.class),
        };
        Some(ReceivedAnswer { handle, answer })
    }
}

impl GatewayPart {
    /// Converts another gateway's response to the form that the site router takes.
    fn peer_answer(&self, response: &ResponseFrame) -> PeerAnswer {
        match response.kind() {
            ResponseKind::Served => PeerAnswer::Served,
            ResponseKind::Rejected => {
                PeerAnswer::Rejected { retry_after: capped_micros(response.retry_after_us) }
            }
            ResponseKind::NotPrimary => PeerAnswer::NotPrimary { hint: self.site_id(&response.hint) },
            ResponseKind::Invalid => PeerAnswer::NeverAccepted,
            ResponseKind::Failed | ResponseKind::Unset => PeerAnswer::Failed,
        }
    }

    /// Returns the outcome of a request that was sent to this gateway. Requests that were sent to an earlier
    /// incarnation are looked up in the outcome log.
    fn look_up_outcome(
        &mut self,
        now: Micros,
        gateway: PeerGatewayId,
        query: &OutcomeQuery,
    ) -> Outcome<RetainedResponse> {
        let origin = &self.peer_gateways[gateway].origin;
        let own_incarnation = self.identity.incarnation;
        match &mut self.outcome_log {
            Some(outcome_log) if query.receiver_incarnation != own_incarnation => {
                let outcome = outcome_log.query(now, origin, query.number, query.receiver_incarnation);
                outcome.map(|bytes| RetainedResponse { bytes, _reservation: None })
            }
            _ => self.outcomes.query(now, origin, query.number, query.receiver_incarnation, own_incarnation),
        }
    }

    /// Sets the link for the response to a remote request: the one on which the request was last queried.
    fn set_response_link(&mut self, gateway: PeerGatewayId, number: u64, link: LinkId) {
        for incoming in self.waiting_requests.values_mut() {
            if (incoming.gateway, incoming.number) == (gateway, number) {
                incoming.link = link;
            }
        }
        let handle = self.remote_requests.get(&(gateway, number));
        if let Some(pending) = handle.and_then(|handle| self.pending_requests.get_mut(handle))
            && let Requester::Gateway(remote) = &mut pending.requester
        {
            remote.link = link;
        }
    }
}

/// Returns the outcome that a reply states, without the data of a served request.
fn decode_outcome_reply(frame: &OutcomeReply) -> Outcome<()> {
    match frame.kind() {
        OutcomeReplyKind::NeverAccepted => Outcome::NeverAccepted,
        OutcomeReplyKind::Rejected => Outcome::Rejected { retry_after: capped_micros(frame.retry_after_us) },
        OutcomeReplyKind::Served => Outcome::Served(()),
        OutcomeReplyKind::InFlight => Outcome::InFlight,
        OutcomeReplyKind::Failed => Outcome::Failed,
        OutcomeReplyKind::Unknown | OutcomeReplyKind::Unset => Outcome::Unknown,
    }
}

/// Returns the reply that states an outcome, and the data of a served request, which is sent with the reply.
fn encode_outcome_reply(number: u64, outcome: Outcome<RetainedResponse>) -> (OutcomeReply, Vec<u8>) {
    let mut frame = OutcomeReply { number, ..OutcomeReply::default() };
    let mut data = Vec::new();
    let kind = match outcome {
        Outcome::NeverAccepted => OutcomeReplyKind::NeverAccepted,
        Outcome::InFlight => OutcomeReplyKind::InFlight,
        Outcome::Rejected { retry_after } => {
            frame.retry_after_us = retry_after.max(0) as u64;
            OutcomeReplyKind::Rejected
        }
        Outcome::Served(response) => {
            data = response.bytes.to_vec();
            OutcomeReplyKind::Served
        }
        Outcome::Failed => OutcomeReplyKind::Failed,
        Outcome::Unknown => OutcomeReplyKind::Unknown,
    };
    frame.kind = kind.into();
    (frame, data)
}
