use crate::{Micros, Transfer};

/// The least that a peer must move while something waits for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MinimumRate {
    /// Bytes a second.
    pub rate: u64,
    /// How long it may take before its first bytes.
    pub start: Micros,
    /// How far ahead quick bytes may put it: so long may a quick peer pause.
    pub window: Micros,
}

/// What one address may have, where addresses tell clients apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AddressLimits {
    pub connections: usize,
    pub budget: u64,
}

/// Levels of use, in bytes, between which buffer space is short.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PressureThresholds {
    /// Above it, buffer space is short.
    pub enter: u64,
    /// Below it, buffer space is short no longer.
    pub leave: u64,
}

/// A limit that cannot hold what the proxy must be able to take in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FlowLimitsError {
    /// The whole budget cannot hold a statement and a response of full size beside the priority reserve.
    #[error("buffer budget too small, at least {minimum} bytes are needed")]
    Budget {
        /// In bytes.
        minimum: u64,
    },
    /// What one connection may hold is less than a statement and a response of full size.
    #[error("buffer space of one connection too small, at least {minimum} bytes are needed")]
    PerConnection {
        /// In bytes.
        minimum: u64,
    },
    /// What one address may hold is less than a statement and a response of full size.
    #[error("buffer space of one address too small, at least {minimum} bytes are needed")]
    PerAddress {
        /// In bytes.
        minimum: u64,
    },
    /// No address may have a connection.
    #[error("an address must be allowed {minimum} connection at least")]
    ConnectionsPerAddress {
        /// Connections.
        minimum: u64,
    },
}

/// The operator's limits on what waits. Sizes in bytes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FlowLimits {
    /// All that waits, in the program and in the system's buffers.
    pub budget: u64,
    /// What one connection may hold of it.
    pub per_connection: u64,
    /// Off where a front stands before the driver and all clients have its address.
    pub per_address: Option<AddressLimits>,
    /// What only requests of the best paid request class may use.
    pub priority_reserve: u64,
    /// When room is short.
    pub pressure: PressureThresholds,
    /// For clients that are to read an answer, and for those that are to send the rest of a statement.
    pub to_client: MinimumRate,
    pub from_client: MinimumRate,
    /// For members that have begun an answer, and for those that are to take a statement.
    pub from_member: MinimumRate,
    pub to_member: MinimumRate,
    /// No longer than this is room waited for: who waits holds a place at a member.
    pub reservation_timeout: Micros,
    /// Who is under the least rate for so long is cut off in any case.
    pub max_time_behind: Micros,
    /// How long the system keeps what a closed connection has not taken.
    pub linger: Micros,
    /// Once the program is to end, how long answers may still be read.
    pub shutdown_grace: Micros,
}

const MS: Micros = 1_000;

impl FlowLimits {
    /// Limits that are right from 32 MB on, for a program that may use so much memory.
    pub fn for_memory(memory: u64) -> FlowLimits {
        let budget = memory / 2;
        let member = MinimumRate { rate: 32 * 1024, start: 300 * MS, window: 300 * MS };
        FlowLimits {
            budget,
            per_connection: budget / 4,
            per_address: None,
            priority_reserve: budget / 8,
            pressure: PressureThresholds { enter: budget / 4 * 3, leave: budget / 2 },
            // Buffers on the way empty in steps of some 10 KiB, which a reader at this rate takes in 1.3 s.
            to_client: MinimumRate { rate: 8 * 1024, start: 2_000 * MS, window: 4_000 * MS },
            from_client: MinimumRate { rate: 1024, start: 2_500 * MS, window: 4_000 * MS },
            from_member: member,
            to_member: MinimumRate { start: 1_000 * MS, window: 1_000 * MS, ..member },
            reservation_timeout: 250 * MS,
            max_time_behind: 6_000 * MS,
            linger: 5_000 * MS,
            shutdown_grace: 5_000 * MS,
        }
    }

    /// The least room with which a statement and an answer of full size fit beside the reserved part.
    pub fn minimum_budget(&self, statement: u64, response: u64) -> u64 {
        statement + response + self.priority_reserve
    }

    /// Whether everything allowed by itself can be granted at all; else the bound at fault and the least that
    /// would do.
    pub fn validate(&self, statement: u64, response: u64) -> Result<(), FlowLimitsError> {
        let both = statement + response;
        if self.budget < self.minimum_budget(statement, response) {
            return Err(FlowLimitsError::Budget { minimum: self.minimum_budget(statement, response) });
        }
        if self.per_connection < both {
            return Err(FlowLimitsError::PerConnection { minimum: both });
        }
        match self.per_address {
            Some(address) if address.budget < both => Err(FlowLimitsError::PerAddress { minimum: both }),
            Some(address) if address.connections == 0 => {
                Err(FlowLimitsError::ConnectionsPerAddress { minimum: 1 })
            }
            _ => Ok(()),
        }
    }

    pub fn minimum_rate(&self, transfer: Transfer) -> MinimumRate {
        match transfer {
            Transfer::ToPeer => self.to_client,
            Transfer::FromPeer => self.from_client,
        }
    }
}
