//! Terms that others took acts of: told to a holder of a lower one, and learnt from what is told.
//!
//! Voters that all forgot what they granted, under clocks behind those that earlier terms were made by, grant terms that
//! no driver takes. The driver that refuses says so, in a digest that names the highest term.

use aldermill_directives::{DigestEntry, Version};

use super::*;

impl Council {
    /// Says the highest term to those of whose duties a higher one was taken here.
    pub(super) fn tell_overtaken(&mut self, directives: &[Directive]) {
        let mut told: Vec<(String, DigestEntry)> = Vec::new();
        for directive in directives.iter().filter(|directive| directive.issuer != self.own.name) {
            let topic = Topic::new(&directive.topic.lease, "");
            let highest = self.directives.highest_term(&topic.lease);
            let known = |(by, entry): &(String, DigestEntry)| *by == directive.issuer && entry.topic == topic;
            if directive.version.term < highest && !told.iter().any(known) {
                told.push((
                    directive.issuer.clone(),
                    DigestEntry { topic, version: Version { term: highest, number: 0 } },
                ));
            }
        }
        for (by, entry) in told {
            frame::encode_digest(&[entry], true).iter().for_each(|words| self.say(&by, DECREE, words));
        }
    }

    /// What another driver's digest shows of terms.
    pub(super) fn learn_terms(&mut self, at: Moment, entries: &[DigestEntry], others: &[Rc<str>]) {
        for DigestEntry { topic, version } in entries {
            if self.duties.contains(&topic.lease) {
                let actions = self.participant.observe_term(at.now, at.wall, &topic.lease, version.term);
                self.carry_out(at, actions, others);
            }
        }
    }
}
