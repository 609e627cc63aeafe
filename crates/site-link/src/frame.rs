//! The frames, as Protocol Buffers. `docs/link.md` says when each may be sent.
//!
//! Tags and types never change; names do not go over the link.

/// The version of the protocol that is spoken here; the greeting names it.
pub const PROTOCOL_VERSION: u32 = 1;

/// One frame. A reader ignores fields that it does not know; a kind that it does not know ends the link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    /// What it is; missing where its kind is unknown.
    #[prost(oneof = "FrameKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub kind: Option<FrameKind>,
}

/// What a frame is.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameKind {
    /// The first frame each way.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// A request; its statement follows as data.
    #[prost(message, tag = "2")]
    Request(Request),
    /// A part of a statement or of a response's data.
    #[prost(message, tag = "3")]
    Data(Data),
    /// More data of a stream may be sent.
    #[prost(message, tag = "4")]
    Window(Window),
    /// The answer to a request; the data of a served one follows.
    #[prost(message, tag = "5")]
    Response(Response),
    /// The requester of the request with this number no longer waits.
    #[prost(uint64, tag = "6")]
    Cancel(u64),
    /// What became of a request?
    #[prost(message, tag = "7")]
    OutcomeQuery(OutcomeQuery),
    /// The reply to an outcome query; the data of a request that was served follows.
    #[prost(message, tag = "8")]
    OutcomeReply(OutcomeReply),
    /// Up to which number nothing will be asked any more.
    #[prost(message, tag = "9")]
    Confirm(Confirm),
    /// To be sent back as a pong at once.
    #[prost(message, tag = "10")]
    Ping(Ping),
    /// The reply to a ping.
    #[prost(message, tag = "11")]
    Pong(Pong),
    /// What the sender's site can take, and which groups it has.
    #[prost(message, tag = "12")]
    CapacityAnnouncement(CapacityAnnouncement),
    /// The link ends.
    #[prost(message, tag = "13")]
    Close(Close),
}

/// The greeting: the first frame each way.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    /// The version of the protocol that the sender speaks.
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The name of the sender's site.
    #[prost(string, tag = "2")]
    pub site: String,
    /// The name of its instance within the site.
    #[prost(string, tag = "3")]
    pub instance: String,
    /// Differs between any two starts of the instance.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// How often it sends a ping at least, in microseconds.
    #[prost(uint64, tag = "5")]
    pub heartbeat_us: u64,
    /// How many bytes of one stream's data it takes before it says that it takes more.
    #[prost(uint32, tag = "6")]
    pub window: u32,
}

/// A request that is forwarded. Its statement follows as data of the stream with its number.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Request {
    /// With the sender's site, instance and incarnation, the request's key.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The incarnation of the receiver that it is meant for.
    #[prost(uint64, tag = "2")]
    pub receiver_incarnation: u64,
    /// The name of its request class.
    #[prost(string, tag = "3")]
    pub class: String,
    /// The group of members whose data it is about.
    #[prost(uint64, tag = "4")]
    pub group: u64,
    /// The time that is left for it when it arrives, in microseconds.
    #[prost(uint64, tag = "5")]
    pub timeout_us: u64,
    /// How long ago the session's last write was committed, in microseconds; 0 where the client did not say.
    #[prost(uint64, tag = "6")]
    pub written_ago_us: u64,
    /// The client has sent it before.
    #[prost(bool, tag = "7")]
    pub client_retry: bool,
    /// The names of the sites that it has come through, its origin first.
    #[prost(string, repeated, tag = "8")]
    pub visited: Vec<String>,
    /// The length of its statement, in bytes.
    #[prost(uint32, tag = "9")]
    pub length: u32,
    /// How long before the sending the first attempt of it began that may have run, in microseconds; 0 if none may have
    /// run or a repeat does no harm at any time.
    #[prost(uint64, tag = "10")]
    pub earlier_attempt_ago_us: u64,
    /// The number of the receiver's last capacity announcement that had arrived when it was sent; 0 if none has a number.
    #[prost(uint64, tag = "11")]
    pub announcement: u64,
    /// How long before the sending that announcement had arrived, in microseconds.
    #[prost(uint64, tag = "12")]
    pub announcement_ago_us: u64,
    /// The delay of the way there that is taken off `timeout_us`, in microseconds.
    #[prost(uint64, tag = "13")]
    pub one_way_delay_us: u64,
}

