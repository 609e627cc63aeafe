//! Drawn histories of a gateway's outcome log over a disk whose calls fail for a while, and whose process is killed at any
//! byte: what a later start says of an earlier one's requests is true, and what was confirmed is not forgotten.

mod history;
#[path = "../../../store/tests/power/mod.rs"]
mod power;

use aldermill_site_routing::Micros;
use history::{Flaw, History};

const HISTORIES: u64 = 500;
const STEPS: u32 = 200;
/// How the wall clock may be set back between two starts.
const BACK: [Micros; 4] = [-1_000_000, -2_000_000, -4_900_000, -3_600_000_000];

fn run_history(seed: u64, flaw: Flaw, lies: bool) -> Result<[u32; 3], String> {
    let history = History::new(seed, flaw);
    history.disk.state().lies = lies;
    run_steps(history)
}

fn run_steps(mut history: History) -> Result<[u32; 3], String> {
    let mut process = history.start(1);
    for _ in 0..STEPS {
        history.step(&mut process)?;
    }
    Ok(history.answers)
}

#[test]
fn a_later_incarnation_says_nothing_untrue_of_an_earlier_one_whatever_the_disk_does() {
    let mut answers = [0; 3];
    for seed in 0..HISTORIES {
        let drawn =
            run_history(seed, Flaw::None, false).unwrap_or_else(|why| panic!("history {seed}: {why}"));
        answers.iter_mut().zip(drawn).for_each(|(sum, count)| *sum += count);
    }
    println!("never taken, known, unknown: {answers:?}");
    assert!(answers.iter().all(|&count| count > 2_000), "{answers:?}");
}

#[test]
fn the_checker_finds_broken_promises_unconfirmed_records_and_a_disk_that_lies() {
    let found = |flaw, lies| (0..50).any(|seed| run_history(seed, flaw, lies).is_err());
    assert!(found(Flaw::BreaksPromises, false));
    assert!(found(Flaw::WaitsForNothing, false));
    assert!(found(Flaw::None, true));
}

/// A gateway whose disk took nothing accepted a request without a record, lawfully, after its promise to record all had
/// ended, and was killed. The next start, under a wall clock set back by less than 5 s, took the promise for whole and told
/// the sender "never accepted" of the request, which had run; the sender ran it a second time. History 165 showed it: start
/// 10 said `NeverAccepted` of request 49 at start 9, of which the checker knew `ran true`, no record. By the wall clock
/// alone the two cases cannot be told apart, so a promise that ends by it binds for the whole incarnation.
#[test]
fn a_later_start_says_nothing_untrue_of_an_earlier_one_though_the_wall_clock_was_set_back() {
    for seed in 0..HISTORIES {
        let mut history = History::new(seed, Flaw::None);
        history.clock_steps = BACK;
        run_steps(history).unwrap_or_else(|why| panic!("history {seed}: {why}"));
    }
}

fn run_under_a_clock_set_back(seed: u64, flaw: Flaw) -> Result<[u32; 3], String> {
    let mut history = History::new(seed, flaw);
    history.clock_steps = BACK;
    history.has_boot_clock = true;
    run_steps(history)
}

/// As the program runs it: promises end by the clock of the machine's boot, which both starts read and nobody can set. With
/// the wall clock alone trusted the checker finds the fault.
#[test]
fn promises_that_end_by_a_boot_clock_are_not_misjudged_under_a_wall_clock_set_back() {
    let mut answers = [0; 3];
    for seed in 0..HISTORIES {
        let drawn = run_under_a_clock_set_back(seed, Flaw::None);
        let drawn = drawn.unwrap_or_else(|why| panic!("history {seed}: {why}"));
        answers.iter_mut().zip(drawn).for_each(|(sum, count)| *sum += count);
    }
    println!("never taken, known, unknown: {answers:?}");
    assert!(answers.iter().all(|&count| count > 2_000), "{answers:?}");
    assert!((0..HISTORIES).any(|seed| run_under_a_clock_set_back(seed, Flaw::TrustsWallClock).is_err()));
}
