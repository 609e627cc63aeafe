//! The routing decisions of aldermill and the types they are asked and answered in.
//!
//! [`Router`] in `policy` makes every decision. This file holds the interface: the terms that a router is
//! started with ([`RouterConfig`]), what it takes ([`Request`]), what it hears ([`ListedMember`], [`Outcome`],
//! [`MemberReport`]) and what its caller is to do next ([`Actions`]).

#![allow(clippy::enum_glob_use, reason = "what a verdict means reads by the names of the verdicts alone")]
#![warn(missing_docs)]

use std::collections::BTreeMap;

mod policy;
mod state;

pub use state::{RequestHandle, Router};

/// Whole microseconds, on the caller's clock.
pub type Micros = i64;

/// A member, as a small index that the caller gives out.
pub type MemberId = usize;

/// How far members know each other's deduplicated requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All members drop a repeat of what one of them did.
    All,
    /// Those of the same zone do.
    Zone,
    /// Those of the same group do.
    Group,
}

/// What a repeat of a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing: the request is idempotent.
    Idempotent,
    /// Nothing while members remember the request's idempotency key.
    Deduplicated {
        /// Which members remember it.
        scope: DeduplicationScope,
        /// For how long after the first attempt.
        window: Micros,
    },
    /// It takes effect again: the request is not idempotent.
    NonIdempotent,
}

/// How new the data behind an answer must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A write: it goes to the primary.
    Write,
    /// All that was committed before the request came.
    Latest,
    /// What the request's session has written.
    OwnWrites,
    /// All commits but those of the last microseconds, this many.
    Recent(Micros),
    /// Any age will do.
    Any,
}

/// What is alike in all requests of a class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// What a repeat does.
    pub effect: Effect,
    /// How new the data must be.
    pub need: Need,
    /// The latency objective.
    pub objective: Micros,
    /// How long a client waits for all its attempts together.
    pub timeout: Micros,
    /// What an answer within the objective is worth, compared with other classes.
    pub priority_weight: f64,
    /// The part of the priority weight that an answer after the latency objective still earns.
    pub late_priority_weight: f64,
}

/// How far the roles in the endpoint list are to be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRoles {
    /// They follow changes, late.
    Delayed,
    /// They are true when the caller starts.
    Initial,
    /// The list says nothing of roles.
    Absent,
}

/// The terms of one router, from the settings. Other routers of its fleet are started with the same ones.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// The request classes, by the index that requests name.
    pub classes: Vec<RequestClass>,
    /// How many routers share the members.
    pub routers: usize,
    /// How many routers share members that are warming up.
    pub routers_sharing_warm_up: usize,
    /// Clients mark their retries.
    pub client_retries_marked: bool,
    /// The zone that this router is in.
    pub zone: usize,
    /// How many zones there are.
    pub zones: usize,
    /// The most attempts that a request may use.
    pub max_attempts: u32,
    /// Health checks may be sent.
    pub health_checks_allowed: bool,
    /// The longest retry-after that clients may be given.
    pub max_retry_after: Micros,
    /// How far the list's roles are to be believed.
    pub listed_roles: ListedRoles,
    /// Members reject reads for which they are too far behind.
    pub members_check_freshness: bool,
    /// The router itself remembers what each session wrote.
    pub track_sessions: bool,
    /// The list comes only when it is subscribed to.
    pub list_requires_subscription: bool,
    /// A member that left the list may still be sent requests; only one that is listed as draining may not.
    pub unlisted_members_usable: bool,
    /// The part of its capacity that a member has when it starts, from 0 to 1.
    pub slow_start_capacity: f64,
    /// How long after its start a member is warm at the latest.
    pub slow_start_duration: Micros,
    /// How far a member that is warming up may be sent more than its part of a warm member's load: a factor.
    pub overload_factor: f64,
    /// The window over which that is measured.
    pub overload_window: Micros,
    /// What a request that crosses to another zone costs; zero where it costs nothing.
    pub cross_zone_cost: f64,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The index of its class in [`RouterConfig::classes`].
    pub class: usize,
    /// The name of the group that it is for.
    pub group: u64,
    /// How long the client still waits for this attempt; below zero where the process stalled for longer.
    pub ttl: Micros,
    /// How long the client has waited for this attempt.
    pub waited: Micros,
    /// The session that it belongs to.
    pub session: Option<String>,
    /// How long ago the session's last write was committed, where the client says so.
    pub last_write_age: Option<Micros>,
    /// The client says that it has tried before.
    pub marked_retry: bool,
}

/// Whether a member takes requests, as the list says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberStatus {
    /// It takes requests.
    Ready,
    /// It shuts down gracefully, and is to get nothing new.
    Draining,
    /// It has left the list.
    #[default]
    Unlisted,
}

