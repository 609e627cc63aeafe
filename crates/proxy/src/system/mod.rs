//! The edge to the system: the proxy's sockets are opened, connected, accepted and peeked at here, and what an error of
//! such a call says is decided here alone ([`SocketErrorKind`], [`AcceptError`]).
//!
//! In builds with debug assertions a test may make these calls fail, see `system/faults.rs`; release builds do not contain
//! that code.

mod acceptor;
mod datagrams;
mod errors;
#[cfg(debug_assertions)]
mod faults;
mod injection;
mod sockets;
mod streams;

pub use acceptor::Acceptor;
pub use datagrams::{DatagramSocket, Received};
pub use errors::{AcceptError, SocketErrorKind};
pub use injection::Party;
pub use sockets::{BufferSizes, bind_datagrams, connect, listen, listen_local};
pub use streams::{Peeked, peek, read, try_write, write, write_all};
