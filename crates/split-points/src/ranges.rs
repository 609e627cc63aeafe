use crate::{Advice, Advisor, Micros, Picture, Said, State};

/// A range is looked at for a cut where it has so many times its even share of the group.
const LARGE: f64 = 1.25;
/// Two neighbours that together cost under so much of a usual range are better one.
const COLD: f64 = 0.3;
const WINDOW: Micros = 10_000_000;
/// In so many windows running.
const HOLDS: usize = 3;

/// What is said of one range of a group.
#[derive(Clone, Debug, PartialEq)]
pub struct RangeAdvice {
    /// Its first key; empty for the group's first range.
    pub from: Vec<u8>,
    /// Its share of the group's cost, and how far that may be off.
    pub share: f64,
    pub within: f64,
    /// It and the one before are better one: nothing else is said of it.
    pub merges: bool,
    pub advice: Advice,
}

#[derive(Clone, Debug)]
struct Range {
    from: Vec<u8>,
    advisor: Advisor,
    /// For how many windows it and the one before have been cold.
    cold: usize,
}

/// Keeps the recommendations for one group, which its operators have cut into ranges or not.
#[derive(Clone, Debug)]
pub struct Ranges {
    next: Micros,
    ranges: Vec<Range>,
}

impl Ranges {
    /// `standing` tells what an earlier holder proposed for the range with that first key.
    pub fn start(now: Micros, cuts: &[Vec<u8>], standing: impl Fn(&[u8]) -> Option<Vec<u8>>) -> Ranges {
        let mut ranges = Ranges { next: now, ranges: Vec::new() };
        ranges.cut(now, cuts, standing);
        ranges
    }

    /// The operators have cut it so. What is known of a range that is as it was stays.
    pub fn cut(&mut self, now: Micros, cuts: &[Vec<u8>], standing: impl Fn(&[u8]) -> Option<Vec<u8>>) {
        let bounds = |ranges: &[Range], at: usize| {
            (ranges[at].from.clone(), ranges.get(at + 1).map(|next| next.from.clone()))
        };
        let before = std::mem::take(&mut self.ranges);
        let mut froms: Vec<Vec<u8>> = cuts.iter().filter(|cut| !cut.is_empty()).cloned().collect();
        froms.push(Vec::new());
        froms.sort();
        froms.dedup();
        for (at, from) in froms.iter().enumerate() {
            let own = (from.clone(), froms.get(at + 1).cloned());
            let known = (0..before.len()).find(|&old| bounds(&before, old) == own);
            let advisor =
                known.map_or_else(|| Advisor::start(now, standing(from)), |old| before[old].advisor.clone());
            self.ranges.push(Range { from: from.clone(), advisor, cold: 0 });
        }
    }

    pub fn len(&self) -> usize {
        self.ranges.len()
    }

    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// What is said now; `usual` is what a range costs on average over all groups, `living` how many drivers there are.
    ///
    /// Protects operators from cuts of ranges that are not large among their group's, and from many cold ones. Harms a
    /// group that is cold for half a minute and then is not: merged, it has to be cut again.
    pub fn look(&mut self, now: Micros, picture: &Picture, living: usize, usual: f64) -> Vec<RangeAdvice> {
        let count = self.ranges.len();
        let froms: Vec<Vec<u8>> = self.ranges.iter().map(|range| range.from.clone()).collect();
        let parts: Vec<Picture> = (0..count)
            .map(|at| picture.between(&froms[at], froms.get(at + 1).map(|next| &next[..])))
            .collect();
        let all = picture.cost().max(f64::EPSILON);
        let within = picture.within();
        let window = now >= self.next;
        if window {
            self.next = now + WINDOW;
        }
        let mut said = Vec::new();
        for (at, range) in self.ranges.iter_mut().enumerate() {
            let share = parts[at].cost() / all;
            let mut advice = range.advisor.look(now, parts[at].clone(), living);
            let known = !matches!(advice.said, Said::Uncovered { .. });
            if known && window && at > 0 {
                let pair = parts[at - 1].cost() + parts[at].cost() + within * all;
                range.cold = if pair < COLD * usual { range.cold + 1 } else { 0 };
            }
            // A range that is none too large among several is left whole, whatever a cut would do to it.
            if count > 1 && known && share - within < LARGE / count as f64 && advice.state != State::Proposed
            {
                advice.said = Said::Balanced;
            }
            let merges = range.cold >= HOLDS;
            said.push(RangeAdvice { from: range.from.clone(), share, within, merges, advice });
        }
        said
    }
}
