//! What is heard over links: outcomes, questions about earlier requests, capacity, and remote requests.

use aldermill_flow_control::ReservationOwner;
use aldermill_routing::Micros;
use aldermill_site_link::{
    Ask, Event, Fate as FateFrame, FateKind, Outcome as OutcomeFrame, OutcomeKind, Room as RoomFrame, Said,
};
use aldermill_site_routing::{Answer as SiteAnswer, Fate, GateId};

use super::site_actions::ReceivedAnswer;
use super::{GatewayPart, KeptValue, Requester, received_span};
use crate::dispatcher::Dispatcher;
use crate::messages::{Answer, LinkId, Rows};

impl Dispatcher {
    /// Something was heard over a link whose other side has greeted.
    pub(super) fn link_event(&mut self, link: LinkId, gate: GateId, event: Event) {
        match event {
            Event::Met(_) => {}
            Event::Request(frame, statement) => self.remote_request_arrived(link, gate, frame, statement),
            Event::Outcome(outcome, value) => self.outcome_received(&outcome, value),
            Event::Fate(fate, value) => self.fate_received(link, &fate, value),
            Event::Cancel(number) => self.remote_request_cancelled(gate, number),
            Event::Ask(ask) => self.answer_question(link, gate, &ask),
            Event::Confirm(confirm) => {
                let Some(gateway_part) = &mut self.gateway_part else { return };
                let origin = &gateway_part.peer_gateways[gate].origin;
                gateway_part.fates.confirm(origin, confirm.upto);
            }
            Event::Room(room) => self.room_received(gate, &room),
            Event::Trip(round_trip) => {
                if let Some(gateway_part) = &mut self.gateway_part {
                    gateway_part.sites.trip(gate, round_trip);
                }
            }
        }
    }

    /// Another gateway tells how a request ended that was sent there.
    fn outcome_received(&mut self, outcome: &OutcomeFrame, value: Vec<u8>) {
        let now = self.context.clock.now();
        let received = self.received_answer(outcome.number, value);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let answer = gateway_part.site_answer(outcome);
        let actions = gateway_part.sites.answered(now, outcome.number, answer);
        gateway_part.sent.remove(&outcome.number);
        self.carry_out_sites(actions, received);
    }

    /// Another gateway tells, as it was asked, what became of a request that was sent there.
    fn fate_received(&mut self, link: LinkId, frame: &FateFrame, value: Vec<u8>) {
        let now = self.context.clock.now();
        let fate = fate_of(frame);
        let received = self.received_answer(frame.number, value);
        let Some(gateway_part) = &mut self.gateway_part else { return };
        if frame.kind() == FateKind::UnderWay
            && let Some(sent) = gateway_part.sent.get_mut(&frame.number)
        {
            // Its answer comes over the link that was asked on.
            sent.link = link;
        }
        let actions = gateway_part.sites.fate(now, frame.number, &fate);
        self.carry_out_sites(actions, received);
    }

    /// Another gateway asks what became of a request that it sent.
    fn answer_question(&mut self, link: LinkId, gate: GateId, ask: &Ask) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let fate = gateway_part.fate_for(now, gate, ask);
        gateway_part.move_to_link(gate, ask.number, link);
        let (frame, value) = fate_frame(ask.number, fate);
        gateway_part.send(gate, Some(link), Said::Fate(frame, value));
    }

    /// Another gateway tells what it takes, and where groups are.
    fn room_received(&mut self, gate: GateId, room: &RoomFrame) {
        let now = self.context.clock.now();
        let Some(gateway_part) = &mut self.gateway_part else { return };
        let credit = |name: &String| room.credits.iter().find(|credit| credit.class == *name);
        let requests = |name| credit(name).map_or(0, |credit| credit.requests);
        let credits: Vec<u32> = gateway_part.classes.iter().map(requests).collect();
        let homes: Vec<(u64, bool)> = room.homes.iter().map(|home| (home.group, home.primary)).collect();
        let actions = gateway_part.sites.room(now, gate, credits, &homes, room.draining);
        self.carry_out_sites(actions, None);
    }

    /// What another gateway sent for a request, with buffer space for it where it is large.
    fn received_answer(&self, number: u64, value: Vec<u8>) -> Option<ReceivedAnswer> {
        let gateway_part = self.gateway_part.as_ref()?;
        let handle = gateway_part.sites.crossed(number)?;
        let forwarded = gateway_part.forwarded.get(&handle)?;
        if value.len() <= self.context.limits.buffers.small_message {
            let answer = Answer::Served(Rows { pieces: vec![value], reservation: None });
            return Some(ReceivedAnswer { handle, answer });
        }
        let priority = self.context.priority(&forwarded.request.comment.class);
        let owner = ReservationOwner { peer: forwarded.request.peer, priority };
        let room = self.context.flow_control.try_reserve(owner, value.len());
        let answer = match room {
            Some(_) => Answer::Served(Rows { pieces: vec![value], reservation: room }),
            None => self.without_room(forwarded.class),
        };
        Some(ReceivedAnswer { handle, answer })
    }
}

