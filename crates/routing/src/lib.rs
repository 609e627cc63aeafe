//! Routing decisions of aldermill, and the types of their inputs and results.
//!
//! [`Router`] makes every decision; its rules are in `policy`. This file holds the interface: the
//! configuration of a router ([`RouterConfig`]), its inputs ([`Request`], [`ListedMember`], [`Outcome`],
//! [`MemberReport`]) and what its caller must do next ([`Actions`]).

#![allow(clippy::enum_glob_use, reason = "the methods of `Verdict` list many of its variants")]
#![warn(missing_docs)]

use std::collections::BTreeMap;

mod policy;
mod state;

pub use state::{RequestHandle, Router};

/// A time or a duration in whole microseconds. Times are on the caller's clock.
pub type Micros = i64;

/// Index of a member. The caller assigns the indices and keeps them small.
pub type MemberId = usize;

/// Set of members that share the memory of deduplicated requests: each of them drops a repeat of a request
/// that another has executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// All members.
    All,
    /// The members of the same zone.
    Zone,
    /// The members of the same group.
    Group,
}

/// Effect of repeating a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// None: the request is idempotent.
    Idempotent,
    /// None, as long as members remember the request's idempotency key.
    Deduplicated {
        /// Members that remember the key.
        scope: DeduplicationScope,
        /// Time for which members remember the key after the first attempt, in microseconds.
        window: Micros,
    },
    /// The request takes effect again: it is not idempotent.
    NonIdempotent,
}

/// Required freshness of the data behind an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A write, which goes to the primary.
    Write,
    /// Every commit made before the request arrived.
    Latest,
    /// Every write of the request's session.
    OwnWrites,
    /// Every commit older than this number of microseconds.
    Recent(Micros),
    /// Data of any age.
    Any,
}

/// Properties that all requests of a class share.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Effect of a repeat.
    pub effect: Effect,
    /// Required freshness of the data.
    pub need: Need,
    /// Latency objective, in microseconds.
    pub objective: Micros,
    /// Time that a client waits for all its attempts together, in microseconds.
    pub timeout: Micros,
    /// Value of an answer within the latency objective, relative to other classes.
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns; zero if such
    /// an answer is worthless.
    pub late_priority_weight: f64,
}

/// Trust in the roles of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedRoles {
    /// Listed roles follow changes with a delay.
    Delayed,
    /// Listed roles are correct when the caller starts.
    Initial,
    /// The list states no roles.
    Absent,
}

/// Configuration of a router, taken from the settings. The other routers of its fleet are started with the
/// same values.
#[derive(Clone, Debug)]
pub struct RouterConfig {
    /// Request classes, indexed by [`Request::class`].
    pub classes: Vec<RequestClass>,
    /// Number of routers that share the members; [`Router::set_fleet_size`] changes it.
    pub routers: usize,
    /// Number of routers that share members that are warming up; [`Router::set_fleet_size`] changes it.
    pub routers_sharing_warm_up: usize,
    /// Whether clients mark their retries.
    pub client_retries_marked: bool,
    /// Index of the zone that the router is in.
    pub zone: usize,
    /// Number of zones.
    pub zones: usize,
    /// Maximum number of attempts for a request.
    pub max_attempts: u32,
    /// Whether health checks may be sent.
    pub health_checks_allowed: bool,
    /// Longest retry-after that clients may be given, in microseconds; zero if they may be given none.
    pub max_retry_after: Micros,
    /// Trust in the roles of the endpoint list.
    pub listed_roles: ListedRoles,
    /// Whether members check reads themselves, and reject or hold those for which they lag too far behind.
    pub members_check_freshness: bool,
    /// Whether the router itself remembers what each session wrote.
    pub track_sessions: bool,
    /// Whether the endpoint list is sent only to subscribers.
    pub list_requires_subscription: bool,
    /// Whether a member that has left the list may still be sent requests. One that was listed as draining may not,
    /// whatever later lists state, until it starts again.
    pub unlisted_members_usable: bool,
    /// Fraction of its capacity that a member has when it starts, from 0 to 1.
    pub slow_start_capacity: f64,
    /// Time from its start after which a member is warm at the latest, in microseconds.
    pub slow_start_duration: Micros,
    /// Factor by which the load of a member that is warming up may exceed its share of a warm member's load.
    pub overload_factor: f64,
    /// Window over which the load of a member that is warming up is measured, in microseconds.
    pub overload_window: Micros,
    /// Cost of sending a request to another zone; zero if there is none.
    pub cross_zone_cost: f64,
}

