//! Endpoint list: its format, and the actor that watches it at the discovery service.

pub mod endpoint_list;
mod error;
mod stream;
pub mod watch;
