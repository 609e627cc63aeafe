//! Randomized tests of a gateway's outcome log on a disk whose calls fail from time to time, while the
//! process may be killed after any byte written. Whatever a later incarnation answers about requests to an
//! earlier one must be true, and no confirmed record may be forgotten.

#[path = "../../../store/tests/power/mod.rs"]
mod power;
mod simulation;

use aldermill_site_routing::Micros;
use simulation::{Bug, Simulation};

/// Number of simulations that a test runs, one for each seed from 0.
const SEEDS: u64 = 500;
/// Steps of each simulation.
const STEPS: u32 = 200;
/// Amounts by which the wall clock may be set back between two incarnations, in microseconds.
const BACKWARD_CLOCK_STEPS: [Micros; 4] = [-1_000_000, -2_000_000, -4_900_000, -3_600_000_000];

/// Runs the simulation for a seed and returns the counts of its answers. With `skips_syncs` the disk reports
/// syncs as successful without doing them. An error describes the first untrue answer.
fn run_simulation(seed: u64, bug: Bug, skips_syncs: bool) -> Result<[u32; 3], String> {
    let simulation = Simulation::new(seed, bug);
    simulation.disk.state().lies = skips_syncs;
    run_steps(simulation)
}

/// Runs all steps of a simulation and returns the counts of its answers.
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
            run_simulation(seed, Bug::None, false).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        answers.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    println!("answers (never accepted, known, unknown): {answers:?}");
    assert!(answers.iter().all(|&count| count > 2_000), "{answers:?}");
}

#[test]
fn the_checker_detects_ignored_promises_unconfirmed_records_and_skipped_syncs() {
    let is_detected = |bug, skips_syncs| (0..50).any(|seed| run_simulation(seed, bug, skips_syncs).is_err());
    assert!(is_detected(Bug::IgnoresPromise, false));
    assert!(is_detected(Bug::SkipsConfirmation, false));
    assert!(is_detected(Bug::None, true));
}

/// Guards against a wrong "never accepted" after the wall clock was set back. A gateway whose disk accepted
/// no writes was permitted to accept a request without a record, as its recording promise had ended, and was
/// then killed. The wall clock was set back by less than 5 s, so the next incarnation considered the promise
/// kept and answered "never accepted" about the request, which had run; the sender ran it a second time.
///
/// Seed 165 showed it: incarnation 10 answered `NeverAccepted` about request 49, which had run in incarnation
/// 9 without a record. The wall clock alone cannot tell a promise that ended from one that held, so a promise
/// that is timed only on the wall clock binds for the whole incarnation.
#[test]
fn later_incarnations_answer_truthfully_although_the_wall_clock_was_set_back() {
    for seed in 0..SEEDS {
        let mut simulation = Simulation::new(seed, Bug::None);
        simulation.wall_clock_steps = BACKWARD_CLOCK_STEPS;
        run_steps(simulation).unwrap_or_else(|why| panic!("seed {seed}: {why}"));
    }
}

/// Runs the simulation for a seed with a wall clock that is set back and a boot clock that never steps.
fn run_with_boot_clock(seed: u64, bug: Bug) -> Result<[u32; 3], String> {
    let mut simulation = Simulation::new(seed, bug);
    simulation.wall_clock_steps = BACKWARD_CLOCK_STEPS;
    simulation.has_boot_clock = true;
    run_steps(simulation)
}

/// Tests the configuration that the proxy uses: promises are timed on the boot clock of the machine, which
/// all incarnations of a boot can read and nobody can set. If the wall clock alone is trusted, the checker
/// must find an untrue answer.
#[test]
fn promises_timed_on_a_boot_clock_are_judged_correctly_although_the_wall_clock_was_set_back() {
    let mut answers = [0; 3];
    for seed in 0..SEEDS {
        let counts = run_with_boot_clock(seed, Bug::None);
        let counts = counts.unwrap_or_else(|why| panic!("seed {seed}: {why}"));
        answers.iter_mut().zip(counts).for_each(|(sum, count)| *sum += count);
    }
    println!("answers (never accepted, known, unknown): {answers:?}");
    assert!(answers.iter().all(|&count| count > 2_000), "{answers:?}");
    assert!((0..SEEDS).any(|seed| run_with_boot_clock(seed, Bug::TrustsWallClock).is_err()));
}
