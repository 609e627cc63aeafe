//! The books on room: what is granted, what waits, and what closed connections left behind.

use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::{Micros, ReservationId, ReservationRequest};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Waiting,
    Granted,
    /// Its connection is closed; the system lets go of it by then.
    Lingering(Micros),
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Entry {
    pub address: Option<IpAddr>,
    pub request: ReservationRequest,
    state: State,
    position: QueuePosition,
}

/// The order in which reservations are looked at: best paid first, then by when they came, the larger later by the time
/// that their size takes at the least rate. No small reservation waits behind a large one that came just before.
type QueuePosition = (bool, Micros, u64);

#[derive(Debug, Default)]
pub(crate) struct BufferBudget {
    reservations: HashMap<ReservationId, Entry>,
    waiting: BTreeSet<(QueuePosition, ReservationId)>,
    lingering: BTreeSet<(Micros, ReservationId)>,
    used: u64,
    next: u64,
}

impl BufferBudget {
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    pub(crate) fn entry(&self, reservation: ReservationId) -> Option<&Entry> {
        self.reservations.get(&reservation)
    }

    /// Waiting reservations in their order.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (ReservationId, &Entry)> {
        self.waiting
            .iter()
            .filter_map(|&(_, reservation)| Some((reservation, self.reservations.get(&reservation)?)))
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(crate) fn wait(
        &mut self,
        now: Micros,
        address: Option<IpAddr>,
        request: ReservationRequest,
        rate: u64,
    ) -> ReservationId {
        let reservation = ReservationId(self.next);
        self.next += 1;
        let delay =
            Micros::try_from(request.bytes.saturating_mul(1_000_000) / rate.max(1)).unwrap_or(Micros::MAX);
        let position = (!request.owner.priority.is_highest(), now.saturating_add(delay), reservation.0);
        self.reservations.insert(reservation, Entry { address, request, state: State::Waiting, position });
        self.waiting.insert((position, reservation));
        reservation
    }

    pub(crate) fn grant(&mut self, reservation: ReservationId) {
        let Some(entry) =
            self.reservations.get_mut(&reservation).filter(|entry| entry.state == State::Waiting)
        else {
            return;
        };
        entry.state = State::Granted;
        self.used += entry.request.bytes;
        self.waiting.remove(&(entry.position, reservation));
    }

    /// Makes a granted reservation smaller and says by how much.
    pub(crate) fn shrink(&mut self, reservation: ReservationId, bytes: u64) -> u64 {
        let Some(entry) =
            self.reservations.get_mut(&reservation).filter(|entry| entry.state == State::Granted)
        else {
            return 0;
        };
        let less = entry.request.bytes.saturating_sub(bytes);
        entry.request.bytes -= less;
        self.used -= less;
        less
    }

    pub(crate) fn linger(&mut self, reservation: ReservationId, until: Micros) -> Option<Entry> {
        let entry = self.reservations.get_mut(&reservation).filter(|entry| entry.state == State::Granted)?;
        entry.state = State::Lingering(until);
        self.lingering.insert((until, reservation));
        Some(*entry)
    }

    /// Takes a reservation out of the books: what was granted is free again, what waited waits no more. Says whether
    /// its peer held it.
    pub(crate) fn remove(&mut self, reservation: ReservationId) -> Option<(Entry, bool)> {
        let entry = self.reservations.remove(&reservation)?;
        match entry.state {
            State::Waiting => {
                self.waiting.remove(&(entry.position, reservation));
            }
            State::Granted => self.used -= entry.request.bytes,
            State::Lingering(until) => {
                self.used -= entry.request.bytes;
                self.lingering.remove(&(until, reservation));
            }
        }
        Some((entry, entry.state == State::Granted))
    }

    /// Lets go of what the system no longer keeps of closed connections.
    pub(crate) fn expire(&mut self, now: Micros) {
        while let Some(&(until, reservation)) = self.lingering.first().filter(|(until, _)| *until <= now) {
            self.lingering.remove(&(until, reservation));
            if let Some(entry) = self.reservations.remove(&reservation) {
                self.used -= entry.request.bytes;
            }
        }
    }

    /// When something changes here by itself.
    pub(crate) fn due(&self) -> Option<Micros> {
        let given_up = self.waiting().map(|(_, entry)| entry.request.deadline).min();
        let let_go = self.lingering.first().map(|(until, _)| *until);
        given_up.into_iter().chain(let_go).min()
    }
}
