//! Results of controller calls: the actions that the caller must carry out, and the reasons for rejecting a
//! connection.

use crate::{Micros, PeerId, ReservationId};

/// Actions for the caller to carry out now, and the time of the next call of
/// [`FlowController::wake`](crate::FlowController::wake).
///
/// Dropping the result leaves clients waiting for reservations that were already granted.
#[derive(Debug, Default, PartialEq, Eq)]
#[must_use = "the caller must carry out these actions"]
pub struct Actions {
    /// Reservations that are granted by this call, in queue order.
    pub granted: Vec<ReservationId>,
    /// Reservations that are rejected by this call and will never be granted.
    pub rejected: Vec<ReservationId>,
    /// Peers to disconnect without sending another byte. The caller must call
    /// [`FlowController::unregister`](crate::FlowController::unregister) after closing each connection.
    pub disconnect: Vec<Disconnect>,
    /// Set when buffer space became short or stopped being short; `None` if that did not change.
    pub pressure: Option<PressureChange>,
    /// When to call `wake` if no other call comes first; `None` if nothing is scheduled.
    pub wake_at: Option<Micros>,
}

/// A peer to disconnect, and the reason.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnect {
    /// The peer.
    pub peer: PeerId,
    /// Why the peer is disconnected.
    pub reason: DisconnectReason,
}

/// Why a peer is disconnected. For every reason except [`DisconnectReason::Shutdown`] the peer was slow, i.e. behind
/// its minimum rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DisconnectReason {
    /// Other peers need the buffer space that the peer holds.
    BufferSpace,
    /// A new client needs the peer's connection slot.
    ConnectionSlot,
    /// The peer was slow for [`FlowLimits::max_slow_time`](crate::FlowLimits::max_slow_time).
    TooSlow,
    /// The proxy is shutting down, and the peer is slow or did not finish within
    /// [`FlowLimits::shutdown_grace`](crate::FlowLimits::shutdown_grace).
    Shutdown,
}

/// Why a connection is not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionLimitReached {
    /// The client's address already has as many connections as [`AddressLimits`](crate::AddressLimits) allows.
    #[error(
        "connection limit of the client's address reached; raise per_address.connections if it is a load balancer"
    )]
    PerAddress,
    /// A client of the same address was disconnected a moment ago, and buffer space is short.
    #[error(
        "a slow client of the same address was just disconnected and buffer space is short; it may retry shortly"
    )]
    RecentlyDisconnected,
}

/// Reports that buffer space became short, or stopped being short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureChange {
    /// Whether buffer space is short from now on.
    pub under_pressure: bool,
    /// Bytes of the budget in use, including what closed connections left in the kernel.
    pub used: u64,
    /// Number of waiting reservations.
    pub waiting: usize,
}
