//! Drivers that know of one another, in virtual time: started, killed, stopped, cut off, mistaken.

mod common;

use aldermill_membership::{Change, ProtocolPeriods, SeedAddress, Snapshot};
use common::{MS, S, World, address};
use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const ALL: usize = 20;

fn all() -> Vec<usize> {
    (0..ALL).collect()
}

/// Twenty that know of one another.
fn settled(seed: u64) -> World {
    let mut world = World::new(ALL, seed);
    world.start_all();
    assert!(world.until_all_see(&all(), ALL, 20 * S).is_some(), "they find each other");
    world.pass(10 * S);
    world
}

#[test]
fn those_that_start_at_once_find_each_other_and_nobody_is_accused() {
    let mut world = World::new(ALL, 1);
    world.start_all();
    let took = world.until_all_see(&all(), ALL, 20 * S).expect("they find each other");
    assert!(took < 5 * S, "{took}");
    world.pass(120 * S);
    assert_eq!(world.wrongly(0, |_| true), 0);
    let view = world.view(3);
    assert_eq!(view, Snapshot { alive: ALL, seen: ALL, sure: true, may_be_smaller: false });
    assert_eq!((view.quota_divisor(40), view.warm_up_quota_divisor(40)), (20, 40));
}

#[test]
fn a_death_is_known_to_all_and_a_new_start_takes_the_place_at_once() {
    let mut world = settled(2);
    world.kill(7);
    let rest: Vec<usize> = all().into_iter().filter(|&node| node != 7).collect();
    let took = world.until_all_see(&rest, ALL - 1, 30 * S).expect("all know");
    assert!(took < 12 * S, "{took}");
    assert_eq!(world.wrongly(0, |name| name != "n7"), 0);
    world.start(7);
    assert!(world.until_all_see(&all(), ALL, 10 * S).is_some());
    // One that is back before anybody noticed is another one all the same.
    let since = world.now;
    world.kill(8);
    world.start(8);
    world.pass(5 * S);
    let heard_of = |node: usize| {
        let restarted = |change: &Change| matches!(change, Change::Restarted(fellow) | Change::Up(fellow) if &*fellow.name == "n8");
        world.nodes[node].heard.iter().any(|(at, change)| *at >= since && restarted(change))
    };
    assert!(all().into_iter().filter(|&node| node != 8).all(heard_of));
    assert_eq!(world.alive(0), ALL);
}

#[test]
fn one_that_goes_is_gone_at_once() {
    let mut world = settled(3);
    world.leave(4);
    let rest: Vec<usize> = all().into_iter().filter(|&node| node != 4).collect();
    let took = world.until_all_see(&rest, ALL - 1, 10 * S).expect("all know");
    assert!(took <= 2 * S, "{took}");
}

#[test]
fn those_that_stood_still_accuse_nobody_and_come_back() {
    for (seed, long) in [(4, 500 * MS), (5, 3 * S), (6, 30 * S)] {
        let mut world = settled(seed);
        let since = world.now;
        (0..14).for_each(|node| world.stop(node));
        world.pass(long);
        let woke = world.now;
        (0..14).for_each(|node| world.go_on(node));
        assert!(!world.view(0).sure, "in doubt until it was heard anew");
        assert_eq!(world.view(0).quota_divisor(40), 40);
        let took = world.until_all_see(&all(), ALL, 30 * S);
        assert!(took.is_some_and(|took| took < 15 * S), "{long}: {took:?}");
        world.pass(30 * S);
        // What those say who went on is right while the others stood. Of those that go on nobody may be accused.
        let going = |name: &str| name[1..].parse::<usize>().unwrap() >= 14;
        assert_eq!(world.wrongly(since, going), 0, "{long}");
        let by_woken = world.nodes[..14].iter().flat_map(|node| &node.heard);
        let accused = by_woken.filter(|(at, change)| *at >= woke && matches!(change, Change::Down(_)));
        // Those that stood as well and were told dead by the others, until they are heard of again.
        assert!(accused.count() <= 14 * 14);
        assert!(all().into_iter().all(|node| world.view(node).sure && world.alive(node) == ALL));
    }
}

#[test]
fn each_half_of_a_divided_fleet_knows_that_it_may_be_the_smaller_one() {
    let mut world = settled(7);
    world.lets = Box::new(|from, to| (from < 8) == (to < 8));
    world.pass(60 * S);
    for node in all() {
        let view = world.view(node);
        let left = if node < 8 { 8 } else { 12 };
        assert_eq!((view.alive, view.seen, view.may_be_smaller), (left, ALL, node < 8));
        assert_eq!(view.warm_up_quota_divisor(ALL), ALL);
    }
    world.lets = Box::new(|_, _| true);
    let took = world.until_all_see(&all(), ALL, 60 * S).expect("they find together");
    assert!(took < 30 * S, "{took}");
}

#[test]
fn a_way_that_is_lost_between_two_is_no_death() {
    for one_way in [true, false] {
        let mut world = settled(8);
        let since = world.now;
        world.lets = Box::new(move |from, to| !(from == 1 && to == 2 || !one_way && from == 2 && to == 1));
        world.pass(300 * S);
        assert_eq!(world.wrongly(since, |_| true), 0);
    }
}

