//! Plain cases of the design's path and of each failure found.

use crate::world::{BOUND, LOOSE, MS, OWN, READ, REPORT, WRITE, World, heard, line, target, terms};
use aldermill_routing::{MemberStatus, Request, RequestHandle, RouterConfig, Verdict};

#[test]
fn a_write_goes_to_the_primary_and_a_read_to_a_fresh_replica() {
    let mut world = heard(terms());
    let write = world.take(WRITE, 2_000 * MS);
    assert_eq!(target(&world, write), Some(0));
    world.positions[2] = world.now + 50 * MS;
    world.pass(50 * MS);
    world.health_check_answer(2, true);
    world.pass(BOUND - 170 * MS);
    // Members 1 and 3 were heard too long ago to be proven fresh, for a process that is held up for 150 ms.
    for _ in 0..3 {
        let read = world.take(READ, 1_000 * MS);
        assert_eq!(target(&world, read), Some(2));
    }
}

#[test]
fn a_read_asks_one_replica_at_a_time_and_goes_to_the_primary_when_none_is_fresh() {
    let mut world = heard(terms());
    world.pass(BOUND + 10 * MS);
    world.health_checks.clear();
    let read = world.take(READ, 1_000 * MS);
    for asked in 1..=3 {
        assert_eq!((target(&world, read), world.health_checks.len()), (None, asked));
        world.health_check_answer(world.health_checks[asked - 1], true);
    }
    assert_eq!(target(&world, read), Some(0));
}

#[test]
fn a_write_walks_on_misses_by_sorted_id_then_waits_for_a_primary() {
    let mut world = World::new(terms(), 4);
    world.primary = 9;
    world.positions.resize(10, 0);
    let write = world.take(WRITE, 4_000 * MS);
    for expected in 0..4 {
        assert_eq!(target(&world, write), Some(expected));
        world.end(write, Verdict::NotPrimary);
    }
    assert_eq!(target(&world, write), None);
    let second = world.take(WRITE, 4_000 * MS);
    world.pass(100 * MS);
    assert!(world.out().is_empty(), "writes of a group without a primary wait");
    world.primary = 2;
    world.health_check_answer(2, true);
    assert_eq!((target(&world, write), target(&world, second)), (Some(2), Some(2)));
}

#[test]
fn five_failures_blacklist_a_member_and_the_last_one_left_is_still_tried() {
    let mut world = heard(terms());
    let mut met = [0; 4];
    for _ in 0..60 {
        let read = world.take(LOOSE, 1_000 * MS);
        while let Some(id) = target(&world, read) {
            met[id] += 1;
            world.end(read, if id == 1 { Verdict::Error } else { Verdict::Served });
        }
    }
    assert_eq!(met[1], 5);
    for id in [2, 3] {
        world.relist(id, MemberStatus::Unlisted, None);
    }
    world.relist(0, MemberStatus::Draining, None);
    let read = world.take(LOOSE, 1_000 * MS);
    assert_eq!(target(&world, read), Some(1));
}

#[test]
fn a_time_out_in_a_crowd_is_no_failure() {
    let mut world = heard(terms());
    [2, 3].into_iter().for_each(|id| world.relist(id, MemberStatus::Unlisted, None));
    for _ in 0..8 {
        let (slow, quick) = (world.take(LOOSE, 1_000 * MS), world.take(LOOSE, 1_000 * MS));
        assert_eq!((target(&world, slow), target(&world, quick)), (Some(1), Some(1)));
        world.pass(MS);
        world.end(quick, Verdict::Served);
        world.end(slow, Verdict::TimedOut);
        assert_eq!(target(&world, slow), Some(0), "another member is tried");
        world.end(slow, Verdict::Served);
    }
}

#[test]
fn a_primary_that_cannot_be_reached_is_not_tried_until_heard() {
    let mut world = heard(RouterConfig { overload_window: 500 * MS, ..terms() });
    let write = world.take(WRITE, 4_000 * MS);
    world.end(write, Verdict::Unconnected);
    assert_eq!(target(&world, write), None);
    let second = world.take(WRITE, 4_000 * MS);
    world.pass(600 * MS);
    assert_eq!(target(&world, second), None);
    world.pass(500 * MS);
    while let Some(&(tried, _)) = world.out().first() {
        world.end(tried, Verdict::Unconnected);
    }
    world.pass(990 * MS);
    world.health_check_answer(0, true);
    assert_eq!(world.out().len(), 1, "what came back is taken for cold");
}

