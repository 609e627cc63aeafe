use std::collections::VecDeque;

use crate::Micros;

/// A loop that wakes every 20 ms at the least and did nothing for so long has stood still.
///
/// Protects what is measured from time in which nobody measured. Should also cover a machine that gives the process
/// no turn, which is the same to those who wait for it. Harms what is learnt from a loop that is only busy: some
/// milliseconds count as nobody's.
pub const STILL: Micros = 60_000;

/// Standstills remembered; older ones count no more.
const KEPT: usize = 32;

/// How long after a standstill what is read may have come in it, where nobody tells when it came.
const READING: Micros = 250_000;

/// What one process knows of its own standstills.
#[derive(Clone, Debug)]
pub struct Vigil {
    looked: Micros,
    /// From when to when, the newest last.
    stills: VecDeque<(Micros, Micros)>,
    stood: Micros,
}

impl Vigil {
    pub fn start(now: Micros) -> Vigil {
        Vigil { looked: now, stills: VecDeque::new(), stood: 0 }
    }

    /// To be called at the beginning of all that the loop does: a step that begins long after the last one began has
    /// a standstill before it.
    pub fn look(&mut self, now: Micros) {
        if now - self.looked > STILL {
            self.stills.push_back((self.looked, now));
            self.stood += now - self.looked;
            if self.stills.len() > KEPT {
                self.stills.pop_front();
            }
        }
        self.looked = self.looked.max(now);
    }

    /// All time spent standing.
    pub fn stood(&self) -> Micros {
        self.stood
    }

    /// Whether any standstill ended after that moment.
    pub fn stood_since(&self, since: Micros) -> bool {
        self.stills.back().is_some_and(|&(_, to)| to > since)
    }

    /// How much of the time from one moment to another was lived.
    pub fn lived(&self, from: Micros, to: Micros) -> Micros {
        let part = |&(began, ended): &(Micros, Micros)| (ended.min(to) - began.max(from)).max(0);
        to - from - self.stills.iter().map(part).sum::<Micros>()
    }

    /// Between when and when what is read at `now` came, the last byte at the latter, given when the same connection was last read and how long ago the system says
    /// that its last byte came. `None` is now, as far as anybody can tell.
    ///
    /// Protects clients that left from being served, and members from what nobody waits for any more. Harms what
    /// comes just behind a standstill where the system says nothing: it is taken for as old as that.
    pub fn came(&self, now: Micros, last_read: Micros, told: Option<Micros>) -> Option<(Micros, Micros)> {
        let &(from, to) = self.stills.back().filter(|&&(_, to)| to > last_read)?;
        // Nothing that was there when the loop last looked is read only now. Of standstills in a row the first counts.
        let mut stills =
            self.stills.iter().rev().take_while(|&&(_, to)| now - to < READING && to > last_read);
        let earliest = stills.by_ref().last().map_or(from, |&(from, _)| from);
        match told {
            Some(age) if now - age > to => None,
            Some(age) => Some((earliest, (now - age).max(earliest))),
            None => (now - to < READING).then_some((earliest, earliest)),
        }
    }
}
