//! Two gateways at different sites, joined by a simulated link that delays frames and breaks, while their
//! processes restart. The invariants are checked throughout:
//!
//! - each client that waits gets exactly one answer, by the request's deadline;
//! - a request that was served has run;
//! - a non-idempotent request runs at most once, and never if it was rejected.

mod event_handling;
mod gateway;
mod simulation;
mod single_gateway;

use std::collections::HashMap;

use proptest::collection::vec;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

use gateway::{MS, TIMEOUT};
use simulation::Simulation;

#[test]
fn the_invariants_hold_between_two_sites_whatever_the_link_does() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let config = Config { cases: 200, failure_persistence: None, ..Config::default() };
    let steps = vec((0u8..18, 0u64..1 << 30), 20..150);
    let mut counts: HashMap<&str, usize> = HashMap::new();
    let counts = std::cell::RefCell::new(&mut counts);
    TestRunner::new_with_rng(config, rng)
        .run(&(steps, 0u64..1 << 40), |(steps, seed)| {
            let mut simulation = Simulation::new(seed);
            steps.iter().for_each(|&(kind, parameter)| simulation.step(kind, parameter));
            simulation.advance(2 * TIMEOUT);
            for request in &simulation.requests {
                *counts.borrow_mut().entry(request.answer.unwrap_or("abandoned")).or_default() += 1;
            }
            Ok(())
        })
        .unwrap();
    println!("{counts:?}");
    let counts = counts.into_inner();
    assert!(["served", "rejected", "failed"].iter().all(|label| counts[label] > 100));
}

#[test]
fn writes_follow_the_primary_to_another_site() {
    let mut simulation = Simulation::new(1);
    simulation.primary_site = 1;
    for _ in 0..40 {
        simulation.submit_request(0, 1);
        simulation.advance(300 * MS);
    }
    let served_count =
        |state: &Simulation| state.requests.iter().filter(|request| request.answer == Some("served")).count();
    assert!(served_count(&simulation) >= 30, "{}", served_count(&simulation));
    simulation.primary_site = 0;
    let before = served_count(&simulation);
    for _ in 0..40 {
        simulation.submit_request(0, 1);
        simulation.advance(300 * MS);
    }
    assert!(served_count(&simulation) - before >= 30, "{}", served_count(&simulation) - before);
}
