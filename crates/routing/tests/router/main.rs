//! Cases of every decision of the router, with the router as its callers have it.

mod among_many;
mod basic_routing;
mod fixtures;
mod freshness;
mod in_time;
mod local;
mod random_runs;
mod simulation;
mod wide_fleets;
mod wide_groups;
