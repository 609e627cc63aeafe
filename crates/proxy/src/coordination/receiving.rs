//! Handling of the datagrams that other proxies send to coordination.

use std::rc::Rc;

use aldermill_directives::frame::{self, Message};
use aldermill_directives::{DigestEntry, Directive, Micros, ReceiveOutcome, Report};
use aldermill_leases::Incarnation;
use aldermill_membership::Peer;
use slog::info;

use super::interface::CallTime;
use super::records::Record;
use super::{Coordination, DIRECTIVE_MESSAGE, LEASE_MESSAGE};

impl Coordination {
    /// Handles a datagram of another proxy. `age` is how long it may have waited here unread, in microseconds. A
    /// datagram that cannot be decoded is ignored.
    pub fn receive(
        &mut self,
        at: CallTime,
        age: Micros,
        from: &Peer,
        payload: &[u8],
        live_peers: &[Rc<str>],
    ) {
        let Some((&kind, bytes)) = payload.split_first() else { return };
        self.load_stored_state(at.now);
        match kind {
            LEASE_MESSAGE => self.receive_lease_message(at, from, bytes, live_peers),
            DIRECTIVE_MESSAGE => match frame::decode(bytes) {
                Ok(Message::Directives(directives)) => {
                    self.receive_directives(at.now, age, directives, live_peers);
                }
                Ok(Message::Digest { entries, is_answer }) => {
                    self.receive_digest(at, from, &entries, is_answer, live_peers);
                }
                Ok(Message::Report(report)) => self.receive_report(at.now, age, from, report),
                Err(_) => {}
            },
            _ => {}
        }
    }

    /// Handles a message of the lease protocol. Its age does not matter: a message from before a stall says nothing
    /// about the current state of the leases, and its sender repeats it.
    fn receive_lease_message(&mut self, at: CallTime, from: &Peer, bytes: &[u8], live_peers: &[Rc<str>]) {
        let Ok(message) = aldermill_leases::frame::decode(bytes) else { return };
        let from = Incarnation { name: from.name.to_string(), start: from.start };
        let actions = self.participant.receive(at.now, at.wall_clock_ms, &from, &message);
        self.apply_actions(at, actions, live_peers);
    }

    fn receive_directives(
        &mut self,
        now: Micros,
        age: Micros,
        directives: Vec<Directive>,
        live_peers: &[Rc<str>],
    ) {
        self.notify_superseded_issuers(&directives);
        let mut new = directives;
        new.retain(|directive| self.accept(now, age, directive));
        self.forward(&new, age, live_peers);
    }

    fn receive_digest(
        &mut self,
        at: CallTime,
        from: &Peer,
        entries: &[DigestEntry],
        is_answer: bool,
        live_peers: &[Rc<str>],
    ) {
        self.observe_terms(at, entries, live_peers);
        let missing = self.directives.missing_from(at.now, entries);
        if !missing.is_empty() {
            self.send_directive_messages(&from.name, frame::encode_directives(&missing));
        }
        if !is_answer && self.directives.is_behind(entries) {
            let own = frame::encode_digest(&self.directives.digest(at.now), true);
            self.send_directive_messages(&from.name, own);
        }
    }

    fn receive_report(&mut self, now: Micros, age: Micros, from: &Peer, report: Report) {
        if self.participant.may_act(now, &report.topic.lease).is_some() {
            self.reports.receive(now, age, &from.name, from.start, report);
        }
    }

    /// Stores a directive and returns whether it is new. If it names a new term, the term is logged and persisted.
    fn accept(&mut self, now: Micros, age: Micros, directive: &Directive) -> bool {
        let lease = &directive.topic.lease;
        let term = directive.version.term;
        let known_term = self.directives.holder(now, lease).map(|holder| holder.term);
        let is_new = self.directives.receive(now, age, directive.clone()) == ReceiveOutcome::New;
        if is_new && known_term != Some(term) {
            info!(self.log, "lease held by another"; "holder" => &directive.issuer, "term" => term, "lease" => lease);
            self.persist(Record::Accepted { lease: lease.clone(), term });
        }
        is_new
    }
}
