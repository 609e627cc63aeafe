//! Carries out what the router says is to be done: answers, launches, probes.

use aldermill_routing::{Effect, Handle, MemberId, Micros, Step, Todo, Told, Validity, Verdict};
use slog::warn;
use tokio::time::Instant;

use super::Desk;
use super::lists::Peer;
use crate::clock::duration;
use crate::words::{Answer, Attempt, Call, Ended, Gave, Mail, MemberCommand};

/// Idle connections that are closed where one descriptor is wanted.
const CLOSED_FOR_ROOM: usize = 3;

impl Desk {
    /// Its member answered, but there is no room for that: what is pure may be denied, anything else did run.
    pub(super) fn deny_for_room(&mut self, handle: Handle) {
        let Some(open) = self.open.get(&handle) else { return };
        let Ok(offering) = self.decoded.offering(&open.order.comment.offering) else { return };
        let answer = self.without_room(offering);
        self.answer(handle, answer);
    }

    /// What a client hears whose answer finds no room.
    pub(crate) fn without_room(&self, offering: usize) -> Answer {
        let terms = &self.decoded.terms;
        match terms.offerings[offering].effect {
            Effect::Pure => {
                Answer::Denied { cool_down: self.context.gate.come_back().min(terms.max_cool_down) }
            }
            _ => Answer::BrokenOff,
        }
    }

    /// Gives a task its one answer.
    pub(super) fn answer(&mut self, handle: Handle, answer: Answer) {
        let Some(open) = self.open.get_mut(&handle) else { return };
        let Some((client, mailbox)) = open.client.take() else { return };
        if let Some(via) = open.via {
            return self.here_answered(via, answer);
        }
        self.by_client.remove(&client);
        // Its mailbox always has room for the answers it waits for; it may be gone.
        let _ = mailbox.try_send(Mail::Answer(client, answer));
    }

    pub(crate) fn carry_out(&mut self, todo: Todo) {
        for (handle, step) in todo.steps {
            match step {
                Step::Launch { member, limit, afresh, validity } => {
                    self.send_attempt(handle, member, limit, afresh, validity)
                }
                Step::Deny { cool_down } => self.answer(handle, Answer::Denied { cool_down }),
                Step::BreakOff => self.answer(handle, Answer::BrokenOff),
            }
            self.release(handle);
        }
        for member in todo.probes {
            let sent = Instant::now();
            let until = sent + self.context.limits.probe;
            let peer = self.peers[member].as_ref();
            if peer.is_none_or(|peer| peer.commands.try_send(MemberCommand::Probe { sent, until }).is_err()) {
                let (verdict, told) = (Verdict::Moot, Told::default());
                let replica_words = peer.map_or(0, |peer| peer.replica_words);
                self.pending.push_back(Call::Probed { member, verdict, took: 0, told, replica_words });
            }
        }
        for member in todo.shut {
            if let Some(peer) = &self.peers[member] {
                // A full mailbox means that its connections are wanted.
                let _ = peer.commands.try_send(MemberCommand::CloseIdle);
            }
        }
        if todo.subscribe
            && let Some(requests) = &self.requests
        {
            let _ = requests.try_send(());
        }
        if let Some(at) = todo.wake_at {
            self.wake_at = at;
        }
    }

    fn send_attempt(
        &mut self,
        handle: Handle,
        member: MemberId,
        limit: Micros,
        afresh: bool,
        validity: Validity,
    ) {
        let Some(open) = self.open.get(&handle) else { return };
        let sent = Instant::now();
        let holder = (open.order.holder, open.best);
        if let Some(sight) = &mut self.sight {
            let place = self.peers[member].as_ref().map(|peer| (peer.group, peer.zone));
            sight.launched(handle, place, &self.decoded, &open.order);
        }
        let peer = self.peers[member].as_ref();
        let attempt = Attempt {
            handle,
            order: open.order.clone(),
            withdrawal: open.withdrawal.clone(),
            holder,
            sent,
            until: (sent + duration(limit)).min(self.context.clock.instant(open.deadline)),
            afresh,
            validity,
            replica_words: peer.map_or(0, |peer| peer.replica_words),
        };
        if peer.is_none_or(|peer| peer.commands.try_send(MemberCommand::Send(attempt)).is_err()) {
            warn!(self.context.log, "member's mailbox full, attempt not sent"; "member" => member);
            let (verdict, told) = (Verdict::Moot, Told::default());
            let gave = Gave::Nothing;
            let ended = Ended { handle, verdict, sent, took: 0, told, gave, replica_words: None };
            self.pending.push_back(Call::Ended(ended));
        }
    }

    /// A member found no descriptor free: idle connections of others make room, those that rested longest. Protects
    /// the rest, which are used again. One that is taken into use just then makes no room, so some are closed.
    pub(super) fn make_room(&mut self, member: MemberId) {
        let others = self.peers.iter().enumerate().filter(|(id, _)| *id != member);
        let resting = |(id, peer): (usize, &Option<Peer>)| Some((peer.as_ref()?.resting.get()?, id));
        let mut resting: Vec<_> = others.filter_map(resting).collect();
        resting.sort_unstable();
        for (_, id) in resting.into_iter().take(CLOSED_FOR_ROOM) {
            let Some(peer) = &self.peers[id] else { continue };
            peer.resting.set(None);
            if peer.commands.try_send(MemberCommand::Shed).is_err() {
                warn!(self.context.log, "member's mailbox full, it keeps its idle connections";
                    "member" => id);
            }
        }
    }
}
