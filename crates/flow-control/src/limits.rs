//! The operator's limits, their defaults, and a check that they allow at least one full-size request.

use crate::{Micros, Priority, Transfer};

const KIB: u64 = 1024;
const MILLISECOND: Micros = 1_000;

/// The slowest transfer allowed to a peer while the proxy waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// Bytes per second.
    pub bytes_per_second: u64,
    /// Time that the first bytes may take, in microseconds.
    pub start_allowance: Micros,
    /// Time that a peer may pause after transferring faster than the rate, in microseconds. It must be longer than
    /// this rate takes to transfer what a buffer on the way passes on at once.
    pub pause_allowance: Micros,
}

/// What the clients of one address may use together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressLimits {
    /// Maximum number of connections.
    pub connections: usize,
    /// Maximum buffer space in bytes.
    pub budget: u64,
}

/// Bytes in use at which buffer space starts and stops being short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureThresholds {
    /// Buffer space becomes short when more than this is in use.
    pub enter: u64,
    /// Buffer space stops being short when less than this is in use and no reservation waits.
    pub leave: u64,
}

/// The operator's limits on slow peers. Sizes are in bytes, durations in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowLimits {
    /// Total buffer space, in the proxy and in the kernel's socket buffers.
    pub budget: u64,
    /// The part of the budget that one connection may reserve.
    pub per_connection: u64,
    /// What the clients of one address may use; `None` if addresses are not limited, as behind a load balancer whose
    /// address all clients share.
    pub per_address: Option<AddressLimits>,
    /// The part of the budget that only [`Priority::Highest`] may use.
    pub priority_reserve: u64,
    /// When buffer space counts as short.
    pub pressure: PressureThresholds,
    /// Minimum rate of clients that read a response.
    pub to_client: MinimumRate,
    /// Minimum rate of clients that send the rest of a statement.
    pub from_client: MinimumRate,
    /// Minimum rate of members that have begun a response.
    pub from_member: MinimumRate,
    /// Minimum rate of members that read a statement.
    pub to_member: MinimumRate,
    /// Longest time that a reservation waits. A waiting reservation's attempt holds a slot at a member.
    pub reservation_timeout: Micros,
    /// Time after which a slow peer is disconnected even if nobody needs what it holds.
    pub max_slow_time: Micros,
    /// Time that the kernel keeps what a closed connection left unread. The bytes stay in use until then.
    pub linger_timeout: Micros,
    /// Time that clients have to read their responses once the proxy shuts down.
    pub shutdown_grace: Micros,
}

/// Three eighths of the memory are for buffers. The rest is for connections, small messages, the program, and what the
/// allocator keeps of freed buffers.
const BUDGET_EIGHTHS: u64 = 3;
/// One connection may hold a quarter of the budget. From 32 MB of memory on, that has room for one full-size
/// statement and one full-size response.
const CONNECTION_DIVISOR: u64 = 4;
/// An eighth of the budget is reserved for requests of [`Priority::Highest`].
const PRIORITY_RESERVE_DIVISOR: u64 = 8;

/// Buffers on the way to a client empty in steps of about 10 KiB, which take 1.3 s at this rate. Both allowances are
/// longer than that.
const TO_CLIENT: MinimumRate = MinimumRate {
    bytes_per_second: 8 * KIB,
    start_allowance: 2_000 * MILLISECOND,
    pause_allowance: 4_000 * MILLISECOND,
};

/// Statements are small. The start allowance equals the 2.5 s after which the proxy closes a connection that is
/// silent within a message (`ClientLimits::stall_timeout`).
const FROM_CLIENT: MinimumRate = MinimumRate {
    bytes_per_second: KIB,
    start_allowance: 2_500 * MILLISECOND,
    pause_allowance: 4_000 * MILLISECOND,
};

/// A healthy member sends 60 KB at twice this rate. A response that only trickles in fails after 0.3 s, which leaves
/// time to try another member.
const FROM_MEMBER: MinimumRate = MinimumRate {
    bytes_per_second: 32 * KIB,
    start_allowance: 300 * MILLISECOND,
    pause_allowance: 300 * MILLISECOND,
};

/// The same rate as for responses. A member may pause for longer before it reads, as such a pause does not mean that
/// it has failed.
const TO_MEMBER: MinimumRate =
    MinimumRate { start_allowance: 1_000 * MILLISECOND, pause_allowance: 1_000 * MILLISECOND, ..FROM_MEMBER };

/// A reservation's attempt holds a slot at its member while it waits. When reservations waited until the request's
/// deadline, only 0.208 of the requests of ordinary clients were answered in time (docs/slow-peers.md).
const RESERVATION_TIMEOUT: Micros = 250 * MILLISECOND;
/// Together with the start allowance of a client that reads, this allows 8 s without progress.
const MAX_SLOW_TIME: Micros = 6_000 * MILLISECOND;
/// The timeout that the kernel is given for what a closed connection left unread.
const LINGER_TIMEOUT: Micros = 5_000 * MILLISECOND;
/// Time to read responses after SIGTERM.
const SHUTDOWN_GRACE: Micros = 5_000 * MILLISECOND;

impl FlowLimits {
    /// The default limits for a proxy that may use this many bytes of memory. They allow a full-size request
    /// from 32 MB on.
    #[must_use]
    pub fn for_memory(memory: u64) -> FlowLimits {
        let budget = memory / 8 * BUDGET_EIGHTHS;
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

    /// The smallest budget, in bytes, in which a full-size statement and response fit beside the priority reserve.
    #[must_use]
    pub fn minimum_budget(&self, statement: u64, response: u64) -> u64 {
        statement + response + self.priority_reserve
    }

    /// Checks that a full-size statement and a full-size response, whose sizes are given in bytes, can be granted
    /// together.
    ///
    /// # Errors
    ///
    /// The first limit that is too small, with the smallest value that would suffice.
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

    /// The minimum rate of a client in this direction.
    #[must_use]
    pub fn minimum_rate(&self, transfer: Transfer) -> MinimumRate {
        match transfer {
            Transfer::ToPeer => self.to_client,
            Transfer::FromPeer => self.from_client,
        }
    }

    /// Bytes of the budget that reservations of this priority may use.
    pub(crate) fn available_to(&self, priority: Priority) -> u64 {
        match priority {
            Priority::Highest => self.budget,
            Priority::Normal => self.budget.saturating_sub(self.priority_reserve),
        }
    }
}

/// A limit that is too small for one full-size statement and one full-size response. Such a request could never be
/// served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlowLimitsError {
    /// [`FlowLimits::budget`] is too small for one full-size request beside [`FlowLimits::priority_reserve`].
    #[error(
        "buffer budget is too small for one full-size request; set at least {minimum} bytes or allow more memory"
    )]
    Budget {
        /// The smallest budget that would suffice, in bytes.
        minimum: u64,
    },
    /// [`FlowLimits::per_connection`] is too small for one full-size request.
    #[error(
        "buffer space per connection is too small for one full-size request; set at least {minimum} bytes"
    )]
    PerConnection {
        /// The smallest value that would suffice, in bytes.
        minimum: u64,
    },
    /// [`AddressLimits::budget`] is too small for one full-size request.
    #[error("buffer space per address is too small for one full-size request; set at least {minimum} bytes")]
    PerAddress {
        /// The smallest value that would suffice, in bytes.
        minimum: u64,
    },
    /// [`AddressLimits::connections`] is zero.
    #[error("connection limit per address is zero; set at least {minimum}")]
    ConnectionsPerAddress {
        /// The smallest number of connections that would suffice.
        minimum: u64,
    },
}
