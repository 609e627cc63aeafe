//! What to do about a disk that is slow, full or gone. No I/O here.

use std::collections::VecDeque;

use crate::Micros;

/// How the disk does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// What is handed over is confirmed soon.
    Well,
    /// Confirmations come late: only what must be kept is handed over.
    Slow,
    /// Nothing is kept. Tried again at the time given.
    Without { until: Micros },
}

/// Whether work waits for the disk or goes on without it.
///
/// Protects the requests of everybody from a disk that stands still: what waits for a confirmation longer
/// than the patience goes on without, and nothing more is handed over for a while. Should also cover a full
/// disk and one that is gone. Harms what a crash meets meanwhile: it is unknown after it, and it was said
/// that it would be.
#[derive(Debug)]
pub struct Keeping {
    state: State,
    patience: Micros,
    /// How long it is left alone after a failure, doubled with each that follows at once.
    rest: Micros,
    wait: Micros,
    /// When what waits was handed over, the oldest first.
    waiting: VecDeque<Micros>,
    most: usize,
}

const LONGEST_REST: Micros = 60_000_000;

impl Keeping {
    /// `most` is how many writes may wait at once.
    pub fn start(patience: Micros, most: usize) -> Keeping {
        let rest = 1_000_000;
        Keeping { state: State::Well, patience, rest, wait: rest, waiting: VecDeque::new(), most }
    }

    pub fn state(&self) -> State {
        self.state
    }

    /// Whether a write is handed over. `must` marks what loses its meaning if it is not kept.
    pub fn hands_over(&mut self, now: Micros, must: bool) -> bool {
        match self.state {
            State::Without { until } if now < until => return false,
            // One write tries whether the disk is back.
            State::Without { .. } if !self.waiting.is_empty() => return false,
            State::Slow if !must => return false,
            _ => {}
        }
        if self.waiting.len() >= self.most {
            return false;
        }
        self.waiting.push_back(now);
        true
    }

    /// The oldest write that waits is confirmed.
    pub fn confirmed(&mut self, now: Micros) {
        let took = self.waiting.pop_front().map_or(0, |since| now - since);
        self.wait = self.rest;
        self.state = if took > self.patience / 2 { State::Slow } else { State::Well };
    }

    /// A write failed: nothing that waits is confirmed any more.
    pub fn failed(&mut self, now: Micros) {
        self.waiting.clear();
        self.state = State::Without { until: now + self.wait };
        self.wait = (self.wait * 2).min(LONGEST_REST);
    }

    /// Whether what waits for a confirmation goes on without one from now on.
    pub fn gives_up(&mut self, now: Micros) -> bool {
        let late = self.waiting.front().is_some_and(|&since| now - since > self.patience);
        if late {
            self.failed(now);
        }
        late
    }

    /// When `gives_up` is to be asked next.
    pub fn due(&self) -> Option<Micros> {
        self.waiting.front().map(|&since| since + self.patience + 1)
    }
}
