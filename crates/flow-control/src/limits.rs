//! The operator's limits, their defaults, and the check that they can hold one request.

use crate::{Micros, Priority, Transfer};

const KIB: u64 = 1024;
const MILLISECOND: Micros = 1_000;

/// The least that a peer must move while it is waited for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// Bytes a second.
    pub bytes_per_second: u64,
    /// How long the first bytes may take.
    pub start_allowance: Micros,
    /// How long a peer may pause that was quick before. Must be longer than the bytes that a buffer on the way passes on at a
    /// time take at this rate.
    pub pause_allowance: Micros,
}

/// What the clients of one address may have together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressLimits {
    /// Connections.
    pub connections: usize,
    /// Bytes of buffer space.
    pub budget: u64,
}

/// Levels of use between which buffer space counts as short, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureThresholds {
    /// Above it, buffer space is short.
    pub enter: u64,
    /// Below it, and with nothing waiting, it no longer is.
    pub leave: u64,
}

/// The operator's limits on slow peers. Sizes in bytes, spans in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowLimits {
    /// All buffer space, in the proxy and in the system's socket buffers.
    pub budget: u64,
    /// What one connection may reserve of it.
    pub per_connection: u64,
    /// What one address may have; `None` where a load balancer stands before the proxy and all clients have its address.
    pub per_address: Option<AddressLimits>,
    /// What only [`Priority::Highest`] may use of the budget.
    pub priority_reserve: u64,
    /// When buffer space counts as short.
    pub pressure: PressureThresholds,
    /// For clients that read a response.
    pub to_client: MinimumRate,
    /// For clients that send the rest of a statement.
    pub from_client: MinimumRate,
    /// For members that have begun a response.
    pub from_member: MinimumRate,
    /// For members that read a statement.
    pub to_member: MinimumRate,
    /// A reservation waits no longer than this: meanwhile its attempt holds a slot at a member.
    pub reservation_timeout: Micros,
    /// A peer that has been behind its rate for this long is disconnected even if nobody needs what it holds.
    pub max_slow_time: Micros,
    /// How long the system keeps what a closed connection left unread; it stays in use meanwhile.
    pub linger_timeout: Micros,
    /// How long responses may still be read once the proxy shuts down.
    pub shutdown_grace: Micros,
}

/// Half of the memory is for buffers; the rest is for connections, small messages and the program.
const BUDGET_DIVISOR: u64 = 2;
/// One connection may hold a quarter of the budget: room for one statement and one response of full size from 32 MB on.
const CONNECTION_DIVISOR: u64 = 4;
/// An eighth of the budget is reserved for the best paid requests.
const PRIORITY_RESERVE_DIVISOR: u64 = 8;

/// Buffers on the way to a client empty in steps of some 10 KiB, 1.3 s at this rate: both allowances are longer.
const TO_CLIENT: MinimumRate = MinimumRate {
    bytes_per_second: 8 * KIB,
    start_allowance: 2_000 * MILLISECOND,
    pause_allowance: 4_000 * MILLISECOND,
};

/// Statements are small. Their first bytes are due in 2.5 s by `limits.stalled` as well.
const FROM_CLIENT: MinimumRate = MinimumRate {
    bytes_per_second: KIB,
    start_allowance: 2_500 * MILLISECOND,
    pause_allowance: 4_000 * MILLISECOND,
};

/// A sound member sends 60 KB at twice this rate. A response that trickles ends after 0.3 s, which leaves time for another
/// member.
const FROM_MEMBER: MinimumRate = MinimumRate {
    bytes_per_second: 32 * KIB,
    start_allowance: 300 * MILLISECOND,
    pause_allowance: 300 * MILLISECOND,
};

/// As for responses, but a member may pause for longer before it reads: that is not its end.
const TO_MEMBER: MinimumRate =
    MinimumRate { start_allowance: 1_000 * MILLISECOND, pause_allowance: 1_000 * MILLISECOND, ..FROM_MEMBER };

