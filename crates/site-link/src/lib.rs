//! The protocol between the gateways of two sites, as a state machine without sockets.
//!
//! [`Link`] is one connection to another gateway. Its caller, the proxy's link actor, brings the bytes that were received
//! and the time, hands over messages to send ([`Outbound`]), and gets the messages that have arrived whole ([`Inbound`]) and
//! the bytes to write. Frames are Protocol Buffers behind their length; `docs/link.md` says what each means and when it may
//! be sent. No choice is made here but the order in which waiting frames go out.
//!
//! The caller is assumed to write the bytes in the order in which it gets them, to stop reading while
//! [`Link::accepts_input`] says no, to call [`Link::wake`] at [`Link::wake_at`], and to close the connection after an error.
//! Time is in microseconds on any clock that does not run backwards.
//!
//! # Example
//!
//! ```
//! use aldermill_site_link::{Identity, Inbound, Link, LinkConfig, Outbound};
//!
//! let config = LinkConfig::standard(200_000, 400_000);
//! let identity = |site: &str| Identity { site: site.into(), instance: "n0".into(), incarnation: 7 };
//! let mut north = Link::new(config, &identity("north"), 0);
//! let mut south = Link::new(config, &identity("south"), 0);
//!
//! let greeting = north.next_bytes(4096).unwrap();
//! assert_eq!(south.receive(0, &greeting).unwrap(), [Inbound::Greeted(identity("north"))]);
//! north.send(Outbound::Cancel(3));
//! let bytes = north.next_bytes(4096).unwrap();
//! assert_eq!(south.receive(5, &bytes).unwrap(), [Inbound::Cancel(3)]);
//! ```

#![warn(missing_docs)]

mod config;
mod error;
mod frame;
mod incoming;
mod link;
mod message;
mod outbox;

pub use config::{Identity, LinkConfig};
pub use error::{LinkError, MalformedFrame, ProtocolViolation};
pub use frame::{
    CapacityAnnouncement, Close, Confirm, Credit, Frame, FrameKind, Hello, HomeAnnouncement, OutcomeQuery,
    OutcomeReply, OutcomeReplyKind, PROTOCOL_VERSION, Ping, Pong, Request, Response, ResponseKind,
};
pub use link::Link;
pub use message::{Inbound, Outbound};

/// Whole microseconds: an instant on the caller's clock, or a span.
pub type Micros = i64;
