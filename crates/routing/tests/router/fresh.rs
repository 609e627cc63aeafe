//! What makes a read's member fresh enough, where no position proves it.

use crate::world::{BOUND, MS, OWN, READ, RECEIPTED, WRITE, World, heard, line, many, target, terms};
use aldermill_routing::{ListedMember, ListedRoles, MemberReport, MemberStatus, Role, RouterConfig, Verdict};

#[test]
fn sessions_forgotten_leave_a_bound_on_what_they_may_have_written() {
    let mut world = heard(terms());
    let writes = |world: &mut World, from: u32| {
        for number in from..from + 10_100 {
            let write = world.take_session(WRITE, 1_000 * MS, &number.to_string());
            world.end(write, Verdict::Served);
        }
    };
    writes(&mut world, 0);
    let first = world.now;
    world.pass(10_500 * MS);
    world.hear_all();
    // Positions from before those writes do not do for a session that may have been one of them.
    world.positions.iter_mut().for_each(|position| *position = first - 50 * MS);
    world.health_checks.clear();
    let read = world.take_session(OWN, 1_000 * MS, "17");
    for asked in 0.. {
        if target(&world, read).is_some() {
            break;
        }
        world.health_check_answer(world.health_checks[asked], true);
    }
    assert_eq!(target(&world, read), Some(0));
}

#[test]
fn where_members_check_and_no_primary_is_left_a_read_goes_to_the_least_behind_replica() {
    let mut world = heard(RouterConfig { members_check_freshness: true, ..terms() });
    world.positions[2] = world.now + 200 * MS;
    world.pass(200 * MS);
    world.health_check_answer(2, true);
    world.pass(BOUND + 20 * MS);
    world.relist(0, MemberStatus::Draining, None);
    world.health_checks.clear();
    let read = world.take(READ, 1_000 * MS);
    while let Some(asked) = world.health_checks.pop() {
        world.health_check_answer(asked, true);
    }
    // All have just said how far behind they are, and would turn it away.
    assert_eq!(target(&world, read), None);
    world.pass(240 * MS);
    assert_eq!(target(&world, read), Some(2));
}

#[test]
fn reads_keep_off_a_crowded_primary_and_writes_do_not() {
    let mut world = heard(many());
    let resort = |world: &mut World| {
        world.pass(BOUND + 3_000 * MS);
        world.health_check_answer(0, true);
        world.health_checks.clear();
        let read = world.take(READ, 1_000 * MS);
        for asked in 0..3 {
            if let Some(&id) = world.health_checks.get(asked) {
                world.health_check_answer(id, true);
            }
        }
        let met = target(world, read);
        world.leave(read);
        met
    };
    assert_eq!(resort(&mut world), Some(0));
    // A write that times out shrinks its window; what it was blacklisted for is over when the next read
    // comes.
    world.pass(2_000 * MS);
    let write = world.take(RECEIPTED, 600 * MS);
    assert_eq!(target(&world, write), Some(0));
    world.pass(6_000 * MS);
    assert_eq!(resort(&mut world), None);
    let write = world.take(WRITE, 2_000 * MS);
    world.pass(100 * MS);
    assert_eq!(target(&world, write), Some(0));
}

/// What member 0, which was primary until now, says of itself from now on.
fn steps_down(world: &mut World) -> MemberReport {
    world.move_primary(1);
    MemberReport { role: Some(Role::Replica), position: Some(world.now), age: 0 }
}

/// Where a read goes that only a primary is fresh enough for, as long as no other member was heard.
fn resort(world: &mut World) -> Option<usize> {
    world.pass(BOUND + 50 * MS);
    world.health_checks.clear();
    let read = world.take(READ, 1_000 * MS);
    while let Some(asked) = world.health_checks.pop() {
        world.health_check_answer(asked, false);
    }
    let met = target(world, read);
    world.leave(read);
    met
}

#[test]
fn a_primary_that_says_it_is_a_replica_is_believed_though_its_position_stands_still() {
    let mut world = heard(terms());
    let write = world.take(WRITE, 1_000 * MS);
    world.end(write, Verdict::Served);
    assert_eq!(resort(&mut world), Some(0), "a read that lacks a fresh replica goes to the primary");
    let word = steps_down(&mut world);
    // A write's answer from before that, heard now, dates the group's word later than the position told below.
    world.pass(30 * MS);
    let write = world.take(WRITE, 1_000 * MS);
    world.end_saying(write, Verdict::Served, MemberReport { role: Some(Role::Primary), ..word });
    world.health_check_says(0, word);
    assert_eq!(resort(&mut world), None, "rule 5: by its own word it is no primary any more");
}