#[test]
fn a_member_heard_just_after_it_refused_a_connection_is_not_taken_for_cold() {
    let mut world = heard(RouterConfig { overload_window: 500 * MS, ..terms() });
    let (write, second) = (world.take(WRITE, 2_000 * MS), world.take(WRITE, 2_000 * MS));
    world.end(write, Verdict::Unconnected);
    world.pass(600 * MS);
    world.health_check_answer(0, true);
    assert_eq!((target(&world, write), target(&world, second)), (Some(0), Some(0)));
}

#[test]
fn attempts_that_were_overtaken_and_stay_out_for_long_hold_no_place() {
    let mut world = heard(terms());
    let lost: Vec<RequestHandle> = (0..40).map(|_| world.take(WRITE, 60_000 * MS)).collect();
    let held = lost.iter().filter(|&&write| target(&world, write).is_none()).count();
    assert!(held > 0, "the window is full");
    for _ in 0..3 {
        world.pass(1_100 * MS);
        let newest = world.out().into_iter().map(|(handle, _)| handle).max().expect("one is tried");
        world.end(newest, Verdict::Served);
    }
    let (first, out) = (lost.len() - held, world.out().len());
    assert!(2 * first <= out, "{out} out, {first} at first: lost attempts hold up the held ones");
}

#[test]
fn a_session_reads_what_it_wrote() {
    let mut world = heard(terms());
    let write = world.take(WRITE, 2_000 * MS);
    world.pass(20 * MS);
    world.end(write, Verdict::Served);
    let read = world.take(OWN, 1_000 * MS);
    assert_eq!(target(&world, read), Some(0), "no replica is known to have the write");
}

#[test]
fn a_health_check_turned_away_by_a_full_member_is_an_answer() {
    let mut world = heard(terms());
    for _ in 0..4 {
        world.health_check_ends(0, Verdict::Overloaded);
    }
    let write = world.take(WRITE, 2_000 * MS);
    assert_eq!(target(&world, write), Some(0));
}

#[test]
fn the_list_held_at_the_start_is_no_answer_to_a_call() {
    let mut world = World::new(terms(), 4);
    world.pass(1_000 * MS);
    assert_eq!(world.asked, 1);
    world.list_fails();
    world.pass(10_000 * MS);
    assert_eq!(world.asked, 2);
}

