//! Terms under which others accepted directives: a lease holder under a lower term is told of them, and this proxy learns them
//! from others.
//!
//! Voters that all forgot what they granted, under clocks behind those by which earlier terms were made, grant terms whose
//! directives no proxy accepts. The proxy that refuses says so, in a digest that names the highest term.

use std::rc::Rc;

use aldermill_directives::frame;
use aldermill_directives::{DigestEntry, Directive, Topic, Version};

use super::Coordination;
use super::interface::CallTime;

/// The digest that a superseded lease holder is sent.
struct TermNotice {
    to: String,
    entry: DigestEntry,
}

impl Coordination {
    /// Tells the issuers of refused directives the highest term of their lease, each lease once.
    pub(super) fn notify_superseded_issuers(&mut self, directives: &[Directive]) {
        let mut notices: Vec<TermNotice> = Vec::new();
        for directive in directives.iter().filter(|directive| directive.issuer != self.incarnation.name) {
            let topic = Topic::new(&directive.topic.lease, "");
            let highest = self.directives.highest_term(&topic.lease);
            let is_same = |notice: &TermNotice| notice.to == directive.issuer && notice.entry.topic == topic;
            if directive.version.term < highest && !notices.iter().any(is_same) {
                let version = Version { term: highest, number: 0 };
                notices
                    .push(TermNotice { to: directive.issuer.clone(), entry: DigestEntry { topic, version } });
            }
        }
        for TermNotice { to, entry } in notices {
            self.send_directive_messages(&to, frame::encode_digest(&[entry], true));
        }
    }

    /// Takes the terms that another proxy's digest shows.
    pub(super) fn observe_terms(&mut self, at: CallTime, entries: &[DigestEntry], live_peers: &[Rc<str>]) {
        for DigestEntry { topic, version } in entries {
            if self.leases.contains(&topic.lease) {
                let actions =
                    self.participant.observe_term(at.now, at.wall_clock_ms, &topic.lease, version.term);
                self.apply_actions(at, actions, live_peers);
            }
        }
    }
}
