//! Room and pace: what may wait for peers that move slowly, and which of them is cut off first.
//!
//! [`FlowController`] keeps the books over everything that waits for somebody: statements not yet whole, answers not yet
//! taken, what the system's buffers may still hold of either, and what is left of closed connections. A connection
//! is a [`PeerId`], a piece of room a [`ReservationId`]; what happens to either is a call on its handle. Every call brings
//! `now` and returns a [`Actions`]. Nothing here does I/O or has a clock.
//!
//! [`ProgressMeter`] says whether one peer moves quickly enough. Members' connections use it alone.

mod addresses;
mod buffer_budget;
mod controller;
mod drain_rate;
mod ids;
mod limits;
mod meter;

pub use controller::FlowController;
pub use ids::{PeerId, ReservationId};
pub use limits::{AddressLimits, FlowLimits, FlowLimitsError, MinimumRate, PressureThresholds};
pub use meter::ProgressMeter;

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// Whether a request may use the part of the budget that is reserved for the best paid class.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Priority {
    /// Any other class.
    Normal,
    /// The best paid request class.
    Highest,
}

impl Priority {
    /// Whether it is the best paid class.
    pub fn is_highest(self) -> bool {
        self == Priority::Highest
    }
}

/// For whom buffer space is reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationOwner {
    pub peer: PeerId,
    pub priority: Priority,
}

/// What a reservation is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReservationRequest {
    pub owner: ReservationOwner,
    pub bytes: u64,
    /// Until when it may wait for room; `now` or earlier is not at all.
    pub deadline: Micros,
}

/// What a peer has to do with what waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transfer {
    /// It is to read an answer.
    ToPeer,
    /// It is to send the rest of a statement.
    FromPeer,
}

/// Why a peer is disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DisconnectReason {
    /// Others want the room that it holds.
    BufferSpace,
    /// Others want its place.
    ConnectionSlot,
    /// It was under the least rate for too long.
    TooSlow,
    /// The program is to end.
    Shutdown,
}

/// A peer whose connection is to be closed without another byte.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Disconnect {
    pub peer: PeerId,
    pub reason: DisconnectReason,
}

/// Why a connection is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConnectionLimitReached {
    /// Its address has all the connections that one may have.
    #[error("the address has all the connections that one may have")]
    PerAddress,
    /// One of its address was cut off a moment ago, and room is short.
    #[error("a connection of the address was disconnected a moment ago, and buffer space is short")]
    RecentlyDisconnected,
}

/// Room has become short, or is no longer so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureChange {
    pub under_pressure: bool,
    pub used: u64,
    pub waiting: usize,
}

/// What the caller is to do now, and when to wake the controller again.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Actions {
    pub granted: Vec<ReservationId>,
    pub rejected: Vec<ReservationId>,
    /// To be closed without another byte; [`FlowController::unregister`] is due when that is done.
    pub disconnect: Vec<Disconnect>,
    /// Told when it changes.
    pub pressure: Option<PressureChange>,
    pub wake_at: Option<Micros>,
}
