//! Attempts that could not be sent from this machine.

use crate::simulation::{ANY_AGE_READ, MS, Simulation, WRITE, checked_simulation, router_config, target};
use aldermill_routing::{RouterConfig, Verdict};

/// Ends each attempt that is in flight with a local failure. Attempts that this triggers stay in flight.
fn fail_all_locally(simulation: &mut Simulation) {
    simulation
        .in_flight()
        .into_iter()
        .for_each(|(handle, _)| simulation.end_attempt(handle, Verdict::LocalFailure));
}

#[test]
fn a_write_that_cannot_be_sent_is_retried_within_its_deadline() {
    let mut simulation = checked_simulation(router_config());
    let write = simulation.submit(WRITE, 1_500 * MS);
    for _ in 0..100 {
        fail_all_locally(&mut simulation);
        simulation.advance(10 * MS);
    }
    let attempts = simulation.attempted.len();
    assert!((10..60).contains(&attempts), "{attempts} attempts in a second");
    assert!(simulation.rejected.is_empty() && simulation.failed.is_empty());
    simulation.advance(100 * MS);
    assert_eq!(target(&simulation, write), Some(0), "the primary is still believed to be one");
    simulation.end_attempt(write, Verdict::Served);
    assert!(simulation.rejected.is_empty() && simulation.failed.is_empty());
}

#[test]
fn local_failures_do_not_count_against_members() {
    let mut simulation = checked_simulation(router_config());
    // These are more failures in a row than blacklist a member. Reads that still wait are given up by
    // their own deadlines.
    for round in 0..60 {
        if round < 40 {
            simulation.submit(ANY_AGE_READ, 200 * MS);
        }
        fail_all_locally(&mut simulation);
        simulation.advance(20 * MS);
    }
    assert!(simulation.in_flight().is_empty());
    simulation.advance(1_100 * MS);
    let reads: Vec<_> = (0..12).map(|_| simulation.submit(ANY_AGE_READ, 1_500 * MS)).collect();
    for id in 1..4 {
        assert!(
            reads.iter().any(|&read| target(&simulation, read) == Some(id)),
            "no read at member {id}: {:?}",
            simulation.in_flight()
        );
    }
}

#[test]
fn members_with_idle_connections_come_first_and_new_connections_are_opened_one_at_a_time() {
    let mut simulation = checked_simulation(router_config());
    let reads: Vec<_> = (0..6).map(|_| simulation.submit(ANY_AGE_READ, 1_500 * MS)).collect();
    assert_eq!(simulation.in_flight().len(), 6);
    let request_at = |simulation: &Simulation, id| {
        simulation
            .in_flight()
            .into_iter()
            .find(|&(_, at)| at == id)
            .expect("an attempt is in flight at the member")
            .0
    };
    // None of the attempts gets a connection, except for one at member 1, which is served.
    let served_read = request_at(&simulation, 1);
    fail_all_locally_except(&mut simulation, served_read);
    let attempts_before = simulation.attempted.len();
    simulation.end_attempt(served_read, Verdict::Served);
    assert_eq!(simulation.attempted.len(), attempts_before + 1, "one queued read is attempted");
    assert_eq!(simulation.attempted[attempts_before].1, 1, "it goes to the member with an idle connection");
    // Connections can be opened again. The queued reads are attempted a few at a time.
    let queued = reads.len() - 2;
    simulation.advance(20 * MS);
    assert!(
        simulation.attempted.len() - attempts_before - 1 < queued,
        "too many attempts within 20 ms: {:?}",
        &simulation.attempted[attempts_before..]
    );
    simulation.advance(300 * MS);
    assert_eq!(simulation.in_flight().len(), queued + 1, "all queued reads are in flight");
}

/// Ends attempts with a local failure until none is in flight except that of the request `kept`.
fn fail_all_locally_except(simulation: &mut Simulation, kept: aldermill_routing::RequestHandle) {
    loop {
        let failing = simulation.in_flight().into_iter().find(|&(handle, _)| handle != kept);
        let Some((handle, _)) = failing else { return };
        simulation.end_attempt(handle, Verdict::LocalFailure);
    }
}

#[test]
fn a_primary_without_a_network_path_is_avoided_and_does_not_start_slowly() {
    for (verdict, starts_slowly) in [(Verdict::Unreachable, false), (Verdict::Unconnected, true)] {
        let mut simulation =
            checked_simulation(RouterConfig { overload_window: 500 * MS, ..router_config() });
        let first_write = simulation.submit(WRITE, 4_000 * MS);
        simulation.end_attempt(first_write, verdict);
        assert_eq!(
            target(&simulation, first_write),
            None,
            "{verdict:?}: the primary is not tried again at once"
        );
        simulation.submit(WRITE, 4_000 * MS);
        simulation.advance(1_100 * MS);
        while let Some(&(tried, _)) = simulation.in_flight().first() {
            simulation.end_attempt(tried, verdict);
        }
        simulation.advance(990 * MS);
        simulation.end_health_check(0, true);
        assert_eq!(
            simulation.in_flight().len(),
            if starts_slowly { 1 } else { 2 },
            "{verdict:?}: attempts once it answers"
        );
    }
}
