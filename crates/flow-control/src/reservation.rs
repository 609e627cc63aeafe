//! Buffer space on request: who asks, for what, and what names the request afterwards.

use crate::Micros;

/// Names one connection, from its registration until it is unregistered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerId(pub(crate) u64);

/// Names one reservation, waiting or granted, until it is released. Never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(pub(crate) u64);

/// Which part of the budget a reservation may use. The higher one is served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// All but the priority reserve.
    Normal,
    /// The whole budget, [`FlowLimits::priority_reserve`](crate::FlowLimits::priority_reserve) included: requests of the
    /// best paid class.
    Highest,
}

impl Priority {
    /// Whether it may use the priority reserve.
    #[must_use]
    pub fn is_highest(self) -> bool {
        self == Priority::Highest
    }
}

/// For whom buffer space is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationOwner {
    /// The connection that it counts for.
    pub peer: PeerId,
    /// Of the request that it is for.
    pub priority: Priority,
}

/// A request for buffer space.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// For whom.
    pub owner: ReservationOwner,
    /// How much, in bytes.
    pub bytes: u64,
    /// Until when it may wait; at `now` or earlier it is granted at once or not at all.
    pub deadline: Micros,
}
