//! Room and pace: what may wait for peers that move slowly, and which of them is cut off first.
//!
//! [`Pace`] keeps the books over everything that waits for somebody: statements not yet whole, answers not yet
//! taken, what the system's buffers may still hold of either, and what is left of closed connections. A connection
//! is a [`Peer`], a piece of room a [`Claim`]; what happens to either is a call on its handle. Every call brings
//! `now` and returns a [`Actions`]. Nothing here does I/O or has a clock.
//!
//! [`Meter`] says whether one peer moves quickly enough. Members' connections use it alone.

mod addresses;
mod bounds;
mod handles;
mod meter;
mod pace;
mod room;
mod turnover;

pub use bounds::{Bounds, Least, PerAddress};
pub use handles::{Claim, Peer};
pub use meter::Meter;
pub use pace::Pace;

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// What a claim is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    pub bytes: u64,
    /// For a request of the best paid request class, which may use the part kept for those.
    pub best: bool,
    /// How long it may wait for room; `now` or earlier is not at all.
    pub until: Micros,
}

/// What a peer has to do with what waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It is to read an answer.
    Reading,
    /// It is to send the rest of a statement.
    Sending,
}

/// Why a peer is cut off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Why {
    /// Others want the room that it holds.
    Room,
    /// Others want its place.
    Slot,
    /// It was under the least rate for too long.
    Overdue,
    /// The program is to end.
    Stopping,
}

/// Why a connection is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TooMany {
    /// Its address has all the connections that one may have.
    AtAddress,
    /// One of its address was cut off a moment ago, and room is short.
    CutLately,
}

/// Room has become short, or is no longer so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pressure {
    pub short: bool,
    pub used: u64,
    pub waiting: usize,
}

/// What the caller is to do now, and when to wake the books again.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Actions {
    pub granted: Vec<Claim>,
    pub refused: Vec<Claim>,
    /// To be closed without another byte; `Peer::left` is due when that is done.
    pub cut: Vec<(Peer, Why)>,
    /// Told when it changes.
    pub pressure: Option<Pressure>,
    pub wake_at: Option<Micros>,
}
