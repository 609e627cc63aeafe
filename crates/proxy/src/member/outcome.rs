//! Classifies how a query ended: a verdict on its request, and a symptom of its member.
//!
//! Both are functions of what was observed, without I/O and without a clock. [`verdict`] is a table, indexed
//! by how much of the query was sent and by its result.

use std::io;

use aldermill_routing::Verdict;
use aldermill_wire::pg::sql_state;
use thiserror::Error;

use crate::system::SocketErrorKind;

/// Purpose of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryKind {
    /// An attempt of a client's request.
    Attempt,
    /// A health check, which the proxy sends on its own behalf.
    HealthCheck,
}

/// How much of a query was written to its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// None of it: there was no connection, or the query was no longer allowed to be sent.
    Nothing,
    /// Not all of it. The member cannot have started to execute a query that it has not received in full.
    Partly,
    /// All of it: the member may have executed it.
    Whole,
}

/// What a member responded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseKind<'a> {
    /// A complete and confirmed value.
    Value,
    /// The start of a value for which no buffer space was available. The member is not at fault.
    TooLarge,
    /// An error, with its SQLSTATE.
    Error(&'a str),
}

/// Why a query ended without a response.
#[derive(Debug, Error)]
pub enum QueryError {
    /// A condition for sending the query no longer held once the connection was available.
    #[error("query no longer valid: cancelled, expired, or the member is draining, has moved or was demoted")]
    NoLongerValid,
    /// No descriptor for a connection to a member was free in time.
    #[error("no descriptor to spare in time; raise limits.sockets and the limit on open files (ulimit -n)")]
    NoDescriptor,
    /// The member rejected the connection because of its load.
    #[error("the member has no free connections; check its connection limit and which clients hold them")]
    TooManyConnections,
    /// The member rejected the connection for another reason, or requested credentials.
    #[error("the member rejected the connection; check which clients may connect to it, and its log")]
    ConnectionRejected,
    /// A system call on the connection failed.
    #[error("{source}")]
    Socket {
        /// What the error says about the two ends of the connection and the path between them.
        kind: SocketErrorKind,
        /// Underlying error.
        source: io::Error,
    },
    /// The member closed the connection.
    #[error("the member closed the connection; check its log for the reason")]
    Closed,
    /// The member sent something that the protocol does not allow at this point.
    #[error("the member violated the protocol; check which service listens at its address")]
    Malformed,
    /// Bytes moved more slowly than the minimum rate, or the end of a response did not follow its value.
    #[error("the member transfers data below the minimum rate; check its load and the network")]
    TooSlow,
    /// The query's deadline passed, or the time limit for connecting.
    #[error("deadline exceeded; check the member's load and the network")]
    DeadlineExceeded,
}

impl From<io::Error> for QueryError {
    fn from(source: io::Error) -> QueryError {
        QueryError::Socket { kind: SocketErrorKind::of(&source), source }
    }
}

/// What was observed of a query until it ended.
#[derive(Clone, Copy, Debug)]
pub struct QueryObservations<'a> {
    /// Purpose of the query.
    pub kind: QueryKind,
    /// How much of the query was written.
    pub sent: Sent,
    /// What the member responded, or why there is no response.
    pub result: Result<ResponseKind<'a>, &'a QueryError>,
    /// Whether the process stalled after the query started. A response may then have arrived in time without
    /// being read.
    pub stalled: bool,
    /// Whether a connection was given at least `limits.member.min_connect_time` to be established.
    pub had_time_to_connect: bool,
}

