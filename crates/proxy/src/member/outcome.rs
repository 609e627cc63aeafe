//! What the end of a query means: a verdict on its request, and a symptom of its member.
//!
//! Both are functions of what was observed, without I/O and without a clock. [`verdict`] reads as a table: how much of
//! the query was sent, and what came of it.

use std::io;

use aldermill_routing::Verdict;
use aldermill_wire::pg::sql_state;
use thiserror::Error;

use crate::system::SocketErrorKind;

/// What a query is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryKind {
    /// An attempt of a client's request.
    Attempt,
    /// A health check of the proxy's own.
    HealthCheck,
}

/// How much of a query was written to its member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sent {
    /// None of it: there was no connection, or it was not allowed to be sent any more.
    Nothing,
    /// Not all of it. A member that does not have the whole query cannot have begun to run it.
    Partly,
    /// All of it: it may have run.
    Whole,
}

/// What a member answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer<'a> {
    /// A value, whole and confirmed.
    Value,
    /// The beginning of a value that no buffer space was to be had for. The member did its part.
    TooLarge,
    /// An error, by its SQLSTATE.
    Error(&'a str),
}

/// Why a query ended without an answer.
#[derive(Debug, Error)]
pub enum QueryError {
    /// The conditions of sending it no longer held once the connection was there.
    #[error("may no longer be sent: cancelled, out of time, or the member drains, moved or was demoted")]
    Withheld,
    /// The proxy has used up its descriptors for members.
    #[error("no descriptor to spare in time; raise limits.sockets and the limit on open files (ulimit -n)")]
    NoDescriptor,
    /// The member refused the connection for load.
    #[error("the member has no connection to spare; see how many it allows, and who holds them")]
    TooManyConnections,
    /// The member refused the connection for another reason, or asked for a password.
    #[error("the member refused the connection; see who may connect to it, and its own log")]
    ConnectionRejected,
    /// A system call on the connection failed.
    #[error("{source}")]
    Socket {
        /// Whom the error speaks of.
        kind: SocketErrorKind,
        /// What the system said.
        source: io::Error,
    },
    /// The member closed the connection.
    #[error("the member closed the connection; its own log may say why")]
    Closed,
    /// The member sent what the protocol does not allow at that place.
    #[error("the member sent what the protocol does not allow here; see what listens at its address")]
    Malformed,
    /// Bytes moved more slowly than the least rate, or the end of an answer was missing behind its value.
    #[error("the member moves bytes more slowly than the least rate; look at its load and the network")]
    TooSlow,
    /// The query's deadline passed, or the time to connect.
    #[error("not done in time; look at the member's load and the network")]
    DeadlinePassed,
}

impl From<io::Error> for QueryError {
    fn from(source: io::Error) -> QueryError {
        QueryError::Socket { kind: SocketErrorKind::of(&source), source }
    }
}

/// What was observed of a query up to its end.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'a> {
    /// What the query is for.
    pub kind: QueryKind,
    /// How much of it was written.
    pub sent: Sent,
    /// What came of it.
    pub result: Result<Answer<'a>, &'a QueryError>,
    /// The process stalled since the query began: an answer may have come in time, and nobody was there to see it.
    pub stalled: bool,
    /// A connection was given at least `limits.member.min_connect_time` to come up.
    pub had_time_to_connect: bool,
}

/// What the end of a query means for its request.
///
/// `process_gone` says whether the member's process seems to be gone, by its other connections. It looks at their
/// sockets, and is asked only where a connection broke under a query that was sent.
#[allow(
    clippy::enum_glob_use,
    clippy::wildcard_imports,
    reason = "a table of verdicts, which reads by the names of the variants alone"
)]
pub fn verdict(evidence: &Evidence<'_>, process_gone: impl FnOnce() -> bool) -> Verdict {
    use QueryError::*;
    use Sent::{Nothing, Partly, Whole};
    use sql_state::*;
    let is_health_check = evidence.kind == QueryKind::HealthCheck;
    let proves_unreachable = evidence.had_time_to_connect && !evidence.stalled;
    match (evidence.sent, evidence.result) {
        // The member answered: that counts, whatever happened to the connection afterwards.
        (_, Ok(Answer::Value | Answer::TooLarge)) => Verdict::Served,
        (_, Ok(Answer::Error(READ_ONLY_SQL_TRANSACTION | SNAPSHOT_TOO_OLD))) => Verdict::NotPrimary,
        (_, Ok(Answer::Error(TOO_MANY_CONNECTIONS))) => Verdict::Overloaded,
        (_, Ok(Answer::Error(CANNOT_CONNECT_NOW))) if is_health_check => Verdict::Overloaded,
        (_, Ok(Answer::Error(_))) => Verdict::Error,

        // The query had not come to being sent.
        (_, Err(Withheld)) => Verdict::NotSent,
        (_, Err(NoDescriptor)) => Verdict::LocalFailure,
        (_, Err(TooManyConnections)) => Verdict::Overloaded,
        (_, Err(ConnectionRejected)) => Verdict::ConnectionLost,

        // No connection came up in time. An attempt that had too little time for one proves nothing.
        (Nothing, Err(DeadlinePassed)) if is_health_check => timed_out(evidence),
        (Nothing, Err(DeadlinePassed)) if proves_unreachable => Verdict::Unconnected,
        (Nothing, Err(DeadlinePassed)) => Verdict::NotSent,

        // The member does not have the whole query: it never ran.
        (Partly, Err(DeadlinePassed)) => Verdict::Unconnected,
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Local, .. })) => Verdict::LocalFailure,
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Refused, .. })) => Verdict::Unconnected,
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Unreachable, .. })) => Verdict::Unreachable,
        // A process that accepted the connection and then broke it is alive.
        (Nothing | Partly, Err(Socket { kind: SocketErrorKind::Reset, .. })) => Verdict::ConnectionLost,
        (Nothing | Partly, Err(Closed | Malformed | TooSlow)) => Verdict::ConnectionLost,

        // The member has the whole query: it may have run.
        (Whole, Err(DeadlinePassed)) => timed_out(evidence),
        (Whole, Err(Socket { kind: SocketErrorKind::Unreachable, .. })) => timed_out(evidence),
        (Whole, Err(Socket { kind: SocketErrorKind::Local, .. })) => Verdict::Unobserved,
        (Whole, Err(Malformed | TooSlow)) => Verdict::Malformed,
        // Where only this connection broke, the member stands. If its process did die, the next connection is refused.
        (Whole, Err(Closed | Socket { kind: SocketErrorKind::Reset | SocketErrorKind::Refused, .. })) => {
            if process_gone() {
                Verdict::Reset
            } else {
                Verdict::Malformed
            }
        }
    }
}

/// Silence up to the deadline; it proves nothing where the deadline passed during a stall of this process.
fn timed_out(evidence: &Evidence<'_>) -> Verdict {
    if evidence.stalled { Verdict::Unobserved } else { Verdict::TimedOut }
}

/// What a verdict shows of the member.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Symptom {
    /// Nothing against it.
    None,
    /// It did not answer in time: connections from before may lead nowhere.
    Silent,
    /// Its response could not be used, or a single connection broke.
    UnusableResponse,
    /// No connection to it comes up.
    Unreachable,
    /// Its process seems to be gone, and with it whatever its other connections lead to.
    ProcessGone,
    /// This machine could not open a connection, which says nothing of the member.
    LocalFailure,
}

/// What a verdict shows of the member.
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
