//! Requests for buffer space, and the ids of peers and reservations.

use crate::Micros;

/// Identifies one connection from its registration until it is unregistered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerId(pub(crate) u64);

/// Identifies one reservation, waiting or granted, until it is released. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(pub(crate) u64);

/// Determines how much of the budget a reservation may use. Waiting reservations of the higher priority are
/// considered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// May use the budget without the priority reserve.
    Normal,
    /// May use the whole budget including [`FlowLimits::priority_reserve`](crate::FlowLimits::priority_reserve). For
    /// requests of the request class with the highest priority weight.
    Highest,
}

impl Priority {
    /// Whether a reservation of this priority may use the priority reserve.
    #[must_use]
    pub fn is_highest(self) -> bool {
        self == Priority::Highest
    }
}

/// The connection and the priority that a reservation belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationOwner {
    /// The connection that the reservation is charged to.
    pub peer: PeerId,
    /// The priority of the request that the space is for.
    pub priority: Priority,
}

/// A request for buffer space.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    /// The connection and the priority to reserve for.
    pub owner: ReservationOwner,
    /// Size of the reservation in bytes.
    pub bytes: u64,
    /// Time until which the reservation may wait. At `now` or earlier it is granted at once or rejected.
    pub deadline: Micros,
}
