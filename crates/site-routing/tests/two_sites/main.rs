//! Two site routers joined by a simulated link that delays, breaks and restarts; the invariants are checked at every step.

mod exchange;
mod one_site;
mod side;
mod world;

use std::collections::HashMap;

use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use side::{MS, TIMEOUT};
use world::World;

#[test]
fn the_invariants_hold_between_two_sites_whatever_the_link_does() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let limits = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..18, 0u64..1 << 30), 20..150);
    let mut counted: HashMap<&str, usize> = HashMap::new();
    let counted = std::cell::RefCell::new(&mut counted);
    TestRunner::new_with_rng(limits, rng)
        .run(&(steps, 0u64..1 << 40), |(steps, seed)| {
            let mut world = World::new(seed);
            steps.iter().for_each(|&(kind, a)| world.step(kind, a));
            world.pass(2 * TIMEOUT);
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
fn writes_follow_the_primary_to_another_site() {
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
