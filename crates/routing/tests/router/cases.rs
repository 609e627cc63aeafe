//! Plain cases of the design's path and of each failure found.

use crate::world::{BOUND, LOOSE, MS, OWN, READ, RECEIPTED, REPORT, WRITE, World, line, terms};
use aldermill_routing::{Handle, Listed, MemberId, Role, Standing, Task, Terms, Told, Verdict};

fn heard(terms: Terms) -> World {
    let mut world = World::new(terms, 4);
    world.hear_all();
    world
}

fn target(world: &World, handle: Handle) -> Option<MemberId> {
    world.out().into_iter().find(|&(out, _)| out == handle).map(|(_, id)| id)
}

#[test]
fn a_write_goes_to_the_primary_and_a_read_to_a_fresh_replica() {
    let mut world = heard(terms());
    let write = world.take(WRITE, 2_000 * MS);
    assert_eq!(target(&world, write), Some(0));
    world.positions[2] = world.now + 50 * MS;
    world.pass(50 * MS);
    world.probe_answer(2, true);
    world.pass(BOUND - 20 * MS);
    // Members 1 and 3 were heard too long ago to be proven fresh.
    for _ in 0..3 {
        let read = world.take(READ, 1_000 * MS);
        assert_eq!(target(&world, read), Some(2));
    }
}

#[test]
fn a_read_asks_one_replica_at_a_time_and_goes_to_the_primary_when_none_is_fresh() {
    let mut world = heard(terms());
    world.pass(BOUND + 10 * MS);
    world.probes.clear();
    let read = world.take(READ, 1_000 * MS);
    for asked in 1..=3 {
        assert_eq!((target(&world, read), world.probes.len()), (None, asked));
        world.probe_answer(world.probes[asked - 1], true);
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
        world.end(write, Verdict::Miss);
    }
    assert_eq!(target(&world, write), None);
    let second = world.take(WRITE, 4_000 * MS);
    world.pass(100 * MS);
    assert!(world.out().is_empty(), "writes of a group without a primary wait");
    world.primary = 2;
    world.probe_answer(2, true);
    assert_eq!((target(&world, write), target(&world, second)), (Some(2), Some(2)));
}

#[test]
fn five_failures_bar_a_member_and_the_last_one_left_is_still_tried() {
    let mut world = heard(terms());
    let mut met = [0; 4];
    for _ in 0..60 {
        let read = world.take(LOOSE, 1_000 * MS);
        while let Some(id) = target(&world, read) {
            met[id] += 1;
            world.end(read, if id == 1 { Verdict::Error } else { Verdict::Honoured });
        }
    }
    assert_eq!(met[1], 5);
    for id in [2, 3] {
        world.relist(id, Standing::Gone, None);
    }
    world.relist(0, Standing::Draining, None);
    let read = world.take(LOOSE, 1_000 * MS);
    assert_eq!(target(&world, read), Some(1));
}

#[test]
fn a_time_out_in_a_crowd_is_no_failure() {
    let mut world = heard(terms());
    [2, 3].into_iter().for_each(|id| world.relist(id, Standing::Gone, None));
    for _ in 0..8 {
        let (slow, quick) = (world.take(LOOSE, 1_000 * MS), world.take(LOOSE, 1_000 * MS));
        assert_eq!((target(&world, slow), target(&world, quick)), (Some(1), Some(1)));
        world.pass(MS);
        world.end(quick, Verdict::Honoured);
        world.end(slow, Verdict::TimedOut);
        assert_eq!(target(&world, slow), Some(0), "another member is tried");
        world.end(slow, Verdict::Honoured);
    }
}

#[test]
fn a_primary_that_cannot_be_reached_is_not_tried_until_heard() {
    let mut world = heard(Terms { overload_window: 500 * MS, ..terms() });
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
    world.probe_answer(0, true);
    assert_eq!(world.out().len(), 1, "what came back is taken for cold");
}

#[test]
fn a_member_heard_just_after_it_refused_a_connection_is_not_taken_for_cold() {
    let mut world = heard(Terms { overload_window: 500 * MS, ..terms() });
    let (write, second) = (world.take(WRITE, 2_000 * MS), world.take(WRITE, 2_000 * MS));
    world.end(write, Verdict::Unconnected);
    world.pass(600 * MS);
    world.probe_answer(0, true);
    assert_eq!((target(&world, write), target(&world, second)), (Some(0), Some(0)));
}

