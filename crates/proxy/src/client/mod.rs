//! Client connections. The listener accepts them, the registry keeps track of them, and an actor per
//! connection serves it.

mod close;
mod connection;
mod events;
pub mod listener;
mod message_handling;
mod overflow;
mod pending_responses;
mod pipeline_memory;
mod read_ahead;
mod receipt_times;
mod registry;
mod response;
mod shared_state;
mod startup;
mod statement;
mod turn;

pub use pipeline_memory::{PipelineCharge, PipelineMemory};
