//! The protocols on aldermill's sockets, as parsers and encoders that do no I/O.
//!
//! Each parser looks at the bytes received so far and says what stands at their front and how long it is,
//! or that more is to come. [`Buffer`] holds the bytes of one connection.

#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

mod buffer;
mod exchange;
pub mod http;
pub mod json;
pub mod pg;
pub mod statement;

pub use buffer::Buffer;
pub use exchange::Exchange;

/// The peer's bytes are not what the protocol allows; what is wrong with them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

impl std::fmt::Display for Malformed {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.0)
    }
}

impl std::error::Error for Malformed {}