/// A client's request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Index of the request's class in [`RouterConfig::classes`].
    pub class: usize,
    /// Number that names the group of the request.
    pub group: u64,
    /// Time that the client still waits for this attempt, in microseconds; negative if the process stalled
    /// for longer.
    pub ttl: Micros,
    /// Time that the client has already waited for this attempt, in microseconds.
    pub waited: Micros,
    /// Session that the request belongs to; `None` if it has none.
    pub session: Option<String>,
    /// Position on the members' clock that a read of the session's writes must see, as the client states it;
    /// `None` if it states none.
    pub min_position: Option<Micros>,
    /// Time since the session's last write was committed, in microseconds, as the client or another router
    /// states it; `None` if neither does.
    pub last_write_age: Option<Micros>,
    /// Time since the first attempt that another router made of this request and that may have run, in
    /// microseconds; `None` if there is none.
    pub earlier_attempt_age: Option<Micros>,
    /// Whether the request is suspended from the start, see [`RequestHandle::suspend`].
    pub is_suspended: bool,
    /// Whether the client marked the request as a retry.
    pub marked_retry: bool,
    /// Number of earlier requests of the same connection that were not answered yet when this one arrived.
    pub client_backlog: usize,
}

/// Whether a member takes requests, according to the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum MemberStatus {
    /// The member takes requests.
    Ready,
    /// The member is shutting down gracefully and must get nothing new.
    Draining,
    /// The member has left the list.
    #[default]
    Unlisted,
}

/// An entry of the endpoint list.
#[derive(Clone, Debug)]
pub struct ListedMember {
    /// Index that the caller assigned to the member.
    pub member: MemberId,
    /// Name of the member, unchanged for its lifetime.
    pub name: String,
    /// Number that names the member's group.
    pub group: u64,
    /// Index of the member's zone.
    pub zone: usize,
    /// Whether the member takes requests.
    pub status: MemberStatus,
    /// Time of the member's last start; `None` if that was long ago.
    pub started_at: Option<Micros>,
    /// Time of the member's last start exactly as the list states it, in microseconds; zero if that was long ago. It is
    /// compared with other starts of this member only, so its clock does not matter.
    pub listed_start: Micros,
    /// Size of the member relative to others, as far as the list states sizes.
    pub size: f64,
    /// Whether the list names the member as its group's primary.
    pub is_primary: bool,
}

/// Role of a member in its group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Takes the group's writes.
    Primary,
    /// Applies what the primary has committed.
    Replica,
}

/// Role and replication position that a member reports of itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct MemberReport {
    /// Reported role; `None` if none was reported.
    pub role: Option<Role>,
    /// Time on the members' clock up to which the member has applied all commits; `None` if none was
    /// reported.
    pub position: Option<Micros>,
    /// Maximum age of the report, in microseconds, as the process may have stalled since it arrived.
    pub age: Micros,
}

/// Result of an attempt or a health check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The member answered as requested.
    Served,
    /// The member answered with an error, caused by itself or by the request.
    Error,
    /// The member rejected the attempt because of its load; the attempt never ran.
    Overloaded,
    /// No answer came in time.
    TimedOut,
    /// No process accepted the connection; the attempt never ran.
    Unconnected,
    /// No network path leads to the member (ETIMEDOUT, EHOSTUNREACH). The attempt was never sent in full, and
    /// the member's process may well be alive.
    Unreachable,
    /// This machine could not open a connection. The attempt was never sent, and nothing was learned about
    /// the member.
    LocalFailure,
    /// The member's process closed the connection before it answered; the attempt may have run.
    Reset,
    /// The response is unusable, or only the connection broke. The attempt may have run, and the member is
    /// alive.
    Malformed,
    /// The connection broke before the attempt was written in full, though the member is alive.
    ConnectionLost,
    /// The attempt was abandoned, as its client left or was answered otherwise.
    Cancelled,
    /// The deadline passed while the process stalled. The attempt may have run, and nothing was observed of
    /// the member.
    Unobserved,
    /// The attempt's [`Validity`] ended before it was sent.
    NotSent,
    /// The member answered that it is not the primary; the attempt never ran.
    NotPrimary,
}

