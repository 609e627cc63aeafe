//! Client connections: accepted by the listener, kept by the registry, served by one actor each.

mod close;
mod connection;
mod events;
mod intake;
pub mod listener;
mod pending_responses;
mod receipt;
mod registry;
mod response;
mod startup;
mod state;
mod statement;
