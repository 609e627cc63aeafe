//! The settings as they are written: one struct a section, one field a key.
//!
//! The structs keep the document's own words as their names, because serde puts those names into the messages that
//! operators read ("expected struct Category"). The rest of the package imports them by the field's names. A field has
//! the field's name; the key, where it differs, stands in its `rename`.

use serde::Deserialize;

/// The whole document.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Message {
    /// The names of the zones.
    #[serde(rename = "azs")]
    pub(crate) zones: Vec<String>,
    /// The name of the zone that this router is in.
    #[serde(rename = "myZone")]
    pub(crate) local_zone: String,
    /// How many routers share the members; at least 1.
    #[serde(rename = "balancers")]
    pub(crate) routers: usize,
    /// The request classes, by index.
    #[serde(rename = "categories")]
    pub(crate) request_classes: Vec<Category>,
    /// How members hold and replicate their data.
    #[serde(rename = "familyInfo")]
    pub(crate) replication: Family,
    /// What clients do.
    pub(crate) clients: Clients,
    /// Limits on connections, attempts and answers.
    pub(crate) limits: Limits,
    /// How members start, drain and count as overloaded.
    #[serde(rename = "rules")]
    pub(crate) member_rules: Rules,
    /// How the endpoint list comes: "automatic" or "subscribe".
    #[serde(rename = "registryMode")]
    pub(crate) discovery_mode: String,
    /// What the numbers in the endpoint list are: "off", "nominal", "rough" or "live".
    #[serde(rename = "weights")]
    pub(crate) listed_weights: String,
    /// What crossing costs.
    #[serde(rename = "deductions")]
    pub(crate) costs: Deductions,
    /// The accounts that requests may name; without any, only the account "0" is known.
    #[serde(default, rename = "tenants")]
    pub(crate) accounts: Vec<Tenant>,
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Category {
    /// The name that requests give.
    pub(crate) name: String,
    /// What a repeat does: "pure", "token" or "side_effect".
    pub(crate) effect: String,
    /// Which members remember an idempotency key: "all", "zone" or "cell".
    #[serde(rename = "dedupScope")]
    pub(crate) deduplication_scope: String,
    /// For how long they remember it, in milliseconds.
    #[serde(rename = "windowMs")]
    pub(crate) deduplication_window_ms: f64,
    /// The latency objective, in milliseconds.
    #[serde(rename = "targetMs")]
    pub(crate) objective_ms: f64,
    /// How long a client waits for all attempts together, in milliseconds.
    #[serde(rename = "deadlineMs")]
    pub(crate) timeout_ms: f64,
    /// The priority weight.
    #[serde(rename = "worth")]
    pub(crate) priority_weight: f64,
    /// The late priority weight.
    #[serde(rename = "lateWorth")]
    pub(crate) late_priority_weight: f64,
}

/// How members hold and replicate their data.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Family {
    /// What a member does with a read for which it is too far behind: "off", "reject" or "hold".
    #[serde(rename = "behind")]
    pub(crate) stale_read_handling: String,
    /// The greatest age of the data by request class, in milliseconds; for the classes that need "recent" data.
    pub(crate) max_age_ms: Vec<f64>,
    /// How new the data must be by request class: "update", "latest", "own_writes", "recent" or "loose".
    pub(crate) needs_by_class: Vec<String>,
    /// The bench's clock where positions are zero, in milliseconds.
    #[serde(rename = "positionZeroMs")]
    pub(crate) position_origin_ms: f64,
    /// When the endpoint list's roles are true: "delayed", "initial" or "off".
    #[serde(rename = "roleListed")]
    pub(crate) listed_roles: String,
    /// Who remembers what a session wrote: "client" or "router".
    #[serde(rename = "tokens")]
    pub(crate) session_positions: String,
}

/// Limits on connections, attempts and answers.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Limits {
    /// The most attempts that a request may use.
    pub(crate) max_attempts: u32,
    /// The longest retry-after that a client may be given, in milliseconds.
    pub(crate) max_retry_after_ms: f64,
    /// Rejections may carry a retry-after.
    #[serde(rename = "retryAfter")]
    pub(crate) retry_after_allowed: bool,
    /// Health checks may be sent.
    #[serde(rename = "probes")]
    pub(crate) health_checks_allowed: bool,
    /// How long a connection may be idle before the member closes it, in milliseconds.
    #[serde(rename = "connIdleMs")]
    pub(crate) member_idle_timeout_ms: f64,
    /// How long a connection may take to open, in milliseconds.
    pub(crate) connect_timeout_ms: f64,
    /// Requests that one router may hold at once.
    #[serde(rename = "maxOpen")]
    pub(crate) max_open_requests: usize,
    /// A request that may be repeated may have two attempts at once.
    #[serde(default, rename = "mayDuplicate")]
    pub(crate) duplicate_attempts_allowed: bool,
}

/// The `drainGraceMs` of a document without that key, in milliseconds.
const DEFAULT_DRAIN_GRACE_MS: f64 = 500.0;

/// How members start, drain and count as overloaded.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Rules {
    /// The part of its capacity that a member has when it starts, from 0 to 1.
    #[serde(rename = "coldFrom")]
    pub(crate) slow_start_capacity: f64,
    /// How long after its start a member is warm at the latest, in milliseconds.
    #[serde(rename = "warmWithinMs")]
    pub(crate) slow_start_ms: f64,
    /// How far a member that is warming up may be sent more than its part of a warm member's load: a factor.
    pub(crate) overload_factor: f64,
    /// The window over which that is measured, in milliseconds.
    #[serde(rename = "fallMs")]
    pub(crate) overload_window_ms: f64,
    /// How long after its drain could be known a member may still be sent new requests, in milliseconds.
    #[serde(default = "default_drain_grace_ms")]
    pub(crate) drain_grace_ms: f64,
    /// A member that left the list may still be sent requests; only one that is listed as draining may not.
    #[serde(default)]
    pub(crate) only_draining_binds: bool,
}

fn default_drain_grace_ms() -> f64 {
    DEFAULT_DRAIN_GRACE_MS
}

/// What clients do.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Clients {
    /// They mark their retries.
    #[serde(rename = "marksRetry")]
    pub(crate) mark_retries: bool,
}

/// What crossing costs.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Deductions {
    /// The cost of a request that crosses to another zone, in priority weight.
    pub(crate) cross_zone: f64,
}

/// An account that requests may name. Its quota is the members' matter, and is not read here.
#[derive(Deserialize)]
pub(crate) struct Tenant {
    /// Its name.
    pub(crate) name: String,
}
