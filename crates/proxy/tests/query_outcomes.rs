//! Tests of the classification of query outcomes, by how much of the query was sent and by its result: every
//! row of the table of verdicts.

#[path = "../src/member/outcome.rs"]
mod outcome;
#[path = "../src/system"]
mod system {
    #[allow(dead_code, reason = "the proxy uses the remaining items")]
    mod errors;
    pub use errors::SocketErrorKind;
}

use std::io;

use aldermill_routing::Verdict;
use outcome::{QueryError, QueryKind, QueryObservations, ResponseKind, Sent, Symptom, symptom, verdict};
use system::SocketErrorKind;
use uapi::c;

/// Both kinds of queries.
const KINDS: [QueryKind; 2] = [QueryKind::Attempt, QueryKind::HealthCheck];

/// Returns a socket error of this kind, made from an errno that has the kind.
fn socket_error(kind: SocketErrorKind) -> QueryError {
    let errno = match kind {
        SocketErrorKind::Local => c::ENETUNREACH,
        SocketErrorKind::Refused => c::ECONNREFUSED,
        SocketErrorKind::Reset => c::ECONNRESET,
        SocketErrorKind::Unreachable => c::EHOSTUNREACH,
    };
    QueryError::from(io::Error::from_raw_os_error(errno))
}

/// Returns the observations of a query that ended without a response, outside of a stall, and with enough
/// time to connect.
fn failed_query(kind: QueryKind, sent: Sent, error: &QueryError) -> QueryObservations<'_> {
    QueryObservations { kind, sent, result: Err(error), stalled: false, had_time_to_connect: true }
}

/// Returns the verdict if the member's process is known to be alive.
fn verdict_with_live_process(observations: QueryObservations<'_>) -> Verdict {
    verdict(&observations, || false)
}

#[test]
fn the_verdict_of_an_error_depends_on_how_much_was_sent() {
    use QueryError::{
        Closed, ConnectionRejected, DeadlineExceeded, Malformed, NoDescriptor, NoLongerValid,
        TooManyConnections, TooSlow,
    };
    use Verdict as V;
    let table = [
        (NoLongerValid, V::NotSent, V::NotSent, None),
        (NoDescriptor, V::LocalFailure, V::LocalFailure, None),
        (TooManyConnections, V::Overloaded, V::Overloaded, None),
        (ConnectionRejected, V::ConnectionLost, V::ConnectionLost, None),
        (socket_error(SocketErrorKind::Local), V::LocalFailure, V::LocalFailure, Some(V::Unobserved)),
        (socket_error(SocketErrorKind::Refused), V::Unconnected, V::Unconnected, Some(V::Malformed)),
        (socket_error(SocketErrorKind::Reset), V::ConnectionLost, V::ConnectionLost, Some(V::Malformed)),
        (socket_error(SocketErrorKind::Unreachable), V::Unreachable, V::Unreachable, Some(V::TimedOut)),
        (Closed, V::ConnectionLost, V::ConnectionLost, Some(V::Malformed)),
        (Malformed, V::ConnectionLost, V::ConnectionLost, Some(V::Malformed)),
        (TooSlow, V::ConnectionLost, V::ConnectionLost, Some(V::Malformed)),
        (DeadlineExceeded, V::Unconnected, V::Unconnected, Some(V::TimedOut)),
    ];
    for (error, nothing, partly, whole) in &table {
        let attempt = |sent| verdict_with_live_process(failed_query(QueryKind::Attempt, sent, error));
        assert_eq!(attempt(Sent::Nothing), *nothing, "{error:?}");
        assert_eq!(attempt(Sent::Partly), *partly, "{error:?}");
        let Some(whole) = whole else { continue };
        assert_eq!(attempt(Sent::Whole), *whole, "{error:?}");
        // The verdict of a health check differs only if no connection was established in time.
        let health_check =
            |sent| verdict_with_live_process(failed_query(QueryKind::HealthCheck, sent, error));
        assert_eq!(health_check(Sent::Partly), *partly, "{error:?}");
        assert_eq!(health_check(Sent::Whole), *whole, "{error:?}");
    }
    let health_check = failed_query(QueryKind::HealthCheck, Sent::Nothing, &DeadlineExceeded);
    assert_eq!(verdict_with_live_process(health_check), Verdict::TimedOut);
}

#[test]
fn an_attempt_counts_as_never_run_exactly_if_it_was_not_sent_whole() {
    let errors = [
        socket_error(SocketErrorKind::Local),
        socket_error(SocketErrorKind::Refused),
        socket_error(SocketErrorKind::Reset),
        socket_error(SocketErrorKind::Unreachable),
        QueryError::Closed,
        QueryError::Malformed,
        QueryError::TooSlow,
        QueryError::DeadlineExceeded,
    ];
    for error in &errors {
        for stalled in [false, true] {
            for had_time_to_connect in [false, true] {
                for process_gone in [false, true] {
                    for sent in [Sent::Nothing, Sent::Partly, Sent::Whole] {
                        let observations = QueryObservations {
                            stalled,
                            had_time_to_connect,
                            ..failed_query(QueryKind::Attempt, sent, error)
                        };
                        let verdict = verdict(&observations, || process_gone);
                        assert_eq!(verdict.never_ran(), sent != Sent::Whole, "{observations:?}: {verdict:?}");
                    }
                }
            }
        }
    }
}

