//! The configuration of a site router: request classes and limits, fixed when the router is created.

use crate::Micros;

/// The effect of executing a request a second time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// No effect: the request is idempotent.
    Idempotent,
    /// No effect while members remember the request's idempotency key.
    Deduplicated {
        /// How long after the first attempt members remember the key, in microseconds.
        window: Micros,
        /// Whether only members of the site of the first attempt remember the key; otherwise all members of
        /// the group do.
        within_site: bool,
    },
    /// The request takes effect again: it is not idempotent.
    NonIdempotent,
}

/// Which sites can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// Only the site that has the group's primary.
    Primary,
    /// Any site that has members of the group, if the data read is no older than this, in microseconds.
    Recent(Micros),
    /// Any site that has members of the group.
    Any,
}

/// The properties that all requests of one class share.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// The effect of a second execution.
    pub effect: Effect,
    /// Which sites can serve a request of the class.
    pub need: Need,
    /// The latency objective, in microseconds from the arrival of the request.
    pub objective: Micros,
    /// The value of an answer within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of `priority_weight`, from 0 to 1, that an answer after the latency objective is worth.
    pub late_priority_weight: f64,
}

/// The configuration of a [`SiteRouter`](crate::SiteRouter).
#[derive(Clone, Debug)]
pub struct SiteRouterConfig {
    /// The request classes; each is identified by its index here.
    pub classes: Vec<RequestClass>,
    /// The number of sites, including the local one.
    pub sites: usize,
    /// The maximum number of forwards on a request's path from its origin to the site that serves it.
    pub max_hops: usize,
    /// The maximum number of requests of one class that another gateway may have in flight at this one.
    pub max_credit: u32,
    /// The maximum retry-after that is returned to a requester, in microseconds.
    pub max_retry_after: Micros,
    /// Whether a request that may be repeated may have attempts at two gateways at once.
    pub duplicate_attempts_allowed: bool,
}