/// One line of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedMember {
    /// The index that the caller gave the member.
    pub member: MemberId,
    /// Its name, the same for as long as it lives.
    pub name: String,
    /// The name of its group.
    pub group: u64,
    /// Its zone.
    pub zone: usize,
    /// Whether it takes requests.
    pub status: MemberStatus,
    /// When the member last started; `None` is long ago.
    pub started_at: Option<Micros>,
    /// Its size compared with other members', as far as the list says sizes.
    pub size: f64,
    /// The list says that it is its group's primary.
    pub is_primary: bool,
}

/// A member's part in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It takes the group's writes.
    Primary,
    /// It applies what the primary committed.
    Replica,
}

/// What a member says of itself: its role, and the time up to which it has applied all commits.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberReport {
    /// Its role, where it says so.
    pub role: Option<Role>,
    /// The time, by the members' clock, up to which it has applied all commits.
    pub position: Option<Micros>,
    /// How long ago it said so, at the most, where the process stalled meanwhile.
    pub age: Micros,
}

/// How an attempt or a health check ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It was answered as asked.
    Served,
    /// It was answered with an error of the member's or of the request's own.
    Error,
    /// The member rejected it for load: it never ran.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No process took the connection: it never ran.
    Unconnected,
    /// No path leads to it (ETIMEDOUT, EHOSTUNREACH): never sent whole, and its process may well live.
    Unreachable,
    /// This machine could open no connection for it: never sent, and nothing was learnt of the member.
    LocalFailure,
    /// The member's process closed the connection before it answered: it may have run.
    Reset,
    /// What came back is of no use, or its connection alone broke: it may have run, and the member stands.
    Malformed,
    /// Its connection broke before it was written whole, though the member stands.
    ConnectionLost,
    /// It was abandoned, as its client left or was answered otherwise.
    Cancelled,
    /// Its deadline passed while the process stalled: it may have run, and nothing was seen of the member.
    Unobserved,
    /// Its [`Validity`] ended before it was sent.
    NotSent,
    /// The member answered that it is not the primary: it never ran.
    NotPrimary,
}

impl Verdict {
    /// The attempt is known never to have run.
    pub fn never_ran(self) -> bool {
        use Verdict::*;
        matches!(
            self,
            Overloaded | Unconnected | Unreachable | LocalFailure | ConnectionLost | NotSent | NotPrimary
        )
    }

    /// The member's process was heard.
    pub fn proves_process_alive(self) -> bool {
        use Verdict::*;
        matches!(self, Served | Error | Overloaded | NotPrimary | Malformed | ConnectionLost)
    }
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// How it ended.
    pub verdict: Verdict,
    /// How long it took.
    pub duration: Micros,
    /// What the member said of itself.
    pub report: MemberReport,
    /// The request is over, by this outcome or before it.
    pub request_closed: bool,
}

/// What a router has learnt that may be kept over a restart, in coarse form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Believed primaries, each with the time of the newest report of it.
    pub primaries: Vec<(MemberId, Micros)>,
    /// By request class: what half of its attempts take at most, and nine tenths.
    pub durations: Vec<(Micros, Micros)>,
    /// Attempts that may be out at a member, in powers of two.
    pub concurrency_limits: Vec<(MemberId, i32)>,
}

/// What a zone-wide directive asks of a group's reads in this zone.
#[derive(Clone, Debug, Default)]
pub struct ReadShift {
    /// The part of the reads that goes to other zones, from 0 to 1.
    pub remote_share: f64,
    /// How that part is shared out, by zone; a zone that is not named gets none.
    pub zone_weights: BTreeMap<usize, f64>,
}

/// What must still hold when an attempt's last byte leaves, however long it waited for a connection; where it
/// does not, the attempt is not sent, and ends as `NotSent`. Sources: the rule on stale reads, by which a
/// bound counts from the send, not from the decision; the rule on effects, by which a repeat stays within its
/// window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// On the router's clock; `Micros::MAX` where nothing runs out.
    pub expires_at: Micros,
    /// The member must not have said since that it is a replica.
    pub requires_primary: bool,
}

impl Validity {
    /// Nothing runs out.
    pub const UNLIMITED: Validity = Validity { expires_at: Micros::MAX, requires_primary: false };
}

/// What is to be done for one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Attempt {
        /// Where it goes.
        member: MemberId,
        /// How long its answer may take.
        timeout: Micros,
        /// On a new connection, the idle ones being closed.
        on_new_connection: bool,
        /// What must hold when it is sent.
        validity: Validity,
    },
    /// Answer the client that its request was rejected, and took no effect.
    Reject {
        /// The retry-after that the client is given.
        retry_after: Micros,
    },
    /// Answer the client that its request failed, and may have taken effect.
    Fail,
}

/// What the caller is to do now, in this order, and when to wake the router again.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// What is to be done for each request.
    pub requests: Vec<(RequestHandle, Action)>,
    /// Members that a health check is to be sent to.
    pub health_checks: Vec<MemberId>,
    /// Members whose idle connections are to be closed.
    pub close_idle: Vec<MemberId>,
    /// The endpoint list is to be subscribed to.
    pub subscribe: bool,
    /// When the router is to be woken next, whatever else happens.
    pub wake_at: Option<Micros>,
}
