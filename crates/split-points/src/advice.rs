use std::collections::VecDeque;

use crate::{Cut, Micros, Picture, Shape};

/// A window, and in how many of them a point has to show before it is proposed.
const WINDOW: Micros = 10_000_000;
const HOLDS: usize = 3;
/// A point stands as long as the larger side has no more than that; a move has to be worth it.
const WORTH: f64 = 0.62;
/// Of the drivers that live, how many have to be heard.
const COVERAGE: f64 = 0.6;
/// The share left of a fixed point falls by so much with each window where keys are taken in order.
const FRONT: f64 = 0.05;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Nothing to say, or not yet.
    Seen,
    Proposed,
    /// It held, and does not any more.
    Withdrawn,
}

/// Why there is a point, or none.
#[derive(Clone, Debug, PartialEq)]
pub enum Said {
    Unknown,
    /// Too few drivers are heard: so many of those that live.
    Uncovered {
        heard: usize,
        living: usize,
    },
    Even,
    HotKey {
        key: Vec<u8>,
        share: f64,
    },
    /// Load is at ever new keys: any cut in their midst is soon behind them. From there on they belong to a new range.
    Front {
        from: Vec<u8>,
    },
    /// It is one of several ranges, and none too large among them.
    Balanced,
    /// It has not held for long enough.
    Waits,
    Cut(Cut),
}

/// What is said of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct Advice {
    pub state: State,
    pub said: Said,
    pub drivers: usize,
    pub cost: f64,
}

/// Keeps the recommendation for one group.
#[derive(Clone, Debug)]
pub struct Advisor {
    next: Micros,
    /// The last windows' pictures, the newest last.
    windows: VecDeque<Picture>,
    shapes: VecDeque<Shape>,
    standing: Option<Vec<u8>>,
    /// For how many windows a standing point has not been worth keeping.
    off: usize,
}

impl Advisor {
    /// `standing` is what an earlier holder of the duty proposed.
    pub fn start(now: Micros, standing: Option<Vec<u8>>) -> Advisor {
        Advisor { next: now, windows: VecDeque::new(), shapes: VecDeque::new(), standing, off: 0 }
    }

    /// What is said now. Windows are counted here, whenever it is called; `living` is how many drivers there are.
    ///
    /// Protects operators from moves for the load of some seconds, or for what few drivers saw. Harms a group whose load
    /// has just moved by three windows.
    pub fn look(&mut self, now: Micros, picture: Picture, living: usize) -> Advice {
        let (drivers, cost) = (picture.drivers, picture.cost());
        let advice = |state, said| Advice { state, said, drivers, cost };
        if (drivers as f64) < COVERAGE * living as f64 {
            // What stands goes on standing: nothing is known against it.
            let state = self.standing.as_ref().map_or(State::Seen, |_| State::Proposed);
            return advice(state, Said::Uncovered { heard: drivers, living });
        }
        if now >= self.next {
            self.next = now + WINDOW;
            self.shapes.push_back(picture.shape());
            self.windows.push_back(picture.clone());
            if self.windows.len() > HOLDS {
                self.windows.pop_front();
                self.shapes.pop_front();
            }
            self.settle(&picture);
        }
        if let Some(at) = &self.standing {
            let (left, within) = picture.below(at);
            let mut cut = Cut { at: at.clone(), left, within, writes: [0.0; 2] };
            if let Some(Shape::Cuts(now)) = self.shapes.back() {
                cut.writes = now.writes;
            }
            return advice(State::Proposed, Said::Cut(cut));
        }
        let said = match (self.front(), self.shapes.back()) {
            (_, None | Some(Shape::Unknown)) => Said::Unknown,
            (_, Some(Shape::HotKey { key, share })) => Said::HotKey { key: key.clone(), share: *share },
            (Some(from), _) => Said::Front { from },
            (None, Some(Shape::Even)) => Said::Even,
            (None, Some(Shape::Cuts(_))) => Said::Waits,
        };
        advice(if self.off > 0 { State::Withdrawn } else { State::Seen }, said)
    }

    /// Once a window: whether a point is proposed, changed or withdrawn.
    fn settle(&mut self, picture: &Picture) {
        if let Some(at) = &self.standing {
            let (left, within) = picture.below(at);
            let worse = left.max(1.0 - left) - within > WORTH;
            let helps = !matches!(self.shapes.back(), Some(Shape::HotKey { .. }));
            self.off = if worse && helps { self.off + 1 } else { 0 };
            if self.off < HOLDS {
                return;
            }
            self.standing = None;
        }
        let Some(Shape::Cuts(cut)) = self.shapes.back().cloned() else { return };
        if self.windows.len() >= HOLDS && self.agree(&cut) && self.front().is_none() {
            (self.standing, self.off) = (Some(cut.at), 0);
        }
    }

    /// Whether the point would have halved each of the last windows as well.
    fn agree(&self, cut: &Cut) -> bool {
        let held = |window: &Picture| {
            let (left, within) = window.below(&cut.at);
            (left - 0.5).abs() <= (cut.within + within).max(0.05)
        };
        self.windows.iter().all(held)
    }

    /// Where keys are taken in order: what lay below the first window's middle is ever less of the load.
    fn front(&self) -> Option<Vec<u8>> {
        let middle = self.windows.front()?.middle()?;
        let left: Vec<(f64, f64)> = self.windows.iter().map(|window| window.below(middle)).collect();
        let falls = left.windows(2).all(|pair| pair[1].0 + FRONT < pair[0].0 && pair[1].0 + pair[1].1 < 0.5);
        let last = self.windows.back()?.middle()?;
        (self.windows.len() >= HOLDS && falls).then(|| last.to_vec())
    }
}
