//! The endpoint list: how it is watched at discovery, and its form.

/// The form of the endpoint list.
pub mod endpoint_list;
mod error;
mod stream;
/// The actor that watches it.
pub mod watch;
