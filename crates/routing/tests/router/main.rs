//! Tests of the router's decisions through its public interface.

mod basic_routing;
mod deadlines_and_stalls;
mod deduplication_scope;
mod drains;
mod earlier_attempts;
mod fixtures;
mod freshness;
mod large_fleet;
mod local_failures;
mod own_writes;
mod primary_search;
mod queued_requests;
mod random_runs;
mod replica_subset;
mod simulation;
mod suspension;