/// An attempt that waits for space holds a slot at its member: waiting up to the deadline left usual clients 0.208 of their
/// requests in time (docs/slow-peers.md).
const RESERVATION_TIMEOUT: Micros = 250 * MILLISECOND;
/// With the start allowance of a client that makes 8 s without progress.
const MAX_SLOW_TIME: Micros = 6_000 * MILLISECOND;
/// The time-out that the system is given for what a closed connection left.
const LINGER_TIMEOUT: Micros = 5_000 * MILLISECOND;
/// After SIGTERM, how long responses may still be read.
const SHUTDOWN_GRACE: Micros = 5_000 * MILLISECOND;

impl FlowLimits {
    /// The defaults for a proxy that may use this many bytes of memory, sound from 32 MB on.
    #[must_use]
    pub fn for_memory(memory: u64) -> FlowLimits {
        let budget = memory / BUDGET_DIVISOR;
        FlowLimits {
            budget,
            per_connection: budget / CONNECTION_DIVISOR,
            per_address: None,
            priority_reserve: budget / PRIORITY_RESERVE_DIVISOR,
            pressure: PressureThresholds { enter: budget / 4 * 3, leave: budget / 2 },
            to_client: TO_CLIENT,
            from_client: FROM_CLIENT,
            from_member: FROM_MEMBER,
            to_member: TO_MEMBER,
            reservation_timeout: RESERVATION_TIMEOUT,
            max_slow_time: MAX_SLOW_TIME,
            linger_timeout: LINGER_TIMEOUT,
            shutdown_grace: SHUTDOWN_GRACE,
        }
    }

    /// The least budget in which a statement and a response of full size fit beside the priority reserve. Bytes.
    #[must_use]
    pub fn minimum_budget(&self, statement: u64, response: u64) -> u64 {
        statement + response + self.priority_reserve
    }

    /// Whether a statement and a response of full size, in bytes, can be granted at all.
    ///
    /// # Errors
    ///
    /// The first limit that is too small, and the least that would do.
    pub fn validate(&self, statement: u64, response: u64) -> Result<(), FlowLimitsError> {
        let total = statement + response;
        if self.budget < self.minimum_budget(statement, response) {
            return Err(FlowLimitsError::Budget { minimum: self.minimum_budget(statement, response) });
        }
        if self.per_connection < total {
            return Err(FlowLimitsError::PerConnection { minimum: total });
        }
        match self.per_address {
            Some(address) if address.budget < total => Err(FlowLimitsError::PerAddress { minimum: total }),
            Some(AddressLimits { connections: 0, .. }) => {
                Err(FlowLimitsError::ConnectionsPerAddress { minimum: 1 })
            }
            _ => Ok(()),
        }
    }

    /// What a client must move in this direction.
    #[must_use]
    pub fn minimum_rate(&self, transfer: Transfer) -> MinimumRate {
        match transfer {
            Transfer::ToPeer => self.to_client,
            Transfer::FromPeer => self.from_client,
        }
    }

    /// How much of the budget reservations of this priority may use in all, in bytes.
    pub(crate) fn available_to(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Highest => self.budget,
            Priority::Normal => self.budget.saturating_sub(self.priority_reserve),
        }
    }
}

/// A limit too small for one statement and one response of full size: such a request could never be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlowLimitsError {
    /// [`FlowLimits::budget`], beside [`FlowLimits::priority_reserve`].
    #[error(
        "buffer budget too small for one request of full size; allow at least {minimum} bytes, or more memory"
    )]
    Budget {
        /// The least that would do, in bytes.
        minimum: u64,
    },
    /// [`FlowLimits::per_connection`].
    #[error(
        "buffer space of one connection too small for one request of full size; allow at least {minimum} bytes"
    )]
    PerConnection {
        /// The least that would do, in bytes.
        minimum: u64,
    },
    /// [`AddressLimits::budget`].
    #[error(
        "buffer space of one address too small for one request of full size; allow at least {minimum} bytes"
    )]
    PerAddress {
        /// The least that would do, in bytes.
        minimum: u64,
    },
    /// [`AddressLimits::connections`].
    #[error("an address may have no connection; allow at least {minimum}")]
    ConnectionsPerAddress {
        /// The least that would do.
        minimum: u64,
    },
}
