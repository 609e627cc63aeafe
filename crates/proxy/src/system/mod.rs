//! Wrappers around the system calls on the proxy's sockets: opening, connecting, accepting, reading, writing
//! and peeking. The errors of these calls are classified only here ([`SocketErrorKind`], [`AcceptError`]).
//!
//! In builds with debug assertions, tests can make these calls fail, see `system/faults.rs`. Release builds
//! do not contain that code.

mod acceptor;
mod datagrams;
mod delivery;
mod errors;
#[cfg(debug_assertions)]
mod faults;
mod injection;
mod sockets;
mod streams;

pub use acceptor::Acceptor;
pub use datagrams::{DatagramSocket, Received};
pub use delivery::{Delivery, delivery};
pub use errors::{AcceptError, SocketErrorKind};
pub use injection::Party;
pub use sockets::{BufferSizes, bind_datagrams, connect, listen, listen_local};
pub use streams::{
    Peeked, has_unread, is_closed_by_peer, peek, read, read_up_to, try_read, try_write, write, write_all,
};
