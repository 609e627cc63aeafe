//! Client connections: accepted by the listener, kept by the registry, served by one actor each.

mod close;
mod connection;
mod events;
pub mod listener;
mod message_handling;
mod pending_responses;
mod receipt_times;
mod registry;
mod response;
mod shared_state;
mod startup;
mod statement;