#[test]
fn launches_that_were_overtaken_and_stay_out_for_long_hold_no_place() {
    let mut world = heard(terms());
    let lost: Vec<Handle> = (0..40).map(|_| world.take(WRITE, 60_000 * MS)).collect();
    let held = lost.iter().filter(|&&write| target(&world, write).is_none()).count();
    assert!(held > 0, "the window is full");
    for _ in 0..3 {
        world.pass(1_100 * MS);
        let newest = world.out().into_iter().map(|(handle, _)| handle).max().expect("one is tried");
        world.end(newest, Verdict::Honoured);
    }
    let (first, out) = (lost.len() - held, world.out().len());
    assert!(2 * first <= out, "{out} out, {first} at first: lost launches hold up the held ones");
}

#[test]
fn what_may_have_run_is_broken_off_or_repeated_within_its_receipt() {
    let mut world = heard(terms());
    let effectful = world.take(WRITE, 2_000 * MS);
    world.end(effectful, Verdict::Error);
    assert_eq!((world.launched.len(), &world.broken_off[..]), (1, &[effectful][..]));
    let receipted = world.take(RECEIPTED, 60_000 * MS);
    world.end(receipted, Verdict::Error);
    assert_eq!(target(&world, receipted), Some(0), "its receipt drops repeats");
    world.pass(2_100 * MS);
    world.end(receipted, Verdict::Reset);
    assert_eq!(world.broken_off, [effectful, receipted]);
}

#[test]
fn a_session_reads_what_it_wrote() {
    let mut world = heard(terms());
    let write = world.take(WRITE, 2_000 * MS);
    world.pass(20 * MS);
    world.end(write, Verdict::Honoured);
    let read = world.take(OWN, 1_000 * MS);
    assert_eq!(target(&world, read), Some(0), "no replica is known to have the write");
}

#[test]
fn a_late_report_does_not_bring_back_a_demoted_primary() {
    let mut world = heard(terms());
    world.report(0);
    world.pass(BOUND + 10 * MS);
    world.move_primary(1);
    let write = world.take(WRITE, 2_000 * MS);
    world.end(write, Verdict::Miss);
    world.late_report(0);
    world.pass(BOUND + 10 * MS);
    let read = world.take(READ, 1_000 * MS);
    assert_ne!(target(&world, read), Some(0));
}

