//! Admission rules: whether a waiting reservation can be granted now, later or never.

use crate::buffer_budget::{BufferBudget, Reservation};
use crate::peers::PeerTable;
use crate::{FlowLimits, Priority};

/// The admission rules, over the state at one moment.
pub(crate) struct Admission<'a> {
    /// The limits in force.
    pub(crate) limits: &'a FlowLimits,
    /// All reservations.
    pub(crate) budget: &'a BufferBudget,
    /// The accounts of all peers.
    pub(crate) peers: &'a PeerTable,
}

impl Admission<'_> {
    /// Whether the reservation can be granted now.
    pub(crate) fn can_grant_now(&self, reservation: &Reservation) -> bool {
        self.used_if_granted(reservation) <= self.limits.available_to(reservation.priority())
            && self.is_eligible(reservation)
    }

    /// Whether the reservation could be granted if the budget had enough free space, i.e. its peer's limits and its
    /// fair share allow it.
    pub(crate) fn is_eligible(&self, reservation: &Reservation) -> bool {
        self.is_within_peer_limits(reservation) && self.is_within_fair_share(reservation)
    }

    /// Whether the reservation could be granted if no peer held anything.
    pub(crate) fn can_ever_grant(&self, reservation: &Reservation) -> bool {
        let available = self.limits.available_to(reservation.priority());
        reservation.bytes() <= available.min(self.limits.per_connection)
    }

    /// Whether the reservation's peer is connected and stays within the limits of one connection and one address.
    pub(crate) fn is_within_peer_limits(&self, reservation: &Reservation) -> bool {
        let reserved_if_granted = self.peers.reserved(reservation.peer()) + reservation.bytes();
        self.peers.is_connected(reservation.peer())
            && reserved_if_granted <= self.limits.per_connection
            && self.is_within_address_limit(reservation)
    }

    /// Whether the reservation's address stays within its limit. True if no limit per address applies.
    fn is_within_address_limit(&self, reservation: &Reservation) -> bool {
        let Some(address) = reservation.address else { return true };
        let Some(limits) = self.limits.per_address else { return true };
        self.peers.addresses.reserved(address) + reservation.bytes() <= limits.budget
    }

    /// Whether the reservation leaves its peer within its fair share. While buffer space is short, a peer that
    /// already holds some gets no more than an equal share of the budget, except for [`Priority::Highest`]. Otherwise
    /// one connection with many statements in flight takes what many others need. The cost is that a single peer with
    /// many large responses in flight is held up while most others need little.
    fn is_within_fair_share(&self, reservation: &Reservation) -> bool {
        let reserved = self.peers.reserved(reservation.peer());
        let above_threshold = self.used_if_granted(reservation) > self.limits.pressure.enter;
        if reserved == 0 || reservation.priority() == Priority::Highest || !above_threshold {
            return true;
        }
        let equal_share = self.limits.budget / self.peers.holder_count().max(1);
        reserved + reservation.bytes() <= equal_share
    }

    /// Bytes of the budget in use if the reservation is granted.
    fn used_if_granted(&self, reservation: &Reservation) -> u64 {
        self.budget.used() + reservation.bytes()
    }
}
