//! Reads that must see the writes of their session, where another router made these writes.

use aldermill_routing::{MemberReport, Micros, Request, Role, Verdict};

use crate::fixtures::{MS, OWN_WRITES_READ, WRITE, checked_simulation, router_config, target};
use crate::simulation::Simulation;

/// Lead of the members' clock over the router's, in microseconds.
const CLOCK_LEAD: Micros = 5_000 * MS;

/// Returns a simulation in which the members' clock is ahead, no primary is known, and all members report that they
/// are replicas that lag by `lag` microseconds.
fn lagging_replicas(lag: Micros) -> Simulation {
    let mut simulation = checked_simulation(router_config());
    simulation.router.set_members_clock(CLOCK_LEAD, &[]);
    simulation.advance(MS);
    let position = simulation.now + CLOCK_LEAD - lag;
    let report = MemberReport { role: Some(Role::Replica), position: Some(position), age: 0 };
    (0..4).for_each(|member| simulation.answer_health_check_with(member, report));
    simulation
}

fn own_writes_read(last_write_age: Micros) -> Request {
    Request {
        class: OWN_WRITES_READ,
        group: 7,
        ttl: 1_000 * MS,
        last_write_age: Some(last_write_age),
        ..Request::default()
    }
}

/// Guards against a stale read where the process's wall clock is behind: the age of a write that another router
/// states was compared with positions on the members' clock as if the two clocks agreed.
#[test]
fn the_age_of_a_write_counts_on_the_members_clock() {
    let mut simulation = lagging_replicas(100 * MS);
    let read = simulation.submit_request(own_writes_read(50 * MS));
    assert_eq!(target(&simulation, read), None, "no replica has applied the write");
    let read = simulation.submit_request(own_writes_read(150 * MS));
    assert!(target(&simulation, read).is_some(), "all replicas have applied the write");
}

/// Guards against a stale read at this site of a write that was forwarded to another one, while it is under way and
/// once it was answered.
#[test]
fn a_read_sees_a_forwarded_write_of_its_session() {
    let mut simulation = lagging_replicas(0);
    let read_target = |simulation: &mut Simulation| {
        let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, "writer");
        target(simulation, read)
    };
    assert!(read_target(&mut simulation).is_some(), "the session has not written");
    simulation.router.write_forwarded("writer");
    simulation.advance(10 * MS);
    assert_eq!(simulation.router.session_write_age(simulation.now, "writer"), Some(0));
    assert_eq!(read_target(&mut simulation), None, "the write may be committed by now");
    simulation.router.forwarded_write_ended(simulation.now, "writer");
    simulation.advance(10 * MS);
    assert_eq!(simulation.router.session_write_age(simulation.now, "writer"), Some(10 * MS));
    assert_eq!(read_target(&mut simulation), None, "no replica has applied the write");
}

/// Guards against a read at another site that is told of no write, though this router's own attempt made one.
#[test]
fn the_age_of_a_sessions_write_counts_this_routers_attempts() {
    let mut simulation = checked_simulation(router_config());
    let age = |simulation: &Simulation| simulation.router.session_write_age(simulation.now, "writer");
    assert_eq!(age(&simulation), None);
    let write = simulation.submit_in_session(WRITE, 1_000 * MS, "writer");
    assert_eq!(age(&simulation), Some(0));
    simulation.end_attempt(write, Verdict::Served);
    simulation.advance(30 * MS);
    assert_eq!(age(&simulation), Some(30 * MS));
}

/// Guards against sessions that are remembered without a limit under ever new names. The simulation checks that reads
/// of forgotten sessions see their writes.
#[test]
fn the_sessions_remembered_are_bounded_and_reads_of_forgotten_ones_see_their_writes() {
    const SESSIONS: usize = 12_000;
    let mut simulation = checked_simulation(router_config());
    for number in 0..SESSIONS {
        let write = simulation.submit_in_session(WRITE, 2_000 * MS, &format!("session {number}"));
        simulation.end_attempt(write, Verdict::Served);
        if number % 500 == 0 {
            simulation.advance(20 * MS);
        }
    }
    simulation.advance(20 * MS);
    let remembered = simulation.router.remembered_sessions();
    assert!(remembered <= 10_000, "{remembered}");
    for number in [0, SESSIONS / 2, SESSIONS - 1] {
        let read = simulation.submit_in_session(OWN_WRITES_READ, 1_000 * MS, &format!("session {number}"));
        simulation.advance(100 * MS);
        assert!(target(&simulation, read).is_some(), "the read of session {number} is not attempted");
        simulation.end_attempt(read, Verdict::Served);
    }
}
