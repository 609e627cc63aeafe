use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The least that a peer must move while something waits for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct MinimumRate {
    /// Bytes a second.
    #[schemars(range(min = 1))]
    pub bytes_a_second: Option<u64>,
    /// How long it may take before its first bytes, in milliseconds.
    pub start_ms: Option<u32>,
    /// How long a peer that was quick before may pause, in milliseconds.
    pub window_ms: Option<u32>,
}

/// When room counts as short.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShortageLevel {
    /// From this share of the room on.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub enter: f64,
    /// Until it is below this one.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub leave: f64,
}

/// What one address may have. Leave it out where a front stands before the driver and all clients have its address.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct AddressLimits {
    /// AddressLimits at once.
    #[schemars(range(min = 1))]
    pub connections: u32,
    /// What they may hold together, in KiB.
    pub room_kib: u64,
}

/// What may wait for clients and members that move slowly, and when they are cut off.
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct SlowPeersConfig {
    /// All that may wait, in the program and in the system's buffers, in KiB. Half of the memory by default.
    pub room_kib: Option<u64>,
    /// What one connection may hold of it, in KiB. A quarter of the room by default.
    pub connection_kib: Option<u64>,
    /// What one address may have. Off by default.
    pub per_address: Option<AddressLimits>,
    /// The share of the room that only requests of the best paid request class may use.
    #[schemars(range(min = 0.0, max = 1.0))]
    pub best_paid_share: Option<f64>,
    /// When room counts as short.
    pub short: Option<ShortageLevel>,
    /// Clients that are to read an answer.
    pub reading: MinimumRate,
    /// Clients that are to send the rest of a statement.
    pub sending: MinimumRate,
    /// Members that have begun an answer.
    pub answering: MinimumRate,
    /// Members that are to take a statement.
    pub taking: MinimumRate,
    /// How long an answer waits for room at most, in milliseconds: its attempt holds a place at a member
    /// meanwhile.
    pub patience_ms: Option<u32>,
    /// Who is under the least rate for so long is cut off though nobody wants its room, in milliseconds.
    pub overdue_ms: Option<u32>,
    /// How long the system keeps what a closed connection has not taken, in milliseconds.
    #[schemars(range(min = 1))]
    pub lingering_ms: Option<u32>,
    /// Once the program is to end, how long answers may still be read, in milliseconds.
    pub stopping_ms: Option<u32>,
    /// The system's send and receive buffer of a client's connection, in KiB. Read at the start only.
    #[schemars(range(min = 4))]
    pub buffer_kib: Option<u32>,
}
