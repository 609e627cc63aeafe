//! The section `slow_peers`: buffer space, and when slow clients and members are disconnected.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The least rate at which a client or member must read or send while something waits for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MinimumRate {
    /// Bytes a second.
    #[schemars(range(min = 1))]
    pub bytes_a_second: Option<u64>,
    /// How long it may take until its first bytes, in milliseconds.
    pub start_ms: Option<u32>,
    /// How long one that was quick before may pause, in milliseconds.
    pub window_ms: Option<u32>,
}

/// When buffer space counts as short.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShortageLevel {
    /// From this used share of it on.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub enter: f64,
    /// Until the used share is below this one.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub leave: f64,
}

/// What one client address may use. Leave it out where a load balancer stands before the proxy and all clients have its
/// address.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AddressLimits {
    /// AddressLimits at once.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// Buffer space that they may use together, in KiB.
    pub room_kib: u64,
}

/// Buffer space for clients and members that move slowly, and when they are disconnected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SlowPeersConfig {
    /// All buffer space, in the program and in the system's buffers, in KiB. Half of the memory by default.
    pub room_kib: Option<u64>,
    /// What one connection may use of it, in KiB. A quarter of it by default.
    pub connection_kib: Option<u64>,
    /// What one client address may use. Off by default.
    pub per_address: Option<AddressLimits>,
    /// The share of it that only requests of the request class with the highest priority weight may use.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub best_paid_share: Option<f64>,
    /// When buffer space counts as short.
    pub short: Option<ShortageLevel>,
    /// Clients that are to read a response.
    pub reading: MinimumRate,
    /// Clients that are to send the rest of a statement.
    pub sending: MinimumRate,
    /// Members that have begun a response.
    pub answering: MinimumRate,
    /// Members that are to read a statement.
    pub taking: MinimumRate,
    /// How long a response waits for buffer space at most, in milliseconds: its attempt uses capacity of a member
    /// meanwhile.
    pub patience_ms: Option<u32>,
    /// Who is below the least rate for so long is disconnected even if nobody else needs its buffer space, in milliseconds.
    pub overdue_ms: Option<u32>,
    /// How long the system keeps what the other end of a closed connection has not read, in milliseconds.
    #[schemars(range(min = 1))]
    pub lingering_ms: Option<u32>,
    /// How long clients may still read responses once the program shuts down, in milliseconds.
    pub stopping_ms: Option<u32>,
    /// The system's send and receive buffer of a client's connection, in KiB. Read at the start only.
    #[schemars(range(min = 4))]
    pub buffer_kib: Option<u32>,
}
