//! Measures the traffic of the membership protocol and its failure detection time, in virtual time.
//!
//! Usage: `cargo run --release -p aldermill-membership --example gossip [proxies] [seconds] [loss]`,
//! where `seconds` is the length of the steady state and `loss` the share of datagrams that are lost, from 0 to 1.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeSet;

use aldermill_membership::{Change, Micros};
use common::{MILLISECOND, Node, SECOND, Simulation};

const DEFAULT_PROXIES: i64 = 300;
const DEFAULT_SECONDS: i64 = 120;
/// Shares of lost datagrams that are measured one after the other if none is given.
const DEFAULT_LOSSES: [f64; 4] = [0.0, 0.01, 0.05, 0.2];
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Maximum number of proxies that are killed, one after the other.
const MAX_KILLS: usize = 10;
/// Time to wait until all running proxies know a death.
const DETECTION_TIMEOUT: Micros = 60 * SECOND;
/// Virtual time between two checks of which proxies know a death, and thus the resolution of the detection times.
const POLL_INTERVAL: Micros = 50 * MILLISECOND;

fn main() {
    let argument = |index: usize| std::env::args().nth(index);
    let number = |index, default| argument(index).and_then(|text| text.parse().ok()).unwrap_or(default);
    let proxies = number(1, DEFAULT_PROXIES) as usize;
    let seconds = number(2, DEFAULT_SECONDS);
    let losses = argument(3).map_or(DEFAULT_LOSSES.to_vec(), |text| vec![text.parse().unwrap()]);
    for loss in losses {
        measure(proxies, seconds, loss);
    }
}

/// Simulates a fleet on a network that loses the share `loss` of all datagrams, and prints one line of results.
fn measure(proxies: usize, seconds: i64, loss: f64) {
    let mut simulation = Simulation::new(proxies, 7);
    simulation.loss = loss;
    simulation.start_all();
    let all: Vec<usize> = (0..proxies).collect();
    let discovery_time = simulation.run_until_all_see(&all, proxies, 60 * SECOND);
    simulation.run_for(20 * SECOND);
    let steady = measure_steady_state(&mut simulation, seconds);
    let detection_times = measure_detection_times(&mut simulation);
    let proxy_seconds = (proxies as i64 * seconds) as f64;
    println!(
        "{proxies} proxies, loss {loss}: complete discovery after {:?} ms; per proxy and second {:.1} datagrams, {:.0} bytes; \
         {} falsely declared dead in {seconds} s ({} reports of it), {:.1} per proxy and day; \
         death known to half after {} ms, to all after {} ms (median, worst in parentheses)",
        discovery_time.map(|span| span / MILLISECOND),
        steady.datagrams as f64 / proxy_seconds,
        steady.bytes as f64 / proxy_seconds,
        steady.falsely_declared_dead,
        steady.false_death_reports,
        steady.falsely_declared_dead as f64 / proxy_seconds * SECONDS_PER_DAY,
        median_and_worst(detection_times.known_to_half_ms),
        median_and_worst(detection_times.known_to_all_ms),
    );
}

/// Traffic and false detections while no proxy died.
struct SteadyState {
    /// Datagrams sent by all proxies.
    datagrams: u64,
    /// Bytes sent by all proxies.
    bytes: u64,
    /// Number of proxies that were declared dead, counted again after each rejoin.
    falsely_declared_dead: usize,
    /// Number of changes by which proxies learnt of these false deaths.
    false_death_reports: usize,
}

/// Runs the fleet for `seconds` without killing a proxy.
fn measure_steady_state(simulation: &mut Simulation, seconds: i64) -> SteadyState {
    let datagrams =
        |simulation: &Simulation| simulation.nodes.iter().map(|node| node.datagrams_sent).sum::<u64>();
    let bytes = |simulation: &Simulation| simulation.nodes.iter().map(|node| node.bytes_sent).sum::<u64>();
    let datagrams_before = datagrams(simulation);
    let bytes_before = bytes(simulation);
    let started_at = simulation.now;
    simulation.run_for(seconds * SECOND);
    let mut falsely_declared_dead = BTreeSet::new();
    for learnt in simulation.nodes.iter().flat_map(|node| &node.changes) {
        if let Change::Down(peer) = &learnt.change
            && learnt.at >= started_at
        {
            falsely_declared_dead.insert((peer.name.clone(), peer.rejoins));
        }
    }
    SteadyState {
        datagrams: datagrams(simulation) - datagrams_before,
        bytes: bytes(simulation) - bytes_before,
        falsely_declared_dead: falsely_declared_dead.len(),
        false_death_reports: simulation.false_death_reports(started_at, |_| true),
    }
}

/// Times from a death until proxies knew of it, in milliseconds, with one entry for each death that became known.
#[derive(Default)]
struct DetectionTimes {
    /// Times until at least half of the running proxies knew.
    known_to_half_ms: Vec<i64>,
    /// Times until all running proxies knew.
    known_to_all_ms: Vec<i64>,
}

/// Kills some proxies, one after the other, and measures how soon the others know.
fn measure_detection_times(simulation: &mut Simulation) -> DetectionTimes {
    let mut detection_times = DetectionTimes::default();
    for index in 0..MAX_KILLS.min(simulation.nodes.len() / 4) {
        let killed = index * 3 + 1;
        let died_at = simulation.now;
        simulation.kill(killed);
        let name = format!("n{killed}");
        let mut half_are_aware = false;
        while simulation.now - died_at < DETECTION_TIMEOUT {
            simulation.run_for(POLL_INTERVAL);
            let after_ms = (simulation.now - died_at) / MILLISECOND;
            let running = simulation.nodes.iter().filter(|node| node.membership.is_some()).count();
            let aware = simulation.nodes.iter().filter(|node| knows_death(node, &name)).count();
            if !half_are_aware && 2 * aware >= running {
                half_are_aware = true;
                detection_times.known_to_half_ms.push(after_ms);
            }
            if aware == running {
                detection_times.known_to_all_ms.push(after_ms);
                break;
            }
        }
    }
    detection_times
}

/// Returns whether a running proxy no longer takes the proxy named `name` for alive.
fn knows_death(node: &Node, name: &str) -> bool {
    node.membership.as_ref().is_some_and(|membership| membership.alive().all(|peer| *peer.name != *name))
}

/// Formats the median and, in parentheses, the highest of the times; -1 stands for no entries.
fn median_and_worst(mut times_ms: Vec<i64>) -> String {
    times_ms.sort_unstable();
    let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(-1);
    let worst = times_ms.last().copied().unwrap_or(-1);
    format!("{median} ({worst})")
}