impl Verdict {
    /// Returns whether the attempt is known never to have run.
    pub fn never_ran(self) -> bool {
        use Verdict::*;
        matches!(
            self,
            Overloaded | Unconnected | Unreachable | LocalFailure | ConnectionLost | NotSent | NotPrimary
        )
    }

    /// Returns whether the verdict proves that the member's process is alive.
    pub fn proves_process_alive(self) -> bool {
        use Verdict::*;
        matches!(self, Served | Error | Overloaded | NotPrimary | Malformed | ConnectionLost)
    }
}

/// End of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Result of the attempt.
    pub verdict: Verdict,
    /// Duration of the attempt, in microseconds.
    pub duration: Micros,
    /// Report of the member on itself.
    pub report: MemberReport,
    /// Whether the request is over, by this outcome or before it.
    pub request_closed: bool,
}

/// State that a router has learned and that may be kept across a restart, in coarse form.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct LearnedState {
    /// Believed primaries, each with the time of the newest report of it.
    pub primaries: Vec<(MemberId, Micros)>,
    /// Median and 90th percentile of the duration of attempts, in microseconds, by request class; zero if
    /// unknown.
    pub durations: Vec<(Micros, Micros)>,
    /// Concurrency limits of members, as exponents of two, rounded down.
    pub concurrency_limits: Vec<(MemberId, i32)>,
}

/// Redirection of a group's reads from this zone to others, as a zone-wide directive asks for it.
#[derive(Clone, Debug, Default)]
pub struct ReadShift {
    /// Fraction of the reads that goes to other zones, from 0 to 1.
    pub remote_share: f64,
    /// Weights by which the reads sent away are divided among zones; a zone that is absent gets none.
    pub zone_weights: BTreeMap<usize, f64>,
}

/// Conditions under which an attempt may be sent.
///
/// They must hold when the last byte of the attempt leaves, however long it waited for a connection. Where
/// they do not, the attempt is not sent and ends as [`Verdict::NotSent`]. They follow from two rules: the
/// staleness bound of a read counts from the send, not from the decision, and a repeat of a deduplicated
/// request must stay within its window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Validity {
    /// Time on the caller's clock from which the attempt must not be sent; `Micros::MAX` if there is none.
    pub expires_at: Micros,
    /// Whether the attempt must not be sent once the member has reported after the decision that it is a
    /// replica.
    pub requires_primary: bool,
}

impl Validity {
    /// Validity without conditions.
    pub const UNLIMITED: Validity = Validity { expires_at: Micros::MAX, requires_primary: false };
}

/// Action to take for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send an attempt.
    Attempt {
        /// Member to send the attempt to.
        member: MemberId,
        /// Time that the answer may take, in microseconds.
        timeout: Micros,
        /// Whether to open a new connection and close the idle ones.
        on_new_connection: bool,
        /// Conditions that must hold when the attempt is sent.
        validity: Validity,
    },
    /// Tell the client that its request was rejected and had no effect.
    Reject {
        /// Retry-after for the client, in microseconds.
        retry_after: Micros,
    },
    /// Tell the client that its request failed and may have taken effect.
    Fail,
}

/// Actions that the caller must carry out now, in the order of the fields, and the time of the next wake-up.
#[derive(Clone, Debug, Default)]
pub struct Actions {
    /// Requests, each with the action to take for it.
    pub requests: Vec<(RequestHandle, Action)>,
    /// Members to send a health check to.
    pub health_checks: Vec<MemberId>,
    /// Members whose idle connections must be closed.
    pub close_idle: Vec<MemberId>,
    /// Whether to subscribe to the endpoint list.
    pub subscribe: bool,
    /// Time at which to call [`Router::wake`] next, whatever else happens.
    pub wake_at: Option<Micros>,
}