#[test]
fn an_answer_asked_for_before_a_member_said_it_is_a_replica_makes_it_no_primary() {
    let mut world = heard(terms());
    let (first, second) = (world.take(WRITE, 1_000 * MS), world.take(WRITE, 1_000 * MS));
    world.pass(10 * MS);
    let word = steps_down(&mut world);
    // Both answers are there at once, and the newer one is heard first.
    world.end_saying(second, Verdict::NotPrimary, word);
    world.end_saying(first, Verdict::Served, MemberReport { role: Some(Role::Primary), ..word });
    assert_eq!(resort(&mut world), None, "rule 5: the older word comes second");
}

#[test]
fn a_report_from_before_a_member_became_primary_does_not_unseat_it() {
    let mut world = heard(terms());
    world.move_primary(2);
    world.report(0);
    world.move_primary(0);
    world.pass(100 * MS);
    let write = world.take(WRITE, 1_000 * MS);
    world.end(write, Verdict::Served);
    world.late_report(0);
    assert_eq!(resort(&mut world), Some(0));
}

#[test]
fn a_primary_that_started_again_counts_as_none_until_it_says_so() {
    let mut world = heard(RouterConfig { listed_roles: ListedRoles::Delayed, ..terms() });
    let since = Some(world.now - 20_000 * MS);
    world.relist(0, MemberStatus::Unlisted, None);
    world.relist_as(ListedMember { is_primary: true, ..line(0, MemberStatus::Ready, since) });
    assert_eq!(resort(&mut world), None, "the list's word alone proves nothing");
    world.health_check_answer(0, true);
    assert_eq!(resort(&mut world), Some(0));
}

#[test]
fn a_write_whose_answer_does_not_tell_its_commit_counts_as_committed_by_then() {
    let mut world = heard(terms());
    world.pass(500 * MS);
    let write = world.take_session(WRITE, 1_000 * MS, "17");
    world.end_saying(write, Verdict::Served, MemberReport::default());
    // The replicas were last heard before that.
    let read = world.take_session(OWN, 1_000 * MS, "17");
    while let Some(asked) = world.health_checks.pop() {
        world.health_check_answer(asked, false);
    }
    assert_eq!(target(&world, read), Some(0), "rule 5: a read that does not see its session's write");
}

#[test]
fn a_write_that_may_have_run_counts_as_written_by_its_session() {
    for verdict in [Verdict::Malformed, Verdict::Reset, Verdict::TimedOut, Verdict::Error] {
        let mut world = heard(terms());
        let write = world.take_session(WRITE, 1_000 * MS, "17");
        world.pass(300 * MS);
        world.hear_all();
        // Its answer may be lost on the way: while it is out no replica is sure to have it.
        let read = world.take_session(OWN, 1_000 * MS, "17");
        assert!([None, Some(0)].contains(&target(&world, read)), "{verdict:?}: rule 5, while it is out");
        world.leave(read);
        world.pass(100 * MS);
        world.end_saying(write, verdict, MemberReport::default());
        let read = world.take_session(OWN, 1_000 * MS, "17");
        assert!([None, Some(0)].contains(&target(&world, read)), "{verdict:?}: rule 5, once it ended");
    }
}

#[test]
fn a_write_that_never_ran_leaves_its_session_as_it_was() {
    let mut world = heard(terms());
    let write = world.take_session(WRITE, 1_000 * MS, "17");
    world.end_saying(write, Verdict::NotSent, MemberReport::default());
    world.leave(write);
    world
        .out()
        .into_iter()
        .for_each(|(again, _)| world.end_saying(again, Verdict::NotSent, MemberReport::default()));
    let read = world.take_session(OWN, 1_000 * MS, "17");
    assert!(target(&world, read).is_some_and(|id| id != 0));
}

#[test]
fn a_proof_that_would_run_out_while_the_process_is_held_up_is_none() {
    let mut world = heard(terms());
    world.positions[2] = world.now;
    world.health_check_answer(2, true);
    world.pass(BOUND - 100 * MS);
    world.health_checks.clear();
    let read = world.take(READ, 1_000 * MS);
    assert_ne!(
        target(&world, read),
        Some(2),
        "rule 5: 100 ms of proof are left, and it may be written 150 ms later"
    );
}

#[test]
fn a_retry_that_could_leave_past_its_window_is_none() {
    let mut world = heard(terms());
    let write = world.take(RECEIPTED, 3_000 * MS);
    assert_eq!(target(&world, write), Some(0));
    world.pass(1_900 * MS);
    world.end(write, Verdict::Error);
    assert_eq!(target(&world, write), None, "rule 2: 100 ms are left of its window");
    assert_eq!(world.failed, [write]);
}
