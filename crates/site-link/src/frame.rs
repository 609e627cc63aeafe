//! The frames, as Protocol Buffers.

/// The version of the protocol that is spoken here; the greeting names it.
pub const PROTOCOL_VERSION: u32 = 1;

/// One frame. Fields that a reader does not know are passed over; a kind that it does not know ends the link.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Frame {
    #[prost(oneof = "FrameKind", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13")]
    pub kind: Option<FrameKind>,
}

#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FrameKind {
    #[prost(message, tag = "1")]
    Hello(Hello),
    #[prost(message, tag = "2")]
    Request(Request),
    #[prost(message, tag = "3")]
    Data(Data),
    #[prost(message, tag = "4")]
    Window(Window),
    #[prost(message, tag = "5")]
    Response(Response),
    /// The client of the request with this number has left.
    #[prost(uint64, tag = "6")]
    Cancel(u64),
    #[prost(message, tag = "7")]
    OutcomeQuery(OutcomeQuery),
    #[prost(message, tag = "8")]
    OutcomeReply(OutcomeReply),
    #[prost(message, tag = "9")]
    Confirm(Confirm),
    #[prost(message, tag = "10")]
    Ping(Ping),
    #[prost(message, tag = "11")]
    Pong(Pong),
    #[prost(message, tag = "12")]
    CapacityAnnouncement(CapacityAnnouncement),
    #[prost(message, tag = "13")]
    Close(Close),
}

/// The first frame each way.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Hello {
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// The site, and the instance within it.
    #[prost(string, tag = "2")]
    pub site: String,
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

/// A request crosses; its statement follows as data of the stream with its number.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Request {
    /// With the sender's site, instance and incarnation, the request's key.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// The incarnation of the receiver that it is meant for.
    #[prost(uint64, tag = "2")]
    pub receiver_incarnation: u64,
    #[prost(string, tag = "3")]
    pub class: String,
    #[prost(uint64, tag = "4")]
    pub group: u64,
    /// The time that is left for it, the way there taken off.
    #[prost(uint64, tag = "5")]
    pub timeout_us: u64,
    /// How long ago the session's last write was committed, if the client said so; 0 is not said.
    #[prost(uint64, tag = "6")]
    pub written_ago_us: u64,
    #[prost(bool, tag = "7")]
    pub client_retry: bool,
    /// The sites that it came by, the first one first.
    #[prost(string, repeated, tag = "8")]
    pub visited: Vec<String>,
    /// How long its statement is.
    #[prost(uint32, tag = "9")]
    pub length: u32,
}

/// A part of a statement or of a value.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Data {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Set on parts of values, which go the other way than their request.
    #[prost(bool, tag = "2")]
    pub value: bool,
    #[prost(bytes = "vec", tag = "3")]
    pub bytes: Vec<u8>,
}

/// So many bytes more of a stream may be sent.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Window {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(bool, tag = "2")]
    pub value: bool,
    #[prost(uint32, tag = "3")]
    pub bytes: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum ResponseKind {
    Unset = 0,
    /// Its value follows as data.
    Served = 1,
    /// It never ran, and trying again is harmless.
    Rejected = 2,
    Failed = 3,
    /// It never ran: the group's primary is not there.
    NotPrimary = 4,
    /// It never ran: it is no request there.
    Invalid = 5,
}

/// The one answer to a request.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Response {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "ResponseKind", tag = "2")]
    pub kind: i32,
    /// After how long it may come again, where it was rejected.
    #[prost(uint64, tag = "3")]
    pub retry_after_us: u64,
    /// The site that has the primary, where it is not here and that is known.
    #[prost(string, tag = "4")]
    pub hint: String,
    /// How long the value is that follows.
    #[prost(uint32, tag = "5")]
    pub length: u32,
    /// How long the receiver took.
    #[prost(uint64, tag = "6")]
    pub duration_us: u64,
}

/// What became of the request with this number, which was sent to that incarnation of the receiver?
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeQuery {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(uint64, tag = "2")]
    pub receiver_incarnation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub enum OutcomeReplyKind {
    Unset = 0,
    /// It was never taken, and from now on never will be.
    NeverAccepted = 1,
    /// It never ran.
    Rejected = 2,
    /// Its value follows as data.
    Served = 3,
    Failed = 4,
    /// The receiver cannot know.
    Unknown = 5,
    /// It is under way; its outcome comes on this link.
    InFlight = 6,
}

/// The answer to an ask.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct OutcomeReply {
    #[prost(uint64, tag = "1")]
    pub number: u64,
    #[prost(enumeration = "OutcomeReplyKind", tag = "2")]
    pub kind: i32,
    #[prost(uint64, tag = "3")]
    pub retry_after_us: u64,
    #[prost(uint32, tag = "4")]
    pub length: u32,
}

/// Nothing up to this number will be asked about again.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Confirm {
    #[prost(uint64, tag = "1")]
    pub up_to: u64,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Ping {
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Pong {
    #[prost(uint64, tag = "1")]
    pub number: u64,
}

/// How many requests of a request class the other side may have under way here.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Credit {
    #[prost(string, tag = "1")]
    pub class: String,
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// What is known here of a group.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct HomeAnnouncement {
    #[prost(uint64, tag = "1")]
    pub group: u64,
    /// A member here said that it is the primary, and none has said otherwise since.
    #[prost(bool, tag = "2")]
    pub primary: bool,
}

/// What room there is at this site, whenever that changes.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct CapacityAnnouncement {
    #[prost(message, repeated, tag = "1")]
    pub credits: Vec<Credit>,
    /// The groups that have members here.
    #[prost(message, repeated, tag = "2")]
    pub homes: Vec<HomeAnnouncement>,
    /// Nothing new is to be sent.
    #[prost(bool, tag = "3")]
    pub draining: bool,
}

/// The link ends.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct Close {
    #[prost(string, tag = "1")]
    pub why: String,
}
