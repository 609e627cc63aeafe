//! Terms that others took acts of: told to a holder of a lower one, and learnt from what is told.
//!
//! Voters that all forgot what they granted, under clocks behind those that earlier terms were made by, grant terms that
//! no driver takes. The driver that refuses says so, in a digest that names the highest term.

use aldermill_decrees::Entry;

use super::*;

impl Council {
    /// Says the highest term to those of whose duties a higher one was taken here.
    pub(super) fn tell_overtaken(&mut self, decrees: &[Decree]) {
        let mut told: Vec<(String, Entry)> = Vec::new();
        for decree in decrees.iter().filter(|decree| decree.by != self.own.name) {
            let about = About::new(&decree.about.duty, "");
            let highest = self.book.highest_term(&about.duty);
            let known = |(by, entry): &(String, Entry)| *by == decree.by && entry.about == about;
            if decree.term < highest && !told.iter().any(known) {
                told.push((decree.by.clone(), Entry { about, place: (highest, 0) }));
            }
        }
        for (by, entry) in told {
            frame::digest(&[entry], true).iter().for_each(|words| self.say(&by, DECREE, words));
        }
    }

    /// What another driver's digest shows of terms.
    pub(super) fn learn_terms(&mut self, at: Moment, entries: &[Entry], others: &[Rc<str>]) {
        for Entry { about, place } in entries {
            if self.duties.contains(&about.duty) {
                let todo = self.agreement.saw(at.now, at.wall, &about.duty, place.0);
                self.carry_out(at, todo, others);
            }
        }
    }
}
