//! The books on room: what is granted, what waits, and what closed connections left behind.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::handles::{Claim, Peer};
use crate::{Ask, Micros};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Granted,
    /// Its connection is closed; the system lets go of it by then.
    Lingering(Micros),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub peer: Peer,
    pub address: Option<IpAddr>,
    pub ask: Ask,
    state: State,
    turn: Turn,
}

/// The order in which claims are looked at: best paid first, then by when they came, the larger later by the time
/// that their size takes at the least rate. No small claim waits behind a large one that came just before.
type Turn = (bool, Micros, u64);

#[derive(Debug, Default)]
pub(crate) struct Room {
    claims: HashMap<Claim, Entry>,
    waiting: BTreeSet<(Turn, Claim)>,
    lingering: BTreeSet<(Micros, Claim)>,
    used: u64,
    next: u64,
}

impl Room {
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    pub(crate) fn entry(&self, claim: Claim) -> Option<&Entry> {
        self.claims.get(&claim)
    }

    /// Waiting claims in their order.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (Claim, &Entry)> {
        self.waiting.iter().filter_map(|&(_, claim)| Some((claim, self.claims.get(&claim)?)))
    }

    pub(crate) fn is_waited_for(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn wait(
        &mut self,
        now: Micros,
        peer: Peer,
        address: Option<IpAddr>,
        ask: Ask,
        rate: u64,
    ) -> Claim {
        let claim = Claim(self.next);
        self.next += 1;
        let delay =
            Micros::try_from(ask.bytes.saturating_mul(1_000_000) / rate.max(1)).unwrap_or(Micros::MAX);
        let turn = (!ask.best, now.saturating_add(delay), claim.0);
        self.claims.insert(claim, Entry { peer, address, ask, state: State::Waiting, turn });
        self.waiting.insert((turn, claim));
        claim
    }

    pub(crate) fn grant(&mut self, claim: Claim) {
        let Some(entry) = self.claims.get_mut(&claim).filter(|entry| entry.state == State::Waiting) else {
            return;
        };
        entry.state = State::Granted;
        self.used += entry.ask.bytes;
        self.waiting.remove(&(entry.turn, claim));
    }

    /// Makes a granted claim smaller and says by how much.
    pub(crate) fn shrink(&mut self, claim: Claim, bytes: u64) -> u64 {
        let Some(entry) = self.claims.get_mut(&claim).filter(|entry| entry.state == State::Granted) else {
            return 0;
        };
        let less = entry.ask.bytes.saturating_sub(bytes);
        entry.ask.bytes -= less;
        self.used -= less;
        less
    }

    pub(crate) fn linger(&mut self, claim: Claim, until: Micros) -> Option<Entry> {
        let entry = self.claims.get_mut(&claim).filter(|entry| entry.state == State::Granted)?;
        entry.state = State::Lingering(until);
        self.lingering.insert((until, claim));
        Some(*entry)
    }

    /// Takes a claim out of the books: what was granted is free again, what waited waits no more. Says whether
    /// its peer held it.
    pub(crate) fn remove(&mut self, claim: Claim) -> Option<(Entry, bool)> {
        let entry = self.claims.remove(&claim)?;
        match entry.state {
            State::Waiting => {
                self.waiting.remove(&(entry.turn, claim));
            }
            State::Granted => self.used -= entry.ask.bytes,
            State::Lingering(until) => {
                self.used -= entry.ask.bytes;
                self.lingering.remove(&(until, claim));
            }
        }
        Some((entry, entry.state == State::Granted))
    }

    /// Lets go of what the system no longer keeps of closed connections.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some(&(until, claim)) = self.lingering.first().filter(|(until, _)| *until <= now) {
            self.lingering.remove(&(until, claim));
            if let Some(entry) = self.claims.remove(&claim) {
                self.used -= entry.ask.bytes;
            }
        }
    }

    /// When something changes here by itself.
    pub(crate) fn due(&self) -> Option<Micros> {
        let given_up = self.waiting().map(|(_, entry)| entry.ask.until).min();
        let let_go = self.lingering.first().map(|(until, _)| *until);
        given_up.into_iter().chain(let_go).min()
    }
}
