//! Tests of the router's decisions through its public interface.

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
