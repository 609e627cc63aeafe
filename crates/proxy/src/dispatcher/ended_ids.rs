//! Ids of requests that have ended and may have had an effect.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use aldermill_routing::Micros;

/// How long an id is remembered after its request has ended, in microseconds.
const REMEMBERED_FOR: Micros = 10_000_000;
/// Number of ids that are remembered before older ones are forgotten.
const MAX_REMEMBERED: usize = 16_384;

/// The ids of requests that ended a short time ago and may have had an effect. Ids are new for each request, a client's
/// retry included: whoever sends one again, as a client that left before its answer may, must not have the request run
/// again.
///
/// Ids are remembered by a keyed hash, so that an entry is small however long the id is. The cost: once in some 10^15
/// requests, another id is taken for a remembered one and refused.
#[derive(Default)]
pub(super) struct EndedIds {
    hasher: RandomState,
    /// Hashes of the ids, and when each is forgotten.
    forgotten_at: HashMap<u64, Micros>,
    /// The same, oldest first.
    oldest: VecDeque<(Micros, u64)>,
}

impl EndedIds {
    /// Remembers an id from `now` on.
    pub(super) fn remember(&mut self, now: Micros, id: &str) {
        self.forget_old(now);
        if self.oldest.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        let (hash, forgotten_at) = (self.hasher.hash_one(id), now + REMEMBERED_FOR);
        self.forgotten_at.insert(hash, forgotten_at);
        self.oldest.push_back((forgotten_at, hash));
    }

    /// Returns whether the id is remembered.
    pub(super) fn contains(&self, now: Micros, id: &str) -> bool {
        !self.forgotten_at.is_empty()
            && self
                .forgotten_at
                .get(&self.hasher.hash_one(id))
                .is_some_and(|&forgotten_at| now < forgotten_at)
    }

    fn forget_old(&mut self, now: Micros) {
        while self.oldest.front().is_some_and(|&(forgotten_at, _)| forgotten_at <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((forgotten_at, hash)) = self.oldest.pop_front() else { return };
        // The id may have been remembered again since.
        if self.forgotten_at.get(&hash) == Some(&forgotten_at) {
            self.forgotten_at.remove(&hash);
        }
    }
}
