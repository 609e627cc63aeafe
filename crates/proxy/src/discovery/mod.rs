//! The endpoint list: how it is watched at discovery, and its form.

pub mod endpoint_list;
mod error;
mod stream;
pub mod watch;
