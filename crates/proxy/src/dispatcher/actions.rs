//! Carries out what the router says is to be done: answers, attempts, health checks.

use aldermill_routing::{Action, Actions, Effect, Handle, MemberId, MemberReport, Micros, Validity, Verdict};
use slog::warn;
use tokio::time::Instant;

use super::Dispatcher;
use super::endpoints::Peer;
use crate::clock::duration;
use crate::messages::{Answer, Attempt, Call, ClientMessage, Ended, Gave, MemberCommand};

/// Idle connections that are closed where one descriptor is wanted.
const CLOSED_FOR_ROOM: usize = 3;

impl Dispatcher {
    /// Its member answered, but there is no room for that: what is pure may be rejected, anything else did
    /// run.
    pub(super) fn deny_for_room(&mut self, handle: Handle) {
        let Some(open) = self.open.get(&handle) else { return };
        let Ok(class) = self.decoded.class(&open.order.comment.class) else { return };
        let answer = self.without_room(class);
        self.answer(handle, answer);
    }

    /// What a client hears whose answer finds no room.
    pub(crate) fn without_room(&self, class: usize) -> Answer {
        let terms = &self.decoded.terms;
        match terms.classes[class].effect {
            Effect::Pure => {
                Answer::Rejected { cool_down: self.context.gate.come_back().min(terms.max_cool_down) }
            }
            _ => Answer::Failed,
        }
    }

    /// Gives a request its one answer.
    pub(super) fn answer(&mut self, handle: Handle, answer: Answer) {
        let Some(open) = self.open.get_mut(&handle) else { return };
        let Some((client, mailbox)) = open.client.take() else { return };
        if let Some(via) = open.via {
            return self.here_answered(via, answer);
        }
        self.by_client.remove(&client);
        // Its mailbox always has room for the answers it waits for; it may be gone.
        let _ = mailbox.try_send(ClientMessage::Answer(client, answer));
    }

    pub(crate) fn carry_out(&mut self, actions: Actions) {
        for (handle, step) in actions.requests {
            match step {
                Action::Attempt { member, timeout, afresh, validity } => {
                    self.send_attempt(handle, member, timeout, afresh, validity)
                }
                Action::Reject { cool_down } => self.answer(handle, Answer::Rejected { cool_down }),
                Action::Fail => self.answer(handle, Answer::Failed),
            }
            self.release(handle);
        }
        for member in actions.health_checks {
            let sent = Instant::now();
            let until = sent + self.context.limits.health_check;
            let peer = self.peers[member].as_ref();
            if peer.is_none_or(|peer| peer.commands.try_send(MemberCommand::Probe { sent, until }).is_err()) {
                let (verdict, report) = (Verdict::NotSent, MemberReport::default());
                let replica_words = peer.map_or(0, |peer| peer.replica_words);
                self.pending.push_back(Call::HealthChecked {
                    member,
                    verdict,
                    took: 0,
                    report,
                    replica_words,
                });
            }
        }
        for member in actions.shut {
            if let Some(peer) = &self.peers[member] {
                // A full mailbox means that its connections are wanted.
                let _ = peer.commands.try_send(MemberCommand::CloseIdle);
            }
        }
        if actions.subscribe
            && let Some(requests) = &self.requests
        {
            let _ = requests.try_send(());
        }
        if let Some(at) = actions.wake_at {
            self.wake_at = at;
        }
    }

    fn send_attempt(
        &mut self,
        handle: Handle,
        member: MemberId,
        timeout: Micros,
        afresh: bool,
        validity: Validity,
    ) {
        let Some(open) = self.open.get(&handle) else { return };
        let sent = Instant::now();
        let holder = (open.order.holder, open.best);
        if let Some(observations) = &mut self.observations {
            let place = self.peers[member].as_ref().map(|peer| (peer.group, peer.zone));
            observations.attempted(handle, place, &self.decoded, &open.order);
        }
        let peer = self.peers[member].as_ref();
        let attempt = Attempt {
            handle,
            order: open.order.clone(),
            withdrawal: open.withdrawal.clone(),
            holder,
            sent,
            until: (sent + duration(timeout)).min(self.context.clock.instant(open.deadline)),
            afresh,
            validity,
            replica_words: peer.map_or(0, |peer| peer.replica_words),
        };
        if peer.is_none_or(|peer| peer.commands.try_send(MemberCommand::Send(attempt)).is_err()) {
            warn!(self.context.log, "member's mailbox full, attempt not sent"; "member" => member);
            let (verdict, report) = (Verdict::NotSent, MemberReport::default());
            let gave = Gave::Nothing;
            let ended = Ended { handle, verdict, sent, took: 0, report, gave, replica_words: None };
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
