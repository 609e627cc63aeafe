//! What callers hold. What happens to either is a call on it, see `pace.rs`.

/// One connection in the books.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PeerId(pub(crate) u64);

/// A piece of room, asked for or granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReservationId(pub(crate) u64);