#[test]
fn a_probe_turned_away_by_a_full_member_is_an_answer() {
    let mut world = heard(terms());
    for _ in 0..4 {
        world.probe_ends(0, Verdict::Full);
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
    world.relist(3, Standing::Ready, Some(since));
    for _ in 0..300 {
        world.pass(10 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        if target(&world, read).is_some() {
            world.end(read, Verdict::Honoured);
        }
    }
    let cold = world.launched.iter().filter(|&&(_, id)| id == 3).count();
    assert!(cold > 0 && cold < 75, "{cold} of 300 at the cold member");
}

#[test]
fn a_try_too_late_for_its_quoted_time_is_denied_at_once() {
    let mut world = heard(terms());
    let soon = world.take_try(READ, 1_900 * MS, true);
    assert!(target(&world, soon).is_some());
    let later = world.take_try(READ, 1_400 * MS, true);
    assert_eq!(world.denied, [later]);
    let late_but_paid = world.take_try(LOOSE, 1_400 * MS, true);
    assert!(target(&world, late_but_paid).is_some());
}

#[test]
fn launches_turned_away_do_not_widen_the_part_of_a_cold_member() {
    let mut world = heard(terms());
    world.relist(3, Standing::Gone, None);
    for _ in 0..1_000 {
        world.pass(2 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        while target(&world, read).is_some() {
            world.end(read, Verdict::Full);
        }
    }
    world.pass(1_100 * MS);
    let since = world.now;
    world.relist(3, Standing::Ready, Some(since));
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
    (0..4).for_each(|id| world.relist(id, Standing::Gone, None));
    let read = world.take(READ, 2_000 * MS);
    let write = world.take(WRITE, 2_000 * MS);
    world.pass(600 * MS);
    assert_eq!(world.denied, [read]);
    world.pass(1_500 * MS);
    assert_eq!(world.denied, [read, write]);
}

fn many() -> Terms {
    Terms { drivers: 150, drivers_at_cold: 150, list_on_request: false, ..terms() }
}

#[test]
fn probes_are_paid_for_by_tasks() {
    let mut world = heard(many());
    world.relist(0, Standing::Gone, None);
    world.primary = 9;
    world.positions.resize(10, 0);
    world.probes.clear();
    world.take(WRITE, 60_000 * MS);
    for _ in 0..100 {
        world.pass(100 * MS);
        (1..4).for_each(|id| world.probe_answer(id, true));
    }
    assert!((1..=5).contains(&world.probes.len()), "{} probes for one task", world.probes.len());
}

#[test]
fn a_driver_among_many_waits_after_a_member_was_full() {
    let mut world = heard(many());
    world.pass(5_000 * MS);
    world.hear_all();
    let write = world.take(WRITE, 2_000 * MS);
    world.end(write, Verdict::Full);
    world.pass(300 * MS);
    assert_eq!(target(&world, write), None);
}

#[test]
fn what_the_list_tells_all_drivers_sets_off_no_walk_at_once() {
    let mut world = heard(many());
    world.relist(0, Standing::Gone, None);
    world.take(WRITE, 2_000 * MS);
    assert!(world.out().is_empty());
}

#[test]
fn of_many_drivers_each_sends_a_cold_member_less_than_a_launch_a_window() {
    let mut world = heard(many());
    for id in 0..4 {
        let since = world.now;
        world.relist(id, Standing::Ready, Some(since));
    }
    for _ in 0..100 {
        world.pass(30 * MS);
        let read = world.take(LOOSE, 1_000 * MS);
        if target(&world, read).is_some() {
            world.end(read, Verdict::Honoured);
        }
    }
    assert!(world.launched.len() <= 4, "{} launches in three windows at four", world.launched.len());
}

#[test]
fn a_sparse_driver_gives_an_idle_primary_its_part_of_the_reads() {
    let mut world = heard(many());
    for _ in 0..60 {
        world.pass(400 * MS);
        world.hear_all();
        let read = world.take(LOOSE, 1_000 * MS);
        if target(&world, read).is_some() {
            world.end(read, Verdict::Honoured);
        }
    }
    let at_primary = world.launched.iter().filter(|&&(_, id)| id == 0).count();
    assert!((5..=25).contains(&at_primary), "{at_primary} of {}", world.launched.len());
}

#[test]
fn a_task_of_a_client_in_a_hurry_is_tried_where_there_is_room() {
    let mut world = heard(terms());
    // Three launches in ten take 50 ms, the others 10 ms.
    for (ttl, time) in (0..40).map(|i| if i < 12 { (1_000 * MS, 0) } else { (600 * MS, 590 * MS) }) {
        let read = world.take(LOOSE, ttl);
        world.pass(time);
        world.end(read, Verdict::Honoured);
    }
    let hurried = world.take(LOOSE, 60 * MS);
    assert!(target(&world, hurried).is_some());
    assert!(world.denied.is_empty());
}

#[test]
fn what_was_never_launched_and_pays_little_when_late_is_denied_by_half_of_its_time() {
    let mut world = heard(terms());
    (0..4).for_each(|id| world.relist(id, Standing::Gone, None));
    let (read, write) = (world.take(LOOSE, 1_600 * MS), world.take(WRITE, 1_600 * MS));
    world.pass(700 * MS);
    assert!(world.denied.is_empty());
    world.pass(140 * MS);
    assert_eq!(world.denied, [read]);
    world.pass(600 * MS);
    assert_eq!(world.denied, [read, write]);
}

#[test]
fn spoilt_answers_among_good_ones_bar_nobody_and_in_a_row_they_do() {
    for (every, most) in [(3, 200), (1, 2 * 5)] {
        let mut world = heard(terms());
        let mut met = [0; 4];
        for _ in 0..60 {
            let read = world.take(LOOSE, 1_000 * MS);
            while let Some(id) = target(&world, read) {
                met[id] += 1;
                let spoilt = if every == 1 { id == 1 } else { met[id] % every == 0 };
                world.end(read, if spoilt { Verdict::Spoilt } else { Verdict::Honoured });
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
    world.relist(id, Standing::Gone, None);
    world.pass(11_000 * MS);
    assert!(!world.router.forget(world.now, id), "its launch is out");
    world.end(late, Verdict::Honoured);
    assert!(!world.router.forget(world.now, id), "it was heard just now");
    world.pass(11_000 * MS);
    world.hear_all();
    assert!(!world.router.forget(world.now, 0), "the primary is in service");
    world.relist(id, Standing::Gone, None);
    world.pass(11_000 * MS);
    assert!(world.router.forget(world.now, id));
    // Another one under the same index starts from nothing.
    world.relist(id, Standing::Ready, None);
    world.hear_all();
    let met = (0..30).filter(|_| {
        let read = world.take(LOOSE, 1_000 * MS);
        let met = target(&world, read) == Some(id);
        world.end(read, Verdict::Honoured);
        met
    });
    assert!(met.count() > 3);
}

#[test]
fn a_primary_missing_from_a_whole_list_is_looked_for_elsewhere() {
    let mut world = heard(terms());
    let others = (1..4).map(|id| line(id, Standing::Ready, None)).collect();
    drop(world.router.list(world.now, true, others));
    world.primary = 2;
    world.pass(600 * MS);
    let write = world.take(WRITE, 4_000 * MS);
    let mut met = 0;
    while let Some(id) = target(&world, write) {
        met += 1;
        world.end(write, if id == 2 { Verdict::Honoured } else { Verdict::Miss });
    }
    assert!((1..=3).contains(&met), "{met}");
}

#[test]
fn sessions_forgotten_leave_a_bound_on_what_they_may_have_written() {
    let mut world = heard(Terms { members_check: true, ..terms() });
    let writes = |world: &mut World, from: u32| {
        for number in from..from + 10_100 {
            let write = world.take_session(WRITE, 1_000 * MS, &number.to_string());
            world.end(write, Verdict::Honoured);
        }
    };
    writes(&mut world, 0);
    let first = world.now;
    world.pass(10_500 * MS);
    world.hear_all();
    // Positions from before those writes do not do for a session that may have been one of them.
    world.positions.iter_mut().for_each(|position| *position = first - 50 * MS);
    world.probes.clear();
    let read = world.take_session(OWN, 1_000 * MS, "17");
    for asked in 0.. {
        if target(&world, read).is_some() {
            break;
        }
        world.probe_answer(world.probes[asked], true);
    }
    assert_eq!(target(&world, read), Some(0));
}

#[test]
fn one_long_offering_does_not_slow_the_pace_of_the_others() {
    let mut world = heard(many());
    for _ in 0..8 {
        let write = world.take(WRITE, 2_000 * MS);
        world.pass(500 * MS);
        assert!(target(&world, write).is_some(), "held for half a second");
        world.end(write, Verdict::Honoured);
    }
}

#[test]
fn a_member_is_mute_by_the_pace_of_what_is_out_there() {
    let mut world = heard(terms());
    (1..3).for_each(|id| world.relist(id, Standing::Gone, None));
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
        if world.launched.len() == 3 {
            world.relist(3, Standing::Draining, None);
        }
    }
}

#[test]
fn a_driver_among_many_probes_nobody_before_a_task_needs_it() {
    let mut world = World::new(many(), 4);
    world.pass(20_000 * MS);
    assert!(world.probes.is_empty());
    world.take(READ, 1_000 * MS);
    assert_eq!(world.probes.len(), 1);
}

#[test]
fn an_unmarked_repeat_is_told_by_a_wait_cut_short() {
    let mut world = heard(Terms { repeats_marked: false, ..terms() });
    for _ in 0..3 {
        let read = world.take(READ, 1_200 * MS);
        world.end(read, Verdict::Honoured);
        world.hear_all();
    }
    // Of two seconds in all 1.3 s have gone by: its quoted time of half a second as well.
    let repeat = world.take(READ, 700 * MS);
    assert_eq!(world.denied, [repeat]);
}

#[test]
fn reads_keep_off_a_zone_beyond_a_long_way() {
    let mut world = heard(many());
    world.grow(6);
    for id in [4, 5] {
        world.relist_as(Listed { zone: 1, ..line(id, Standing::Ready, None) });
    }
    let met = |world: &mut World| {
        let met = (0..40).filter(|_| {
            world.pass(100 * MS);
            let read = world.take(LOOSE, 1_000 * MS);
            let far = target(world, read).is_some_and(|id| id >= 4);
            if target(world, read).is_some() {
                world.end(read, Verdict::Honoured);
            }
            far
        });
        met.count()
    };
    assert!(met(&mut world) > 5);
    // One member does not answer; its neighbour is not asked.
    (0..8).for_each(|_| world.probe_ends(4, Verdict::TimedOut));
    assert_eq!(met(&mut world), 0);
    world.pass(5_000 * MS);
    assert!(met(&mut world) > 5, "tried again after a while");
}

#[test]
fn a_driver_among_many_that_is_refused_a_connection_closes_its_idle_ones_and_probes() {
    let mut world = heard(many());
    world.probes.clear();
    let write = world.take(WRITE, 2_000 * MS);
    world.end(write, Verdict::Unconnected);
    assert_eq!((&world.probes[..], world.shut.len()), (&[0][..], 4));
    world.probe_answer(0, true);
    world.pass(300 * MS);
    assert_eq!(target(&world, write), Some(0), "what answers is not dead");
    world.end(write, Verdict::Honoured);
    assert_eq!(world.shut[4..], [0], "closed after use while connections are short");
}

#[test]
fn a_driver_among_many_launches_nothing_that_pays_only_a_small_late_share() {
    let mut world = heard(many());
    // Of two seconds in all 0.6 s have gone by: the quoted half a second as well.
    let (read, write) = (world.take_try(LOOSE, 1_400 * MS, true), world.take_try(WRITE, 1_400 * MS, true));
    assert_eq!(world.denied, [read]);
    assert_eq!(target(&world, write), Some(0), "half of its payoff is left");
}

#[test]
fn what_fell_into_a_standstill_counts_against_no_member() {
    let mut world = heard(terms());
    for _ in 0..4 {
        let write = world.take(WRITE, 1_000 * MS);
        assert_eq!(target(&world, write), Some(0));
    }
    world.pass(20 * MS);
    world.probes.clear();
    world.stand(2_500 * MS);
    assert_eq!((world.broken_off.len(), world.denied.len()), (4, 0), "they may have run");
    world.pass(20 * MS);
    assert!(world.probes.is_empty(), "nobody is asked for having been silent then");
    (0..5).for_each(|_| world.probe_ends(0, Verdict::Unseen));
    let write = world.take(WRITE, 1_000 * MS);
    assert_eq!(target(&world, write), Some(0), "neither mute, lost nor barred");
}

#[test]
fn a_task_that_is_over_when_it_is_read_is_denied_and_never_launched() {
    let mut world = heard(terms());
    let (ttl, waited) = (-300 * MS, 1_800 * MS);
    let task = Task { offering: WRITE, group: 7, ttl, waited, ..Task::default() };
    let over = world.take_task(task);
    assert_eq!((world.denied.as_slice(), world.launched.len()), ([over].as_slice(), 0));
}

#[test]
fn a_word_read_late_is_as_old_as_it_is() {
    let mut world = heard(terms());
    let now = world.now;
    // Member 2 says that it is primary, and after that member 0 is read, which said so before.
    let (role, position) = (Some(Role::Primary), None);
    world.move_primary(2);
    world.probe_answer(2, true);
    world.now += 2_500 * MS;
    world.router.stood_still(world.now, 2_500 * MS);
    let told = Told { role, position, age: world.now - now + 100 * MS };
    let _ = world.router.probed(world.now, 0, Verdict::Honoured, MS, told);
    let write = world.take(WRITE, 1_000 * MS);
    assert_eq!(target(&world, write), Some(2));
}

#[test]
fn after_a_standstill_launches_go_out_at_less_than_twice_the_usual_pace() {
    let mut world = heard(terms());
    let step = |world: &mut World, tasks: usize| -> usize {
        let before = world.launched.len();
        for _ in 0..5 {
            for _ in 0..tasks {
                world.take(LOOSE, 1_500 * MS);
            }
            world.out().into_iter().for_each(|(handle, _)| world.end(handle, Verdict::Honoured));
            world.pass(20 * MS);
            world.out().into_iter().for_each(|(handle, _)| world.end(handle, Verdict::Honoured));
        }
        world.launched.len() - before
    };
    for _ in 0..60 {
        step(&mut world, 1);
    }
    let usual = step(&mut world, 1);
    world.stand(2_500 * MS);
    for _ in 0..40 {
        world.take(LOOSE, 1_500 * MS);
    }
    let counts: Vec<usize> = (0..10).map(|_| step(&mut world, 1)).collect();
    assert!(counts.iter().all(|&count| count <= 2 * usual), "{counts:?}, usual {usual}");
    assert!(counts[..4].iter().sum::<usize>() > 6 * usual, "and what can be served is: {counts:?}");
}

#[test]
fn what_was_never_launched_among_many_is_denied_before_half_of_its_time_is_over() {
    let mut world = World::new(Terms { drivers: 40, drivers_at_cold: 40, ..terms() }, 4);
    world.primary = 9;
    world.positions.resize(10, 0);
    (0..4).for_each(|id| world.probe_answer(id, true));
    // No member is primary: some writes walk, those behind them wait.
    let tasks: Vec<Handle> = (0..6).map(|_| world.take(WRITE, 2_000 * MS)).collect();
    (0..99).for_each(|_| world.pass(10 * MS));
    let waited = |task: &&Handle| !world.launched.iter().any(|(launched, _)| launched == *task);
    let waited: Vec<&Handle> = tasks.iter().filter(waited).collect();
    assert!(
        !waited.is_empty() && waited.iter().all(|task| world.denied.contains(task)),
        "{:?}",
        world.denied
    );
}

#[test]
fn a_read_that_waited_for_a_replicas_word_is_held_to_the_standard_of_an_arrival() {
    let mut terms = Terms { drivers: 40, drivers_at_cold: 40, ..terms() };
    // Launches are taken to last 30 ms: half come in time after a wait of 6 ms, 85 of a hundred do not.
    terms.offerings[READ].quoted = 60 * MS;
    let mut world = World::new(terms, 2);
    world.probe_answer(0, true);
    world.pass(BOUND + 30 * MS);
    let reads: Vec<Handle> = (0..8).map(|_| world.take(READ, 1_500 * MS)).collect();
    assert!(world.probes.contains(&1) && reads.iter().any(|&read| target(&world, read).is_none()));
    world.pass(6 * MS);
    world.positions[1] = world.now;
    world.probe_answer(1, true);
    assert!(world.denied.is_empty() && world.launched.iter().any(|&(_, member)| member == 1));
}

#[test]
fn a_driver_that_had_no_turn_for_a_moment_goes_on_as_it_was() {
    let mut world = heard(terms());
    world.pass(20 * MS);
    world.stand(100 * MS);
    for _ in 0..12 {
        world.take(LOOSE, 1_500 * MS);
    }
    assert!(world.launched.len() >= 8, "{} launched", world.launched.len());
}

#[test]
fn room_of_the_dead_is_taken_over_and_given_back_but_not_at_cold_members() {
    let mut world = heard(many());
    // How many launches are out at once of what many tasks want, with so many drivers alive.
    let mut at_once = |living: usize| {
        world.router.fleet(living, 150);
        world.pass(1_500 * MS);
        world.hear_all();
        let tasks: Vec<Handle> = (0..60).map(|_| world.take(LOOSE, 1_500 * MS)).collect();
        let out = world.out().len();
        for task in tasks {
            if target(&world, task).is_some() {
                world.end(task, Verdict::Honoured);
            }
        }
        world.pass(1_500 * MS);
        out
    };
    let all = at_once(150);
    let few = at_once(3);
    assert!(few >= 4 * all.max(1), "{few} with three alive, {all} with all");
    assert!(at_once(150) <= all + 1, "given back at once");
    let cold = |living: usize| {
        let mut world = heard(many());
        world.router.fleet(living, 150);
        world.relist(3, Standing::Ready, Some(world.now));
        for _ in 0..50 {
            let task = world.take(LOOSE, 1_500 * MS);
            if target(&world, task).is_some() {
                world.end(task, Verdict::Honoured);
            }
            world.pass(20 * MS);
        }
        world.launched.iter().filter(|&&(_, id)| id == 3).count()
    };
    assert!(cold(3) <= cold(150).max(1), "{} and {}", cold(3), cold(150));
}
