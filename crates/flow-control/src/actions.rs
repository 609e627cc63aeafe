//! What the controller returns: what its caller is to do, and why a connection was not accepted.

use crate::{Micros, PeerId, ReservationId};

/// What the caller is to do now, and when to call [`FlowController::wake`](crate::FlowController::wake) next.
///
/// A result that is dropped leaves clients waiting for reservations that were granted already.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "actions are to be carried out"]
pub struct Actions {
    /// Reservations that waited and are granted now, in the order of their queue.
    pub granted: Vec<ReservationId>,
    /// Reservations that waited and never will be granted.
    pub rejected: Vec<ReservationId>,
    /// Peers to disconnect without another byte; [`FlowController::unregister`](crate::FlowController::unregister) is due
    /// once that is done.
    pub disconnect: Vec<Disconnect>,
    /// Set when buffer space became short, or ceased to be.
    pub pressure: Option<PressureChange>,
    /// When to wake the controller, unless another call comes first; `None` where nothing is due.
    pub wake_at: Option<Micros>,
}

/// A peer to disconnect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// Whom.
    pub peer: PeerId,
    /// Why.
    pub reason: DisconnectReason,
}

/// Why a peer is disconnected. It was behind its minimum rate, whatever the reason, but for
/// [`DisconnectReason::Shutdown`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DisconnectReason {
    /// Others need the buffer space that it holds.
    BufferSpace,
    /// Another client needs its connection slot.
    ConnectionSlot,
    /// It was behind for longer than [`FlowLimits::max_slow_time`](crate::FlowLimits::max_slow_time).
    TooSlow,
    /// The proxy is shutting down, and it is behind or has used up
    /// [`FlowLimits::shutdown_grace`](crate::FlowLimits::shutdown_grace).
    Shutdown,
}

/// Why a connection is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionLimitReached {
    /// The client's address has as many connections as one address may have.
    #[error(
        "connection limit of the client's address reached; raise per_address.connections if it is a load balancer"
    )]
    PerAddress,
    /// A client of this address was disconnected a moment ago, and buffer space is short.
    #[error(
        "a slow client of the same address was just disconnected and buffer space is short; it may retry shortly"
    )]
    RecentlyDisconnected,
}

/// Buffer space became short, or ceased to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureChange {
    /// Whether buffer space is short from now on.
    pub under_pressure: bool,
    /// Bytes in use, what closed connections left included.
    pub used: u64,
    /// How many reservations wait.
    pub waiting: usize,
}
