//! The protocol between the gateways of two sites, as a state machine without sockets.
//!
//! [`Link`] is one connection: the caller brings bytes and time, sends messages, and is told what came. Frames are
//! Protocol Buffers behind a length; what they say and when is written down in `docs/link.md`. No choice is made here
//! beyond the order in which waiting frames go out.

mod frame;
mod link;
mod outbox;

pub use frame::{
    CapacityAnnouncement, Close, Confirm, Credit, Frame, FrameKind, Hello, HomeAnnouncement, OutcomeQuery,
    OutcomeReply, OutcomeReplyKind, PROTOCOL_VERSION, Ping, Pong, Request, Response, ResponseKind,
};
pub use link::{Identity, Inbound, Link, LinkLimits, Outbound};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// Why a link ends; other links of the same peer go on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkError {
    /// The bytes are no frame: too long, or not to be read.
    Malformed(&'static str),
    /// A frame of a kind that this version does not know.
    UnknownKind,
    /// The other side speaks another version.
    Version(u32),
    /// A frame that has no place there: before the greeting, a second greeting, beyond a window, out of turn.
    OutOfPlace(&'static str),
    /// Nothing came for so long that nothing will.
    Silent,
    /// The other side said that it ends the link, and why.
    Closed(String),
}

impl std::fmt::Display for LinkError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            LinkError::Malformed(why) => write!(f, "malformed: {why}"),
            LinkError::UnknownKind => f.write_str("frame of an unknown kind"),
            LinkError::Version(version) => {
                write!(f, "version {version} of the protocol, not {PROTOCOL_VERSION}")
            }
            LinkError::OutOfPlace(why) => write!(f, "out of place: {why}"),
            LinkError::Silent => f.write_str("silent"),
            LinkError::Closed(why) => write!(f, "closed by the other side: {why}"),
        }
    }
}

impl std::error::Error for LinkError {}
