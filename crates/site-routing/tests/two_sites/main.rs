//! Two cores joined by a simulated link that delays, cuts and restarts; the rules are checked at every step.

mod one_site;
mod world;

use std::collections::HashMap;

use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use world::*;

#[test]
fn the_rules_hold_between_two_sites_whatever_the_link_does() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let limits = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..18, 0u64..1 << 30), 20..150);
    let mut counted: HashMap<&str, usize> = HashMap::new();
    let counted = std::cell::RefCell::new(&mut counted);
    TestRunner::new_with_rng(limits, rng)
        .run(&(steps, 0u64..1 << 40), |(steps, seed)| {
            let mut world = World::new(seed);
            steps.iter().for_each(|&(kind, a)| world.step(kind, a));
            world.pass(2 * LIMIT);
            for request in &world.requests {
                *counted.borrow_mut().entry(request.answered.unwrap_or("left")).or_default() += 1;
            }
            Ok(())
        })
        .unwrap();
    println!("{counted:?}");
    let counted = counted.into_inner();
    assert!(["served", "rejected", "failed"].iter().all(|said| counted[said] > 100));
}

#[test]
fn a_write_goes_to_the_site_of_the_primary_and_follows_it() {
    let mut world = World::new(1);
    world.primary = 1;
    for _ in 0..40 {
        world.take(0, 1);
        world.pass(300 * MS);
    }
    let served =
        |world: &World| world.requests.iter().filter(|request| request.answered == Some("served")).count();
    assert!(served(&world) >= 30, "{}", served(&world));
    world.primary = 0;
    let before = served(&world);
    for _ in 0..40 {
        world.take(0, 1);
        world.pass(300 * MS);
    }
    assert!(served(&world) - before >= 30, "{}", served(&world) - before);
}
