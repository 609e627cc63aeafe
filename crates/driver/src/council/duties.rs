//! What there is to decide under the duties that this driver holds, and what it tells and keeps to under all.

use super::*;

/// What a driver has while it holds a duty under one term.
pub(super) struct Holding<T>(Option<(Term, T)>);

impl<T> Holding<T> {
    pub(super) fn none() -> Holding<T> {
        Holding(None)
    }

    /// What it has under this term, begun anew with each; nothing without a term.
    pub(super) fn under(&mut self, term: Option<Term>, begin: impl FnOnce() -> T) -> Option<&mut T> {
        if self.0.as_ref().map(|(of, _)| *of) != term {
            self.0 = term.map(|term| (term, begin()));
        }
        self.get_mut()
    }

    pub(super) fn get(&self) -> Option<&T> {
        self.0.as_ref().map(|(_, of)| of)
    }

    pub(super) fn get_mut(&mut self) -> Option<&mut T> {
        self.0.as_mut().map(|(_, of)| of)
    }
}

impl Council {
    /// Says anew what it decrees under the duties that it holds; whether it may is asked before each.
    pub(super) fn decree(&mut self, now: Micros, others: &[Rc<str>]) {
        let mut decrees = Vec::new();
        for duty in self.duties.clone() {
            let Some(term) = self.agreement.may_act(now, &duty) else { continue };
            let about = About::new(&duty, "");
            match self.book.issue(now, about, term, &self.own.name, LASTS, Vec::new()) {
                Some(decree) => decrees.push(decree),
                None => warn!(self.log, "a higher term was heard"; "duty" => &duty, "term" => term),
            }
        }
        self.pass_on(&decrees, 0, others);
    }

    /// Decides what there is to decide under the duties that it holds.
    pub(super) fn work(&mut self, at: Moment, others: &[Rc<str>]) {
        let (now, living) = (at.now, others.len() + 1);
        let Council { agreement, book, ledger, own, zones, splits, leaving, .. } = self;
        let mut decided = Vec::new();
        if let Some(zones) = zones {
            let term = agreement.may_act(now, work::DUTY);
            decided.push((work::DUTY, term, zones.decide(now, term, ledger, book)));
        }
        if let Some(splits) = splits {
            let term = agreement.may_act(now, splits::DUTY);
            decided.push((splits::DUTY, term, splits.decide(now, term, ledger, book, living)));
        }
        if let Some(leaving) = leaving {
            let term = agreement.may_act(now, leaving::DUTY);
            let living: Vec<&str> = others.iter().map(|name| &**name).chain([&*own.name]).collect();
            decided.push((leaving::DUTY, term, leaving.decide(at, term, ledger, book, &living)));
        }
        let mut decrees = Vec::new();
        for (duty, term, bodies) in decided {
            for (subject, body) in bodies {
                // The lease is looked at before each act.
                if let Some(term) = term.filter(|_| agreement.may_act(now, duty) == term) {
                    decrees.extend(book.issue(now, About::new(duty, &subject), term, &own.name, LASTS, body));
                }
            }
        }
        self.pass_on(&decrees, 0, others);
    }

    /// What this driver saw, to be reported.
    pub fn saw(&mut self, seen: Seen) {
        if let Some((about, body)) = self.leaving.as_mut().map(|leaving| leaving.report(&seen)) {
            self.reporter.put(about, body);
        }
        let splits = self.splits.as_ref().map(|splits| splits.report(&seen));
        let zones = self.zones.as_ref().map(|zones| zones.report(seen));
        for (about, body) in splits.into_iter().chain(zones).flatten() {
            self.reporter.put(about, body);
        }
    }

    /// What is decreed for this driver's zone, where that has changed.
    pub fn leans(&mut self, now: Micros) -> Option<Vec<(Group, Lean)>> {
        let book = &self.book;
        self.zones.as_mut().and_then(|zones| zones.obey(now, book))
    }

    /// What is decreed of sites that retire, where that has changed.
    pub fn plans(&mut self, now: Micros) -> Option<Vec<Plan>> {
        let book = &self.book;
        let (acting, keeps) =
            self.leaving.as_mut().map(|leaving| leaving.obey(now, book)).unwrap_or_default();
        for plan in keeps {
            self.keep(Record::Bound(plan));
        }
        acting
    }

    /// The operator's file was read anew.
    pub fn reread(&mut self, now: Micros, wanted: Wanted) {
        self.leaving.iter_mut().for_each(|leaving| leaving.reread(&wanted.retire));
        self.splits.iter_mut().for_each(|splits| splits.reread(now, &wanted.cuts));
    }
}