/// A part of a statement, or of the data of a response.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Data {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// It belongs to the response, which goes the other way than the request.
    #[prost(bool, tag = "2")]
    pub is_response: bool,
    /// The bytes that follow those of the last part.
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// The receiver takes more data of a stream.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Window {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// It is about the response's data, rather than the statement.
    #[prost(bool, tag = "2")]
    pub is_response: bool,
    /// How many bytes more than before.
    #[prost(uint32, tag = "3")]
    pub bytes: u32,
}

/// How a request was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResponseKind {
    /// Not set, which is an error.
    Unset = 0,
    /// It was served; the data follows.
    Served = 1,
    /// It was rejected and never ran. Trying again is harmless.
    Rejected = 2,
    /// It failed, and may have run.
    Failed = 3,
    /// It never ran: the group's primary is not at that site.
    NotPrimary = 4,
    /// It never ran: it is not a valid request there.
    Invalid = 5,
}

/// The one answer to a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Response {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// How it was answered, as a [`ResponseKind`].
    #[prost(enumeration = "ResponseKind", tag = "2")]
    pub kind: i32,
    /// After how long a rejected request may be tried again, in microseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_us: u64,
    /// The name of the site that has the primary, if it is not here and that is known; else empty.
    #[prost(string, tag = "4")]
    pub hint: String,
    /// The length of the data that follows, in bytes.
    #[prost(uint32, tag = "5")]
    pub length: u32,
    /// How long the receiver took, in microseconds.
    #[prost(uint64, tag = "6")]
    pub duration_us: u64,
}

/// Asks what became of a request that was sent to a gateway.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeQuery {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The incarnation of the gateway that the request was sent to.
    #[prost(uint64, tag = "2")]
    pub receiver_incarnation: u64,
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeReplyKind {
    /// Not set, which is an error.
    Unset = 0,
    /// It was never accepted, and from now on never will be.
    NeverAccepted = 1,
    /// It was rejected and never ran.
    Rejected = 2,
    /// It was served; the data follows.
    Served = 3,
    /// It failed, and may have run.
    Failed = 4,
    /// The receiver cannot know.
    Unknown = 5,
    /// It has not ended; its response comes on this link.
    InFlight = 6,
}

/// The reply to an outcome query.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeReply {
    /// The request's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What became of it, as an [`OutcomeReplyKind`].
    #[prost(enumeration = "OutcomeReplyKind", tag = "2")]
    pub kind: i32,
    /// After how long a rejected request may be tried again, in microseconds.
    #[prost(uint64, tag = "3")]
    pub retry_after_us: u64,
    /// The length of the data that follows, in bytes.
    #[prost(uint32, tag = "4")]
    pub length: u32,
}

/// The sender will not ask about old requests any more.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Confirm {
    /// Up to this number nothing will be asked.
    #[prost(uint64, tag = "1")]
    pub up_to: u64,
}

/// A sign of life, by which the round trip is measured.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ping {
    /// Rises with each ping of the link.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// The reply to a ping.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Pong {
    /// The ping's number.
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// How many requests of one class the other side may have in flight here.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Credit {
    /// The name of the request class.
    #[prost(string, tag = "1")]
    pub class: String,
    /// How many requests at once.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// A group that has members at the sender's site.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HomeAnnouncement {
    /// The group.
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// A member there answered as the primary, and no answer since has said otherwise.
    #[prost(bool, tag = "2")]
    pub has_primary: bool,
}

/// What the sender's site can take, sent whenever that changes and at intervals.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CapacityAnnouncement {
    /// How many requests it takes at once, by class.
    #[prost(message, repeated, tag = "1")]
    pub credits: Vec<Credit>,
    /// The groups that have members there.
    #[prost(message, repeated, tag = "2")]
    pub homes: Vec<HomeAnnouncement>,
    /// The sender drains: nothing new is to be sent.
    #[prost(bool, tag = "3")]
    pub draining: bool,
    /// The sender reads `Request.earlier_attempt_ago_us`.
    #[prost(bool, tag = "4")]
    pub reads_attempt_ages: bool,
    /// Rises with each announcement of this incarnation, from 1; a request names the last one that its sender received.
    #[prost(uint64, tag = "5")]
    pub number: u64,
}

/// The last frame of a link.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Close {
    /// Why the link ends, for people.
    #[prost(string, tag = "1")]
    pub why: String,
}