#[test]
fn one_whom_nobody_hears_is_taken_for_dead_and_doubts_itself() {
    let mut world = settled(9);
    world.lets = Box::new(|from, to| from != 3 || to == 3);
    world.pass(60 * S);
    assert!((0..ALL).filter(|&node| node != 3).all(|node| world.alive(node) == ALL - 1));
    assert!(world.nodes[3].heard.iter().any(|(_, change)| *change == Change::Rejoined));
    // It takes hardly anybody for dead meanwhile, as the others tell it that they live.
    world.lets = Box::new(|_, _| true);
    assert!(world.until_all_see(&all(), ALL, 60 * S).is_some());
}

#[test]
fn another_fleet_other_versions_and_strangers_are_not_heard() {
    let mut world = World::new(6, 10);
    (3..6).for_each(|node| world.of_fleet(node, "another"));
    world.start_all();
    world.pass(30 * S);
    assert!((0..6).all(|node| world.alive(node) == 3), "each fleet by itself");
    assert!(world.nodes[0].fellows.as_ref().unwrap().dropped().fleet > 0);
    let fellows = world.nodes[0].fellows.as_mut().unwrap();
    let (home, away) = ("127.0.0.1".parse().unwrap(), "10.1.1.1".parse().unwrap());
    let before = fellows.dropped();
    fellows.receive(0, away, b"whatever");
    fellows.receive(0, home, b"whatever it may be");
    fellows.receive(0, home, &[0xa1, 0xdf, 2, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0]);
    let now = fellows.dropped();
    assert_eq!(now.stranger - before.stranger, 1);
    assert_eq!((now.not_ours - before.not_ours, now.version - before.version), (1, 1));
}

#[test]
fn of_two_with_one_name_the_later_counts_and_the_other_is_silent() {
    let mut world = World::new(6, 11);
    let peers = || {
        vec![SeedAddress { name: None, address: address(0) }, SeedAddress { name: None, address: address(1) }]
    };
    (0..5).for_each(|node| world.start(node));
    world.pass(10 * S);
    world.start_as(5, "n4", peers());
    world.pass(20 * S);
    let displaced = |node: usize| {
        let mut heard = world.nodes[node].heard.iter();
        heard.any(|(_, change)| matches!(change, Change::Superseded(by) if by.address == address(5)))
    };
    assert!(displaced(4) && !displaced(5));
    assert_eq!(world.alive(0), 5);
    let known = world.nodes[0].fellows.as_ref().unwrap();
    assert!(known.alive().any(|fellow| &*fellow.name == "n4" && fellow.address == address(5)));
}

#[test]
fn what_goes_out_is_flat_in_the_number_of_drivers() {
    let sent = |count: usize| {
        let mut world = World::new(count, 12);
        world.tempo = ProtocolPeriods::for_fleet_of(300);
        world.start_all();
        world.pass(60 * S);
        let before: u64 = world.nodes.iter().map(|node| node.bytes).sum();
        world.pass(60 * S);
        let after: u64 = world.nodes.iter().map(|node| node.bytes).sum();
        (after - before) as f64 / count as f64 / 60.0
    };
    let (few, many) = (sent(10), sent(100));
    assert!(many < 1.5 * few && many < 2_000.0, "{few} {many} bytes a second a driver");
}

#[test]
fn whatever_comes_in_harms_nothing_beyond_itself() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[5; 32]);
    let limits = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let bytes = vec(vec(0u8.., 0..200), 1..20);
    TestRunner::new_with_rng(limits, rng)
        .run(&(bytes, 0u64..1 << 30), |(datagrams, seed)| {
            let mut world = World::new(3, seed);
            world.start_all();
            world.pass(5 * S);
            for (at, datagram) in datagrams.into_iter().enumerate() {
                let inner =
                    aldermill_membership::frame::gossip(aldermill_membership::frame::tag("f"), &datagram);
                let whole = if at % 2 == 0 { inner } else { datagram };
                let home = "127.0.0.1".parse().unwrap();
                let now = world.now;
                world.nodes[0].fellows.as_mut().unwrap().receive(now, home, &whole);
            }
            world.pass(20 * S);
            assert_eq!(world.alive(0), 3);
            Ok(())
        })
        .unwrap();
}

#[test]
fn after_any_trouble_the_living_agree_on_who_lives() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[6; 32]);
    let limits = Config { cases: 40, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..8, 0usize..8, 0i64..8_000), 5..40);
    TestRunner::new_with_rng(limits, rng)
        .run(&(steps, 0u64..1 << 30), |(steps, seed)| {
            let mut world = World::new(8, seed);
            world.start_all();
            for (kind, node, time) in steps {
                match kind {
                    0 => world.kill(node),
                    1 if world.nodes[node].fellows.is_none() => world.start(node),
                    2 => world.stop(node),
                    3 => world.go_on(node),
                    4 => {
                        let cut = node;
                        world.lets = Box::new(move |from, to| (from < cut) == (to < cut));
                    }
                    5 => world.lets = Box::new(|_, _| true),
                    6 => world.loss = node as f64 / 20.0,
                    _ => world.pass(time * MS),
                }
                let seen = (0..8).filter(|&node| world.nodes[node].fellows.is_some());
                assert!(seen.into_iter().all(|node| world.alive(node) <= 8));
            }
            (0..8).for_each(|node| world.go_on(node));
            (world.lets, world.loss) = (Box::new(|_, _| true), 0.0);
            let living: Vec<usize> = (0..8).filter(|&node| world.nodes[node].fellows.is_some()).collect();
            world.pass(60 * S);
            let took = world.until_all_see(&living, living.len(), 120 * S);
            assert!(took.is_some(), "{:?}", living.iter().map(|&node| world.alive(node)).collect::<Vec<_>>());
            Ok(())
        })
        .unwrap();
}
