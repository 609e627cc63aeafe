//! The endpoint list: the watch on discovery, and the list's form.

pub mod endpoint_list;
pub mod watch;
