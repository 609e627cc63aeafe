//! Exchange of the highest accepted terms: lease holders under a lower term are notified, and this proxy takes over
//! higher terms from other proxies.
//!
//! If all voters lose their state while their clocks are behind those that earlier terms were based on, they grant
//! terms that are too low, and no proxy accepts directives under them. A proxy that rejects such a directive sends
//! its issuer a digest that contains the highest term of the lease.

use std::rc::Rc;

use aldermill_directives::frame;
use aldermill_directives::{DigestEntry, Directive, Topic, Version};

use super::Coordination;
use super::interface::CallTime;

/// A digest with one entry, which notifies a superseded lease holder of a higher term.
struct TermNotice {
    to: String,
    entry: DigestEntry,
}

impl Coordination {
    /// Notifies the issuers of directives under superseded terms of the highest term, once for each issuer and lease.
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

    /// Passes the terms in a digest of another proxy to the lease protocol.
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
