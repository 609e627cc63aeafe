//! Ids of requests that have ended and may have had an effect.

use std::collections::{HashMap, VecDeque};
use std::hash::{BuildHasher, RandomState};

use aldermill_flow_control::PeerId;
use aldermill_routing::Micros;

/// How long an id is remembered after its request has ended, in microseconds.
const REMEMBERED_FOR: Micros = 10_000_000;
/// Number of ids that are remembered before older ones are forgotten.
const MAX_REMEMBERED: usize = 16_384;

/// An id that is remembered.
#[derive(Clone, Copy)]
struct EndedId {
    /// Connection that the request came on.
    connection: PeerId,
    forgotten_at: Micros,
}

/// The ids of requests that ended a short time ago and may have had an effect. Ids are new for each request, a client's
/// retry included: whoever sends one again on another connection, as a client that left before it had read its answer
/// may, must not have the request run again. A client that is still connected has read its answer, and knows what it
/// does.
///
/// Ids are remembered by a keyed hash, so that an entry is small however long the id is. The cost: once in some 10^15
/// requests, another id is taken for a remembered one and refused.
#[derive(Default)]
pub(super) struct EndedIds {
    hasher: RandomState,
    /// Remembered ids by their hashes.
    remembered: HashMap<u64, EndedId>,
    /// Hashes of the ids and when each is forgotten, oldest first.
    oldest: VecDeque<(Micros, u64)>,
}

impl EndedIds {
    /// Remembers the id of a request that came on this connection, from `now` on.
    pub(super) fn remember(&mut self, now: Micros, id: &str, connection: PeerId) {
        self.forget_old(now);
        if self.oldest.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        let (hash, forgotten_at) = (self.hasher.hash_one(id), now + REMEMBERED_FOR);
        self.remembered.insert(hash, EndedId { connection, forgotten_at });
        self.oldest.push_back((forgotten_at, hash));
    }

    /// Returns whether the id is remembered of a request that came on another connection.
    pub(super) fn contains(&self, now: Micros, id: &str, connection: PeerId) -> bool {
        let ended = self.remembered.get(&self.hasher.hash_one(id));
        ended.is_some_and(|ended| now < ended.forgotten_at && ended.connection != connection)
    }

    fn forget_old(&mut self, now: Micros) {
        while self.oldest.front().is_some_and(|&(forgotten_at, _)| forgotten_at <= now) {
            self.forget_oldest();
        }
    }

    fn forget_oldest(&mut self) {
        let Some((forgotten_at, hash)) = self.oldest.pop_front() else { return };
        // The id may have been remembered again since.
        if self.remembered.get(&hash).is_some_and(|ended| ended.forgotten_at == forgotten_at) {
            self.remembered.remove(&hash);
        }
    }
}
