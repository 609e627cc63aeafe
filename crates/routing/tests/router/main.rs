//! Cases of every decision of the router, with the router as its callers have it.

mod among_many;
mod cases;
mod fresh;
mod givens;
mod in_time;
mod local;
mod rules;
mod wide_fleets;
mod wide_groups;
mod world;
