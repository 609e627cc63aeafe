use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use fnv::FnvHasher;

use crate::{Grants, Micros};

/// Losses that count.
const WINDOW: Micros = 300_000_000;
/// Held back after the first loss; twice as long after each further one.
const FIRST: Micros = 1_000_000;
const MOST: Micros = 60_000_000;

#[derive(Clone, Debug, Default)]
struct Candidate {
    able: bool,
    losses: VecDeque<Micros>,
}

/// Who may hold duties, and whom one goes to.
#[derive(Clone, Debug, Default)]
pub struct Candidates {
    of: BTreeMap<String, Candidate>,
}

impl Candidates {
    /// A driver is there, and says whether it can do what duties need.
    pub fn heard(&mut self, name: &str, able: bool) {
        self.of.entry(name.to_owned()).or_default().able = able;
    }

    /// It is gone.
    pub fn gone(&mut self, name: &str) {
        if let Some(candidate) = self.of.get_mut(name) {
            candidate.able = false;
        }
    }

    /// It held a duty, and the lease ran out under it.
    pub fn lost_one(&mut self, now: Micros, name: &str) {
        let losses = &mut self.of.entry(name.to_owned()).or_default().losses;
        losses.push_back(now);
        losses.retain(|&at| now - at < WINDOW);
    }

    /// Until when one that lost duties is given none.
    ///
    /// Protects duties from a driver that takes them again and again and cannot keep them. Harms one that was unlucky, by a
    /// second; where nobody else is able it is taken all the same.
    pub fn held_back_until(&self, name: &str) -> Micros {
        let Some(losses) = self.of.get(name).map(|candidate| &candidate.losses) else { return Micros::MIN };
        let Some(&last) = losses.back() else { return Micros::MIN };
        last + (FIRST << (losses.len() - 1).min(6)).min(MOST)
    }

    /// Whom a free duty goes to: who holds fewest, among equals by a draw that all make alike from the names.
    pub fn choose(&self, now: Micros, grants: &Grants, duty: &str) -> Option<&str> {
        let able = || self.of.iter().filter(|(_, candidate)| candidate.able).map(|(name, _)| name.as_str());
        let rank = |name: &&str| (grants.held_by(name), draw(duty, name));
        let rested = able().filter(|name| now >= self.held_back_until(name)).min_by_key(rank);
        rested.or_else(|| able().min_by_key(|name| self.held_back_until(name)))
    }
}

/// Both names hashed, and mixed once more: names that differ in their last letter are far apart.
fn draw(duty: &str, name: &str) -> u64 {
    let mut hasher = FnvHasher::default();
    [duty.as_bytes(), &[0], name.as_bytes()].into_iter().for_each(|part| hasher.write(part));
    let hash = hasher.finish();
    (hash ^ hash >> 29).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
