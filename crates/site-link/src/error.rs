//! Why a link ends.
//!
//! The texts go to the other side in the closing frame, and to the log of both; gateways of other versions log them, so
//! they stay as they are.

use thiserror::Error;

use crate::frame::PROTOCOL_VERSION;

/// Why a link ends. Other links to the same gateway go on.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LinkError {
    /// The bytes are not a frame, or a frame's fields contradict each other. The other side is not a gateway of this
    /// program, or is faulty: see who connects from that address.
    #[error("malformed: {0}")]
    Malformed(MalformedFrame),
    /// A frame of a kind that this version does not know. Run one version of the program at all sites.
    #[error("frame of an unknown kind")]
    UnknownKind,
    /// The other side speaks another version of the protocol. Run one version of the program at all sites.
    #[error("version {0} of the protocol, not {PROTOCOL_VERSION}")]
    Version(u32),
    /// A frame that may not be sent at this point. The other side is faulty, or runs another version.
    #[error("out of place: {0}")]
    OutOfPlace(ProtocolViolation),
    /// Nothing was received for [`LinkConfig::silence_timeout`](crate::LinkConfig::silence_timeout). The line, or the other
    /// process, is down or stalled.
    #[error("silent")]
    Silent,
    /// The other side closed the link, for this reason.
    #[error("closed by the other side: {0}")]
    Closed(String),
}

/// What is wrong with a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum MalformedFrame {
    /// It is longer than [`LinkConfig::max_frame`](crate::LinkConfig::max_frame).
    #[error("frame too long")]
    TooLong,
    /// It is not a Protocol Buffers message of the expected form.
    #[error("no frame")]
    Undecodable,
    /// The greeting's site or instance has no name or one that is too long, or its window is zero.
    #[error("greeting without a name or a window")]
    IncompleteGreeting,
    /// The statement is empty, or longer than [`LinkConfig::max_statement`](crate::LinkConfig::max_statement).
    #[error("statement of impossible length")]
    StatementLength,
    /// The request's class has too long a name, or it has come through too many sites.
    #[error("task with too much to it")]
    RequestTooLarge,
    /// The response is of no kind, or longer than [`LinkConfig::max_response`](crate::LinkConfig::max_response).
    #[error("outcome that is none")]
    InvalidResponse,
    /// The outcome reply is of no kind, or its response is longer than
    /// [`LinkConfig::max_response`](crate::LinkConfig::max_response).
    #[error("fate that is none")]
    InvalidOutcomeReply,
    /// The capacity announcement has too many classes.
    #[error("room with too much to it")]
    AnnouncementTooLarge,
}

/// What a frame's sender must not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ProtocolViolation {
    /// It sent something before its greeting.
    #[error("something before the greeting")]
    BeforeGreeting,
    /// It greeted twice.
    #[error("a second greeting")]
    SecondGreeting,
    /// It announced a message under a number whose last message has not arrived whole.
    #[error("a message while another's data is on its way")]
    StreamInUse,
    /// It began more messages at once than [`LinkConfig::max_streams`](crate::LinkConfig::max_streams).
    #[error("too many streams")]
    TooManyStreams,
    /// It sent more data than it had announced.
    #[error("more data than was announced")]
    ExcessData,
    /// It sent more data than it had been asked for.
    #[error("data beyond its window")]
    WindowExceeded,
}
