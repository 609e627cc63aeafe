//! Measures what knowing of one another costs and how soon it tells, in virtual time:
//! `cargo run --release -p aldermill-membership --example gossip [drivers] [seconds] [loss]`.

#[path = "../tests/common/mod.rs"]
mod common;

use aldermill_membership::Change;
use common::{MS, S, World};

fn main() {
    let word = |at: usize| std::env::args().nth(at).and_then(|word| word.parse::<i64>().ok());
    let (count, seconds) = (word(1).unwrap_or(300) as usize, word(2).unwrap_or(120));
    let losses =
        std::env::args().nth(3).map_or(vec![0.0, 0.01, 0.05, 0.2], |word| vec![word.parse().unwrap()]);
    for loss in losses {
        let mut world = World::new(count, 7);
        world.loss = loss;
        world.start_all();
        let all: Vec<usize> = (0..count).collect();
        let found = world.until_all_see(&all, count, 60 * S);
        world.pass(20 * S);
        let totals = |world: &World| {
            let nodes = world.nodes.iter();
            nodes.fold((0, 0), |(sent, bytes), node| (sent + node.sent, bytes + node.bytes))
        };
        let (before, began) = (totals(&world), world.now);
        world.pass(seconds * S);
        let after = totals(&world);
        let each = (count as i64 * seconds) as f64;
        let wrong = world.wrongly(began, |_| true);
        let accusers = {
            let mut names: Vec<String> = Vec::new();
            for (at, change) in world.nodes.iter().flat_map(|node| &node.heard) {
                if let Change::Down(fellow) = change
                    && *at >= began
                {
                    names.push(format!("{} {}", fellow.name, fellow.turn));
                }
            }
            names.sort();
            names.dedup();
            names.len()
        };
        // Deaths, one after the other.
        let (mut halves, mut alls) = (Vec::new(), Vec::new());
        for dead in 0..10.min(count / 4) {
            let (since, name) = (world.now, format!("n{}", dead * 3 + 1));
            world.kill(dead * 3 + 1);
            let mut half = None;
            for _ in 0..1200 {
                world.pass(50 * MS);
                let knows = |node: &&common::Node| {
                    node.fellows.as_ref().is_some_and(|fellows| fellows.alive().all(|at| *at.name != name))
                };
                let living = world.nodes.iter().filter(|node| node.fellows.is_some()).count();
                let knowing = world.nodes.iter().filter(knows).count();
                if half.is_none() && 2 * knowing >= living {
                    half = Some((world.now - since) / MS);
                }
                if knowing == living {
                    alls.push((world.now - since) / MS);
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
            found.map(|took| took / MS),
            (after.0 - before.0) as f64 / each,
            (after.1 - before.1) as f64 / each,
            accusers as f64 / each * 86_400.0,
            show(&halves),
            show(&alls),
        );
    }
}
