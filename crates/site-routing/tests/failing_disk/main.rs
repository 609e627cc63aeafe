//! Drawn histories of a gateway's outcome log over a disk whose calls fail for a while, and whose process is killed at any
//! byte: what a later start says of an earlier one's requests is true, and what was confirmed is not forgotten.

#[path = "../../../store/tests/power/mod.rs"]
mod power;
mod simulation;

use aldermill_site_routing::Micros;
use simulation::{Bug, Simulation};

const SEEDS: u64 = 500;
const STEPS: u32 = 200;
/// How the wall clock may be set back between two starts.
const BACKWARD_CLOCK_STEPS: [Micros; 4] = [-1_000_000, -2_000_000, -4_900_000, -3_600_000_000];

fn run_simulation(seed: u64, bug: Bug, skips_syncs: bool) -> Result<[u32; 3], String> {
    let simulation = Simulation::new(seed, bug);
    simulation.disk.state().lies = skips_syncs;
    run_steps(simulation)
}

fn run_steps(mut simulation: Simulation) -> Result<[u32; 3], String> {
    let mut process = simulation.start_process(1);
    for _ in 0..STEPS {
        simulation.step(&mut process)?;
    }
    Ok(simulation.answers)
}

#[test]
fn later_incarnations_answer_truthfully_about_earlier_ones_whatever_the_disk_does() {
    let mut answers = [0; 3];
    for seed in 0..SEEDS {
        let counts =
            run_simulation(seed, Bug::None, false).unwrap_or_else(|why| panic!("history {seed}: {why}"));
        answers.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    println!("never taken, known, unknown: {answers:?}");
    assert!(answers.iter().all(|&count| count > 2_000), "{answers:?}");
}

#[test]
fn the_checker_detects_ignored_promises_unconfirmed_records_and_skipped_syncs() {
    let is_detected = |bug, skips_syncs| (0..50).any(|seed| run_simulation(seed, bug, skips_syncs).is_err());
    assert!(is_detected(Bug::IgnoresPromise, false));
    assert!(is_detected(Bug::SkipsConfirmation, false));
    assert!(is_detected(Bug::None, true));
}

/// A gateway whose disk took nothing accepted a request without a record, lawfully, after its promise to record all had
/// ended, and was killed. The next start, under a wall clock set back by less than 5 s, took the promise for whole and told
/// the sender "never accepted" of the request, which had run; the sender ran it a second time. History 165 showed it: start
/// 10 said `NeverAccepted` of request 49 at start 9, of which the checker knew `ran true`, no record. By the wall clock
/// alone the two cases cannot be told apart, so a promise that ends by it binds for the whole incarnation.
#[test]
fn later_incarnations_answer_truthfully_although_the_wall_clock_was_set_back() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, Bug::None);
        simulation.wall_clock_steps = BACKWARD_CLOCK_STEPS;
        run_steps(simulation).unwrap_or_else(|why| panic!("history {seed}: {why}"));
    }
}

fn run_with_boot_clock(seed: u64, bug: Bug) -> Result<[u32; 3], String> {
    let mut simulation = Simulation::new(seed, bug);
    simulation.wall_clock_steps = BACKWARD_CLOCK_STEPS;
    simulation.has_boot_clock = true;
    run_steps(simulation)
}

/// As the program runs it: promises end by the clock of the machine's boot, which both starts read and nobody can set. With
/// the wall clock alone trusted the checker finds the fault.
#[test]
fn promises_timed_on_a_boot_clock_are_judged_correctly_although_the_wall_clock_was_set_back() {
    let mut answers = [0; 3];
    for seed in 0..SEEDS {
        let counts = run_with_boot_clock(seed, Bug::None);
        let counts = counts.unwrap_or_else(|why| panic!("history {seed}: {why}"));
        answers.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    println!("never taken, known, unknown: {answers:?}");
    assert!(answers.iter().all(|&count| count > 2_000), "{answers:?}");
    assert!((0..SEEDS).any(|seed| run_with_boot_clock(seed, Bug::TrustsWallClock).is_err()));
}