#[test]
fn a_cold_member_is_sent_its_part_only() {
    let mut world = heard(terms());
    let since = world.now;
    world.relist(3, MemberStatus::Ready, Some(since));
    for _ in 0..300 {
        world.pass(10 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        if target(&world, read).is_some() {
            world.end(read, Verdict::Served);
        }
    }
    let cold = world.attempted.iter().filter(|&&(_, id)| id == 3).count();
    assert!(cold > 0 && cold < 75, "{cold} of 300 at the cold member");
}

#[test]
fn attempts_turned_away_do_not_widen_the_part_of_a_cold_member() {
    let mut world = heard(terms());
    world.relist(3, MemberStatus::Unlisted, None);
    for _ in 0..1_000 {
        world.pass(2 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        while target(&world, read).is_some() {
            world.end(read, Verdict::Overloaded);
        }
    }
    world.pass(1_100 * MS);
    let since = world.now;
    world.relist(3, MemberStatus::Ready, Some(since));
    world.move_primary(3);
    world.hear_all();
    for _ in 0..20 {
        world.take(WRITE, 2_000 * MS);
    }
    let cold = world.out().iter().filter(|&&(_, id)| id == 3).count();
    assert!(cold <= 1, "nothing is known of what a warm member can take");
}

#[test]
fn what_can_no_longer_be_in_time_is_given_its_answer_at_once() {
    let mut world = heard(terms());
    (0..4).for_each(|id| world.relist(id, MemberStatus::Unlisted, None));
    let read = world.take(READ, 2_000 * MS);
    let write = world.take(WRITE, 2_000 * MS);
    world.pass(600 * MS);
    assert_eq!(world.rejected, [read]);
    world.pass(1_500 * MS);
    assert_eq!(world.rejected, [read, write]);
}

#[test]
fn a_request_of_a_client_in_a_hurry_is_tried_where_there_is_room() {
    let mut world = heard(terms());
    // Three attempts in ten take 50 ms, the others 10 ms.
    for (ttl, time) in (0..40).map(|i| if i < 12 { (1_000 * MS, 0) } else { (600 * MS, 590 * MS) }) {
        let read = world.take(LOOSE, ttl);
        world.pass(time);
        world.end(read, Verdict::Served);
    }
    let hurried = world.take(LOOSE, 60 * MS);
    assert!(target(&world, hurried).is_some());
    assert!(world.rejected.is_empty());
}

#[test]
fn malformed_answers_among_good_ones_blacklist_nobody_and_in_a_row_they_do() {
    for (every, most) in [(3, 200), (1, 2 * 5)] {
        let mut world = heard(terms());
        let mut met = [0; 4];
        for _ in 0..60 {
            let read = world.take(LOOSE, 1_000 * MS);
            while let Some(id) = target(&world, read) {
                met[id] += 1;
                let malformed = if every == 1 { id == 1 } else { met[id] % every == 0 };
                world.end(read, if malformed { Verdict::Malformed } else { Verdict::Served });
            }
        }
        assert!((9..=most).contains(&met[1]), "{met:?}");
        assert!(met[2] > 15 && met[3] > 15, "{met:?}");
    }
}

#[test]
fn a_member_gone_for_long_is_let_go_and_its_index_serves_another() {
    let mut world = heard(terms());
    let late = world.take(LOOSE, 60_000 * MS);
    let id = target(&world, late).unwrap();
    world.relist(id, MemberStatus::Unlisted, None);
    world.pass(11_000 * MS);
    assert!(!world.router.forget_member(world.now, id), "its attempt is out");
    world.end(late, Verdict::Served);
    assert!(!world.router.forget_member(world.now, id), "it was heard just now");
    world.pass(11_000 * MS);
    world.hear_all();
    assert!(!world.router.forget_member(world.now, 0), "the primary is in service");
    world.relist(id, MemberStatus::Unlisted, None);
    world.pass(11_000 * MS);
    assert!(world.router.forget_member(world.now, id));
    // Another one under the same index starts from nothing.
    world.relist(id, MemberStatus::Ready, None);
    world.hear_all();
    let met = (0..30).filter(|_| {
        let read = world.take(LOOSE, 1_000 * MS);
        let met = target(&world, read) == Some(id);
        world.end(read, Verdict::Served);
        met
    });
    assert!(met.count() > 3);
}

#[test]
fn a_primary_missing_from_a_whole_list_is_looked_for_elsewhere() {
    let mut world = heard(terms());
    let others = (1..4).map(|id| line(id, MemberStatus::Ready, None)).collect();
    drop(world.router.update_endpoint_list(world.now, true, others));
    world.primary = 2;
    world.pass(600 * MS);
    let write = world.take(WRITE, 4_000 * MS);
    let mut met = 0;
    while let Some(id) = target(&world, write) {
        met += 1;
        world.end(write, if id == 2 { Verdict::Served } else { Verdict::NotPrimary });
    }
    assert!((1..=3).contains(&met), "{met}");
}

#[test]
fn a_member_is_mute_by_the_pace_of_what_is_out_there() {
    let mut world = heard(terms());
    (1..3).for_each(|id| world.relist(id, MemberStatus::Unlisted, None));
    let report = world.take(REPORT, 12_000 * MS);
    assert_eq!(target(&world, report), Some(3));
    world.pass(2_000 * MS);
    let read = world.take(LOOSE, 1_000 * MS);
    assert_eq!(target(&world, read), Some(3), "a report out for two seconds tells nothing");
    world.pass(900 * MS);
    let other = world.take(LOOSE, 1_000 * MS);
    assert_ne!(target(&world, other), Some(3), "a read out for so long does");
}

#[test]
fn long_reads_of_a_group_share_one_replica() {
    let mut world = heard(terms());
    for expected in [3, 3, 3, 2, 2] {
        let report = world.take(REPORT, 12_000 * MS);
        assert_eq!(target(&world, report), Some(expected));
        if world.attempted.len() == 3 {
            world.relist(3, MemberStatus::Draining, None);
        }
    }
}

#[test]
fn reads_of_which_a_few_in_a_row_outlast_the_bound_are_long_but_not_among_many() {
    // A report is taken to last half of its latency objective: under the bound, and over a third of it.
    let met = |terms: RouterConfig| {
        let report = terms.classes[REPORT].objective / 2;
        let mut terms = terms;
        terms.classes[READ].need = aldermill_routing::Need::Recent(report * 2);
        let mut world = heard(terms);
        let mut last = 0;
        for _ in 0..5 {
            let report = world.take(REPORT, 12_000 * MS);
            last += usize::from(target(&world, report) == Some(3));
            world.pass(10 * MS);
        }
        last
    };
    assert_eq!(met(terms()), 5);
    assert!(met(crate::world::many()) < 5);
}

#[test]
fn an_unmarked_repeat_is_told_by_a_wait_cut_short() {
    let mut world = heard(RouterConfig { client_retries_marked: false, ..terms() });
    for _ in 0..3 {
        let read = world.take(READ, 1_200 * MS);
        world.end(read, Verdict::Served);
        world.hear_all();
    }
    // Of two seconds in all 1.3 s have gone by: its latency objective of half a second as well.
    let repeat = world.take(READ, 700 * MS);
    assert_eq!(world.rejected, [repeat]);
}

#[test]
fn a_request_that_is_over_when_it_is_read_is_rejected_and_never_attempted() {
    let mut world = heard(terms());
    let (ttl, waited) = (-300 * MS, 1_800 * MS);
    let request = Request { class: WRITE, group: 7, ttl, waited, ..Request::default() };
    let over = world.take_request(request);
    assert_eq!((world.rejected.as_slice(), world.attempted.len()), ([over].as_slice(), 0));
}

#[test]
fn what_was_never_attempted_among_many_is_rejected_before_half_of_its_time_is_over() {
    let mut world = World::new(RouterConfig { routers: 40, routers_sharing_warm_up: 40, ..terms() }, 4);
    world.primary = 9;
    world.positions.resize(10, 0);
    (0..4).for_each(|id| world.health_check_answer(id, true));
    // No member is primary: some writes walk, those behind them wait.
    let requests: Vec<RequestHandle> = (0..6).map(|_| world.take(WRITE, 2_000 * MS)).collect();
    (0..99).for_each(|_| world.pass(10 * MS));
    let waited =
        |request: &&RequestHandle| !world.attempted.iter().any(|(attempted, _)| attempted == *request);
    let waited: Vec<&RequestHandle> = requests.iter().filter(waited).collect();
    assert!(
        !waited.is_empty() && waited.iter().all(|request| world.rejected.contains(request)),
        "{:?}",
        world.rejected
    );
}

#[test]
fn a_read_that_waited_for_a_replicas_word_is_held_to_the_standard_of_an_arrival() {
    let mut terms = RouterConfig { routers: 40, routers_sharing_warm_up: 40, ..terms() };
    // Attempts are taken to last 30 ms: half come in time after a wait of 6 ms, 85 of a hundred do not.
    terms.classes[READ].objective = 60 * MS;
    let mut world = World::new(terms, 2);
    world.health_check_answer(0, true);
    world.pass(BOUND + 30 * MS);
    let reads: Vec<RequestHandle> = (0..8).map(|_| world.take(READ, 1_500 * MS)).collect();
    assert!(world.health_checks.contains(&1) && reads.iter().any(|&read| target(&world, read).is_none()));
    world.pass(6 * MS);
    world.positions[1] = world.now;
    world.health_check_answer(1, true);
    assert!(world.rejected.is_empty() && world.attempted.iter().any(|&(_, member)| member == 1));
}
