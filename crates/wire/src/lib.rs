//! The protocols on aldermill's sockets, as parsers and encoders that do no I/O.
//!
//! Input: the bytes that a connection has received so far, in any split. Output: what stands at their front and how long
//! it is, `None` while more is to come, or [`Malformed`]; encoders append a whole message to a buffer. Callers: the
//! proxy's connections to clients, members and discovery, and the stand-ins of the tests. A parser never allocates more
//! than the caller's limit, and never panics, whatever the bytes.
//!
//! - [`pg`]: PostgreSQL's protocol, version 3, as far as simple queries need it; [`Exchange`] reads a member's response.
//! - [`statement`]: the comment at the front of a client's statement.
//! - [`http`] and [`json`]: the stream of endpoint lists from discovery.
//! - [`Buffer`] holds the received bytes of one connection.
//!
//! ```
//! use aldermill_wire::pg;
//!
//! let mut bytes = Vec::new();
//! pg::write_query(&mut bytes, &[b"SELECT ", b"1"]);
//! let message = pg::message(&bytes, 1024)?.expect("it is whole");
//! assert_eq!(message.tag, pg::message_type::QUERY);
//! assert_eq!(pg::parse_query(message.body)?, b"SELECT 1");
//! # Ok::<(), aldermill_wire::Malformed>(())
//! ```

#![warn(missing_docs)]

mod buffer;
mod error;
mod exchange;
pub mod http;
pub mod json;
pub mod pg;
pub mod statement;

pub use buffer::Buffer;
pub use error::Malformed;
pub use exchange::Exchange;
