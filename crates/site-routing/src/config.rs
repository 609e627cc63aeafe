//! What a site router is told once, at its start.

use crate::Micros;

/// What a second execution of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the request is idempotent.
    Idempotent,
    /// Nothing while members remember the request's idempotency key.
    Deduplicated {
        /// For how long after the first attempt, in microseconds.
        window: Micros,
        /// Only members of the site that had the request first remember it; else all members of the group do.
        within_site: bool,
    },
    /// It takes effect again: the request is not idempotent.
    NonIdempotent,
}

/// Which sites can serve a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// The one that has the group's primary.
    Primary,
    /// Any that has members of the group, from data no older than this, in microseconds.
    Recent(Micros),
    /// Any that has members of the group.
    Any,
}

/// What holds for all requests of one class.
#[derive(Clone, Copy, Debug)]
pub struct RequestClass {
    /// What a second execution does.
    pub effect: Effect,
    /// Which sites can serve it.
    pub need: Need,
    /// The latency objective, in microseconds from the request's arrival.
    pub objective: Micros,
    /// What an answer within the latency objective is worth, relative to other classes.
    pub priority_weight: f64,
    /// The part of the priority weight that an answer after the latency objective still earns, from 0 to 1.
    pub late_priority_weight: f64,
}

/// What a site router is told at its start.
#[derive(Clone, Debug)]
pub struct SiteRouterConfig {
    /// The request classes; a class is named by its index here.
    pub classes: Vec<RequestClass>,
    /// How many sites there are, this one included.
    pub sites: usize,
    /// How many links a request may be forwarded over.
    pub max_hops: usize,
    /// How many requests of one class another gateway may have in flight here, at most.
    pub max_credit: u32,
    /// The longest retry-after that a client is told, in microseconds.
    pub max_retry_after: Micros,
}
