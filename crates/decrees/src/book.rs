use std::collections::BTreeMap;

use crate::{About, Decree, Micros, Term};

/// Subjects of all duties together, and the longest body: what a driver keeps stays under 100 KB.
const SUBJECTS: usize = 96;
pub const BODY: usize = 900;
/// No decree lives longer, whatever it says.
const LIFE: Micros = 60_000_000;

/// A decree's place in its subject's order.
pub type Place = (Term, u64);

/// What became of a decree that came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Heard {
    /// It is in force, and news: it is to be passed on.
    News,
    /// As high a one is known, or a higher one.
    Known,
    /// A holder of a higher term was heard.
    Overtaken,
    /// Its life was over when it came.
    Late,
    /// It is too large, or there are too many subjects.
    NoRoom,
}

/// One line of a digest.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    pub about: About,
    pub place: Place,
}

#[derive(Clone, Debug)]
struct Standing {
    place: Place,
    by: String,
    until: Micros,
    body: Vec<u8>,
}

/// The decrees that a driver knows of, the highest of each subject.
#[derive(Clone, Debug, Default)]
pub struct Book {
    of: BTreeMap<About, Standing>,
    /// The highest term that was heard of each duty, and what an earlier start took: nothing lower is taken.
    terms: BTreeMap<String, Term>,
    floors: BTreeMap<About, Place>,
}

impl Book {
    /// `kept` is what an earlier start took, where it had a store.
    pub fn start(kept: impl IntoIterator<Item = (About, Place)>) -> Book {
        let mut book = Book::default();
        book.read(kept);
        book
    }

    /// What an earlier start took, where that could be read only now: nothing lower is taken from here on.
    pub fn read(&mut self, kept: impl IntoIterator<Item = (About, Place)>) {
        for (about, place) in kept {
            let term = self.terms.entry(about.duty.clone()).or_default();
            *term = place.0.max(*term);
            let floor = self.floors.entry(about).or_insert(place);
            *floor = place.max(*floor);
        }
    }

    /// A decree of this driver's own, which holds the duty under this term. `None` where there is no room, or where a
    /// higher term was heard: then it is its holder no longer.
    pub fn issue(
        &mut self,
        now: Micros,
        about: About,
        term: Term,
        by: &str,
        lasts: Micros,
        body: Vec<u8>,
    ) -> Option<Decree> {
        let highest = self.place(&about).unwrap_or((0, 0));
        let number = if highest.0 == term { highest.1 + 1 } else { 1 };
        let decree = Decree { about, term, number, by: by.to_owned(), left: lasts, body };
        (self.hear(now, 0, decree.clone()) == Heard::News).then_some(decree)
    }

    /// A decree came; `age` is how long it may have waited here unread.
    ///
    /// Protects a driver from words of a holder that was overtaken, of one that stood still, and from what comes late,
    /// doubled or out of order. Harms nobody: what is refused is said anew while it holds.
    pub fn hear(&mut self, now: Micros, age: Micros, decree: Decree) -> Heard {
        let Decree { about, term, number, by, left, body } = decree;
        let highest = self.terms.get(&about.duty).copied().unwrap_or(0);
        if term < highest {
            return Heard::Overtaken;
        }
        if self.place(&about).is_some_and(|known| known >= (term, number)) {
            return Heard::Known;
        }
        let left = left.min(LIFE) - age;
        if left <= 0 {
            return Heard::Late;
        }
        self.wake(now);
        if body.len() > BODY || !self.of.contains_key(&about) && self.of.len() >= SUBJECTS {
            return Heard::NoRoom;
        }
        if term > highest {
            self.terms.insert(about.duty.clone(), term);
        }
        self.floors.insert(about.clone(), (term, number));
        self.of.insert(about, Standing { place: (term, number), by, until: now + left, body });
        Heard::News
    }

    /// The highest term that was heard of a duty.
    pub fn highest_term(&self, duty: &str) -> Term {
        self.terms.get(duty).copied().unwrap_or(0)
    }

    /// The highest that was ever taken of this subject.
    pub fn place(&self, about: &About) -> Option<Place> {
        let standing = self.of.get(about).map(|of| of.place);
        standing.max(self.floors.get(about).copied())
    }

    /// Lets go of what has run out.
    pub fn wake(&mut self, now: Micros) {
        self.of.retain(|_, standing| now < standing.until);
        if self.floors.len() > 4 * SUBJECTS {
            // Subjects that are gone; their duties' terms still stand.
            let of = &self.of;
            self.floors.retain(|about, _| of.contains_key(about));
        }
    }

    /// What is decreed of this subject now.
    pub fn in_force(&self, now: Micros, about: &About) -> Option<&[u8]> {
        let standing = self.of.get(about).filter(|standing| now < standing.until);
        standing.map(|standing| &standing.body[..])
    }

    /// All subjects of a duty that something is decreed of now, with what.
    pub fn of_duty<'a>(&'a self, now: Micros, duty: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        let all = self.of.iter().filter(move |(about, of)| about.duty == duty && now < of.until);
        all.filter(|(about, _)| !about.subject.is_empty())
            .map(|(about, of)| (about.subject.as_str(), &of.body[..]))
    }

    /// Who holds a duty, as far as is known.
    pub fn holder(&self, now: Micros, duty: &str) -> Option<(&str, Term)> {
        let of = self.of.iter().filter(|(about, of)| about.duty == duty && now < of.until);
        of.max_by_key(|(_, of)| of.place.0).map(|(_, of)| (of.by.as_str(), of.place.0))
    }

    pub fn all(&self, now: Micros) -> impl Iterator<Item = Decree> {
        let live = self.of.iter().filter(move |(_, of)| now < of.until);
        live.map(move |(about, of)| Decree {
            about: about.clone(),
            term: of.place.0,
            number: of.place.1,
            by: of.by.clone(),
            left: of.until - now,
            body: of.body.clone(),
        })
    }

    pub fn digest(&self, now: Micros) -> Vec<Entry> {
        let live = self.of.iter().filter(|(_, of)| now < of.until);
        live.map(|(about, of)| Entry { about: about.clone(), place: of.place }).collect()
    }

    /// What whoever has this digest lacks; what runs out within the next moments is not worth the way.
    pub fn lacks(&self, now: Micros, digest: &[Entry]) -> Vec<Decree> {
        let theirs: BTreeMap<&About, Place> =
            digest.iter().map(|entry| (&entry.about, entry.place)).collect();
        let newer = |of: &Decree| theirs.get(&of.about).is_none_or(|&place| place < (of.term, of.number));
        self.all(now).filter(|of| newer(of) && of.left > 100_000).collect()
    }

    /// Whether a digest knows of something higher than this book.
    pub fn is_behind(&self, digest: &[Entry]) -> bool {
        let lower = |entry: &Entry| self.place(&entry.about).is_none_or(|place| place < entry.place);
        let overtaken =
            |entry: &Entry| self.terms.get(&entry.about.duty).is_some_and(|&term| entry.place.0 < term);
        digest.iter().any(|entry| lower(entry) && !overtaken(entry))
    }
}
