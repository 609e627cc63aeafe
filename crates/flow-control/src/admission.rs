//! Whether a waiting reservation can be granted: now, later, or never.

use crate::buffer_budget::{BufferBudget, Reservation};
use crate::peers::PeerTable;
use crate::{FlowLimits, Priority};

/// The rules of admission, over the state at one moment.
pub(crate) struct Admission<'a> {
    pub(crate) limits: &'a FlowLimits,
    pub(crate) budget: &'a BufferBudget,
    pub(crate) peers: &'a PeerTable,
}

impl Admission<'_> {
    /// Whether it can be granted now.
    pub(crate) fn can_grant_now(&self, reservation: &Reservation) -> bool {
        self.used_if_granted(reservation) <= self.limits.available_to(reservation.priority())
            && self.is_eligible(reservation)
    }

    /// Whether nothing but the space that others hold keeps it from being granted.
    pub(crate) fn is_eligible(&self, reservation: &Reservation) -> bool {
        self.is_within_peer_limits(reservation) && self.is_within_fair_share(reservation)
    }

    /// Whether it could be granted if nobody else held anything.
    pub(crate) fn can_ever_grant(&self, reservation: &Reservation) -> bool {
        let available = self.limits.available_to(reservation.priority());
        reservation.bytes() <= available.min(self.limits.per_connection)
    }

    /// Whether its peer is connected, and stays within what one connection and one address may reserve.
    pub(crate) fn is_within_peer_limits(&self, reservation: &Reservation) -> bool {
        let reserved_if_granted = self.peers.reserved(reservation.peer()) + reservation.bytes();
        self.peers.is_connected(reservation.peer())
            && reserved_if_granted <= self.limits.per_connection
            && self.is_within_address_limit(reservation)
    }

    fn is_within_address_limit(&self, reservation: &Reservation) -> bool {
        let Some(address) = reservation.address else { return true };
        let Some(limits) = self.limits.per_address else { return true };
        self.peers.addresses.reserved(address) + reservation.bytes() <= limits.budget
    }

    /// While space is short, a peer that has something already gets no more than an equal share of the budget: without that
    /// one connection with many statements in flight takes what many others need. The cost: a single peer with many large
    /// responses in flight is held up while most others want little.
    fn is_within_fair_share(&self, reservation: &Reservation) -> bool {
        let reserved = self.peers.reserved(reservation.peer());
        let above_threshold = self.used_if_granted(reservation) > self.limits.pressure.enter;
        if reserved == 0 || reservation.priority() == Priority::Highest || !above_threshold {
            return true;
        }
        let equal_share = self.limits.budget / self.peers.holder_count().max(1);
        reserved + reservation.bytes() <= equal_share
    }

    fn used_if_granted(&self, reservation: &Reservation) -> u64 {
        self.budget.used() + reservation.bytes()
    }
}