impl GatewayPart {
    fn site_answer(&self, outcome: &OutcomeFrame) -> SiteAnswer {
        match outcome.kind() {
            OutcomeKind::Served => SiteAnswer::Served,
            OutcomeKind::Rejected => SiteAnswer::Rejected { cool_down: received_span(outcome.cool_down_us) },
            OutcomeKind::NotHere => SiteAnswer::NotHere { hint: self.site(&outcome.hint) },
            OutcomeKind::Wrong => SiteAnswer::NeverTaken,
            OutcomeKind::Failed | OutcomeKind::Unset => SiteAnswer::Failed,
        }
    }

    /// What became of a request that this gateway was sent. What an earlier start took is in the outcome log.
    fn fate_for(&mut self, now: Micros, gate: GateId, ask: &Ask) -> Fate<KeptValue> {
        let origin = &self.peer_gateways[gate].origin;
        let own = self.own.start;
        match &mut self.outcome_log {
            Some(outcome_log) if ask.receiver_start != own => {
                let fate = outcome_log.ask(now, origin, ask.number, ask.receiver_start);
                fate.map(|bytes| KeptValue { bytes, _room: None })
            }
            _ => self.fates.ask(now, origin, ask.number, ask.receiver_start, own),
        }
    }

    /// The answer of a remote request goes over the link on which it was last asked about.
    fn move_to_link(&mut self, gate: GateId, number: u64, link: LinkId) {
        for arriving in self.arriving.values_mut() {
            if (arriving.gate, arriving.number) == (gate, number) {
                arriving.link = link;
            }
        }
        let handle = self.remote_requests.get(&(gate, number));
        if let Some(forwarded) = handle.and_then(|handle| self.forwarded.get_mut(handle))
            && let Requester::Gateway(remote) = &mut forwarded.requester
        {
            remote.link = link;
        }
    }
}

fn fate_of(frame: &FateFrame) -> Fate<()> {
    match frame.kind() {
        FateKind::NeverTaken => Fate::NeverTaken,
        FateKind::Rejected => Fate::Rejected { cool_down: received_span(frame.cool_down_us) },
        FateKind::Served => Fate::Served(()),
        FateKind::UnderWay => Fate::UnderWay,
        FateKind::Failed => Fate::Failed,
        FateKind::Unknown | FateKind::Unset => Fate::Unknown,
    }
}

/// A fate as another gateway is told it, and the value that goes with it.
fn fate_frame(number: u64, fate: Fate<KeptValue>) -> (FateFrame, Vec<u8>) {
    let mut frame = FateFrame { number, ..FateFrame::default() };
    let mut value = Vec::new();
    let kind = match fate {
        Fate::NeverTaken => FateKind::NeverTaken,
        Fate::UnderWay => FateKind::UnderWay,
        Fate::Rejected { cool_down } => {
            frame.cool_down_us = cool_down.max(0) as u64;
            FateKind::Rejected
        }
        Fate::Served(kept) => {
            value = kept.bytes.to_vec();
            FateKind::Served
        }
        Fate::Failed => FateKind::Failed,
        Fate::Unknown => FateKind::Unknown,
    };
    frame.kind = kind.into();
    (frame, value)
}
