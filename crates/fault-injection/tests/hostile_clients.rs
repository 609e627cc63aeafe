//! Short trials of one process with little memory beside hostile clients. The long ones are started by hand
//! (docs/fault-injection.md).

use aldermill_fault_injection::hostile::{Behaviour, HostileGroup, Trial};

/// Length of each trial, in milliseconds.
const LENGTH_MS: u64 = 5_000;

/// Asserts that a trial with these hostile clients holds.
fn assert_holds(sockets: usize, hostile: &[(Behaviour, usize)]) {
    let groups = hostile
        .iter()
        .map(|&(behaviour, connections)| HostileGroup { behaviour, connections, reads: true })
        .collect();
    let trial = Trial {
        memory_mb: 32,
        sockets,
        ordinary: 20,
        length_ms: LENGTH_MS,
        hostile: groups,
        signals: Vec::new(),
        trouble: None,
    };
    let report = trial.run();
    assert!(report.violations().is_empty(), "{:?}: {report}", report.violations());
    assert!(report.served > 0, "{report}");
}

#[test]
fn floods_of_small_messages_leave_no_request_without_an_answer() {
    assert_holds(
        256,
        &[(Behaviour::EncryptionRequests, 3), (Behaviour::Syncs, 3), (Behaviour::EmptyQueries, 2)],
    );
}

#[test]
fn floods_of_requests_leave_no_request_without_an_answer() {
    assert_holds(1024, &[(Behaviour::Reads, 3), (Behaviour::Writes, 3), (Behaviour::UnknownClasses, 2)]);
}

#[test]
fn hundreds_of_clients_that_hold_statements_stay_within_the_memory() {
    assert_holds(
        1024,
        &[(Behaviour::UnfinishedLarge, 150), (Behaviour::LongKeys, 100), (Behaviour::PipelinedSmall, 50)],
    );
}