/// Returns what the end of a query means for its request.
///
/// `process_gone` returns whether the member's process appears to be gone, judging by the other connections
/// to it. It inspects their sockets, and is called only if the connection broke after the whole query was
/// sent.
#[allow(
    clippy::enum_glob_use,
    clippy::wildcard_imports,
    reason = "the table of verdicts is easier to read with unqualified variant names"
)]
pub fn verdict(observed: &QueryObservations<'_>, process_gone: impl FnOnce() -> bool) -> Verdict {
    use QueryError::*;
    use Sent::{Nothing, Partly, Whole};
    use sql_state::*;
    let is_health_check = observed.kind == QueryKind::HealthCheck;
    let proves_unreachable = observed.had_time_to_connect && !observed.stalled;
    match (observed.sent, observed.result) {
        // A response counts, whatever happened to the connection afterwards.
        (_, Ok(ResponseKind::Value | ResponseKind::TooLarge)) => Verdict::Served,
        (_, Ok(ResponseKind::Error(READ_ONLY_SQL_TRANSACTION | SNAPSHOT_TOO_OLD))) => Verdict::NotPrimary,
        (_, Ok(ResponseKind::Error(TOO_MANY_CONNECTIONS))) => Verdict::Overloaded,
        (_, Ok(ResponseKind::Error(CANNOT_CONNECT_NOW))) if is_health_check => Verdict::Overloaded,
        (_, Ok(ResponseKind::Error(_))) => Verdict::Error,

        // No part of the query was sent.
        (_, Err(NoLongerValid)) => Verdict::NotSent,
        (_, Err(NoDescriptor)) => Verdict::LocalFailure,
        (_, Err(TooManyConnections)) => Verdict::Overloaded,
        (_, Err(ConnectionRejected)) => Verdict::ConnectionLost,

        // No connection was established in time. An attempt that had too little time for one proves nothing.
        (Nothing, Err(DeadlineExceeded)) if is_health_check => timed_out(observed),
        (Nothing, Err(DeadlineExceeded)) if proves_unreachable => Verdict::Unconnected,
        (Nothing, Err(DeadlineExceeded)) => Verdict::NotSent,

        // The member did not receive the whole query, so it never ran.
        (Partly, Err(DeadlineExceeded)) => Verdict::Unconnected,
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Local, .. })) => Verdict::LocalFailure,
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Refused, .. })) => Verdict::Unconnected,
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Unreachable, .. })) => Verdict::Unreachable,
        // A process that accepted the connection and then broke it is alive.
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Reset, .. })) => Verdict::ConnectionLost,
        (Nothing | Partly, Err(Closed | Malformed | TooSlow)) => Verdict::ConnectionLost,

        // The member received the whole query, so it may have run.
        (Whole, Err(DeadlineExceeded)) => timed_out(observed),
        (Whole, Err(Socket { kind: SocketErrorKind::Unreachable, .. })) => timed_out(observed),
        (Whole, Err(Socket { kind: SocketErrorKind::Local, .. })) => Verdict::Unobserved,
        (Whole, Err(Malformed | TooSlow)) => Verdict::Malformed,
        // If only this connection broke, the member counts as alive. If its process did die, the next
        // connection is refused.
        (Whole, Err(Closed | Socket { kind: SocketErrorKind::Reset | SocketErrorKind::Refused, .. })) => {
            if process_gone() {
                Verdict::Reset
            } else {
                Verdict::Malformed
            }
        }
    }
}

/// Returns the verdict for silence until the deadline. Silence proves nothing if the deadline passed during a
/// stall of this process.
fn timed_out(observed: &QueryObservations<'_>) -> Verdict {
    if observed.stalled { Verdict::Unobserved } else { Verdict::TimedOut }
}

/// What a verdict reveals about the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// Nothing that speaks against the member.
    None,
    /// The member did not respond in time: connections opened earlier may be dead.
    Silent,
    /// A response of the member was unusable, or a single connection broke.
    UnusableResponse,
    /// No connection to the member can be established.
    Unreachable,
    /// The member's process appears to be gone, and with it the other end of all its connections.
    ProcessGone,
    /// This machine could not open a connection, which reveals nothing about the member.
    LocalFailure,
}

/// Returns what a verdict reveals about the member.
pub fn symptom(verdict: Verdict) -> Symptom {
    match verdict {
        Verdict::TimedOut => Symptom::Silent,
        Verdict::Malformed | Verdict::ConnectionLost => Symptom::UnusableResponse,
        Verdict::Unconnected | Verdict::Unreachable => Symptom::Unreachable,
        Verdict::Reset => Symptom::ProcessGone,
        Verdict::LocalFailure => Symptom::LocalFailure,
        Verdict::Served
        | Verdict::Error
        | Verdict::Overloaded
        | Verdict::NotPrimary
        | Verdict::Cancelled
        | Verdict::Unobserved
        | Verdict::NotSent => Symptom::None,
    }
}