#[test]
fn a_connection_without_enough_time_to_be_established_proves_nothing_about_its_member() {
    let error = QueryError::DeadlineExceeded;
    for (stalled, had_time_to_connect) in [(false, false), (true, false), (true, true)] {
        let observations = QueryObservations {
            stalled,
            had_time_to_connect,
            ..failed_query(QueryKind::Attempt, Sent::Nothing, &error)
        };
        assert_eq!(verdict_with_live_process(observations), Verdict::NotSent, "{observations:?}");
        assert_eq!(symptom(verdict_with_live_process(observations)), Symptom::None);
    }
}

#[test]
fn silence_during_a_stall_of_the_process_is_unobserved() {
    for error in [QueryError::DeadlineExceeded, socket_error(SocketErrorKind::Unreachable)] {
        for kind in KINDS {
            let observations = QueryObservations { stalled: true, ..failed_query(kind, Sent::Whole, &error) };
            assert_eq!(verdict_with_live_process(observations), Verdict::Unobserved, "{observations:?}");
        }
    }
    let error = QueryError::DeadlineExceeded;
    let observations =
        QueryObservations { stalled: true, ..failed_query(QueryKind::HealthCheck, Sent::Nothing, &error) };
    assert_eq!(verdict_with_live_process(observations), Verdict::Unobserved);
}

#[test]
fn a_broken_connection_shows_a_dead_process_only_if_the_others_were_reset() {
    for error in
        [QueryError::Closed, socket_error(SocketErrorKind::Reset), socket_error(SocketErrorKind::Refused)]
    {
        for kind in KINDS {
            let observations = failed_query(kind, Sent::Whole, &error);
            assert_eq!(verdict(&observations, || true), Verdict::Reset, "{observations:?}");
            assert_eq!(verdict(&observations, || false), Verdict::Malformed, "{observations:?}");
        }
    }
}

#[test]
fn other_connections_are_inspected_only_if_one_broke_after_a_whole_query() {
    let errors =
        [QueryError::Malformed, QueryError::TooSlow, QueryError::DeadlineExceeded, QueryError::Closed];
    for error in &errors {
        let process_gone = || -> bool { panic!("other connections were inspected after {error:?}") };
        verdict(&failed_query(QueryKind::Attempt, Sent::Partly, error), process_gone);
        if !matches!(error, QueryError::Closed) {
            verdict(&failed_query(QueryKind::Attempt, Sent::Whole, error), process_gone);
        }
    }
}

#[test]
fn the_verdict_of_a_response_depends_on_its_code() {
    let table = [
        (ResponseKind::Value, Verdict::Served, Verdict::Served),
        (ResponseKind::TooLarge, Verdict::Served, Verdict::Served),
        (ResponseKind::Error("25006"), Verdict::NotPrimary, Verdict::NotPrimary),
        (ResponseKind::Error("72000"), Verdict::NotPrimary, Verdict::NotPrimary),
        (ResponseKind::Error("53300"), Verdict::Overloaded, Verdict::Overloaded),
        (ResponseKind::Error("57P03"), Verdict::Error, Verdict::Overloaded),
        (ResponseKind::Error("XX000"), Verdict::Error, Verdict::Error),
    ];
    for (response, attempt, health_check) in table {
        for (kind, expected) in [(QueryKind::Attempt, attempt), (QueryKind::HealthCheck, health_check)] {
            let observations = QueryObservations {
                kind,
                sent: Sent::Whole,
                result: Ok(response),
                stalled: true,
                had_time_to_connect: false,
            };
            assert_eq!(verdict_with_live_process(observations), expected, "{observations:?}");
            assert_eq!(symptom(expected), Symptom::None, "a response does not speak against its member");
        }
    }
}

#[test]
fn a_verdict_has_a_symptom_only_if_it_reveals_something_about_the_member() {
    let table = [
        (Verdict::TimedOut, Symptom::Silent),
        (Verdict::Malformed, Symptom::UnusableResponse),
        (Verdict::ConnectionLost, Symptom::UnusableResponse),
        (Verdict::Unconnected, Symptom::Unreachable),
        (Verdict::Unreachable, Symptom::Unreachable),
        (Verdict::Reset, Symptom::ProcessGone),
        (Verdict::LocalFailure, Symptom::LocalFailure),
        (Verdict::Unobserved, Symptom::None),
        (Verdict::NotSent, Symptom::None),
        (Verdict::Cancelled, Symptom::None),
    ];
    for (verdict, expected) in table {
        assert_eq!(symptom(verdict), expected, "{verdict:?}");
    }
}
