//! Measures what knowing of one another costs and how soon it tells, in virtual time:
//! `cargo run --release -p aldermill-membership --example gossip [drivers] [seconds] [loss]`.

#[path = "../tests/common/mod.rs"]
mod common;

use aldermill_membership::Change;
use common::{MILLISECOND, SECOND, Simulation};

#[allow(
    clippy::too_many_lines,
    reason = "a measurement: set-up, faults and figures in the order in which they happen"
)]
fn main() {
    let word = |at: usize| std::env::args().nth(at).and_then(|word| word.parse::<i64>().ok());
    let (count, seconds) = (word(1).unwrap_or(300) as usize, word(2).unwrap_or(120));
    let losses =
        std::env::args().nth(3).map_or(vec![0.0, 0.01, 0.05, 0.2], |word| vec![word.parse().unwrap()]);
    for loss in losses {
        let mut simulation = Simulation::new(count, 7);
        simulation.loss = loss;
        simulation.start_all();
        let all: Vec<usize> = (0..count).collect();
        let found = simulation.run_until_all_see(&all, count, 60 * SECOND);
        simulation.run_for(20 * SECOND);
        let totals = |simulation: &Simulation| {
            let nodes = simulation.nodes.iter();
            nodes.fold((0, 0), |(sent, bytes), node| (sent + node.datagrams_sent, bytes + node.bytes_sent))
        };
        let (before, began) = (totals(&simulation), simulation.now);
        simulation.run_for(seconds * SECOND);
        let after = totals(&simulation);
        let each = (count as i64 * seconds) as f64;
        let wrong = simulation.false_deaths(began, |_| true);
        let accusers = {
            let mut names: Vec<String> = Vec::new();
            for learnt in simulation.nodes.iter().flat_map(|node| &node.changes) {
                if let Change::Down(peer) = &learnt.change
                    && learnt.at >= began
                {
                    names.push(format!("{} {}", peer.name, peer.rejoins));
                }
            }
            names.sort();
            names.dedup();
            names.len()
        };
        // Deaths, one after the other.
        let (mut halves, mut alls) = (Vec::new(), Vec::new());
        for dead in 0..10.min(count / 4) {
            let (since, name) = (simulation.now, format!("n{}", dead * 3 + 1));
            simulation.kill(dead * 3 + 1);
            let mut half = None;
            for _ in 0..1200 {
                simulation.run_for(50 * MILLISECOND);
                let knows = |node: &&common::Node| {
                    node.membership
                        .as_ref()
                        .is_some_and(|membership| membership.alive().all(|at| *at.name != name))
                };
                let living = simulation.nodes.iter().filter(|node| node.membership.is_some()).count();
                let knowing = simulation.nodes.iter().filter(knows).count();
                if half.is_none() && 2 * knowing >= living {
                    half = Some((simulation.now - since) / MILLISECOND);
                }
                if knowing == living {
                    alls.push((simulation.now - since) / MILLISECOND);
                    break;
                }
            }
            halves.extend(half);
        }
        halves.sort_unstable();
        alls.sort_unstable();
        let show = |times: &[i64]| {
            let median = times.get(times.len() / 2).copied().unwrap_or(-1);
            format!("{median} ({})", times.last().copied().unwrap_or(-1))
        };
        println!(
            "{count} drivers, loss {loss}: all found after {:?} ms; a second a driver {:.1} datagrams, {:.0} bytes; \
             falsely dead {accusers} in {seconds} s ({wrong} words of it), {:.1} a day for one driver; a death known to half after {} ms, \
             to all after {} ms (worst in brackets)",
            found.map(|took| took / MILLISECOND),
            (after.0 - before.0) as f64 / each,
            (after.1 - before.1) as f64 / each,
            accusers as f64 / each * 86_400.0,
            show(&halves),
            show(&alls),
        );
    }
}
