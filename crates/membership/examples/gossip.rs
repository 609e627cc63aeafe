//! Measures, in virtual time, what membership costs and how soon deaths are known:
//! `cargo run --release -p aldermill-membership --example gossip [proxies] [seconds] [loss]`.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeSet;

use aldermill_membership::{Change, Micros};
use common::{MILLISECOND, Node, SECOND, Simulation};

const DEFAULT_PROXIES: i64 = 300;
const DEFAULT_SECONDS: i64 = 120;
const DEFAULT_LOSSES: [f64; 4] = [0.0, 0.01, 0.05, 0.2];
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Proxies that are killed one after the other, at most.
const MAX_KILLS: usize = 10;
/// How long a death is followed.
const DETECTION_TIMEOUT: Micros = 60 * SECOND;
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

/// Starts a fleet on a network that loses this share of datagrams, and prints one line of figures.
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
        "{proxies} proxies, loss {loss}: all found after {:?} ms; a second a proxy {:.1} datagrams, {:.0} bytes; \
         falsely dead {} in {seconds} s ({} notices of it), {:.1} a day for one proxy; a death known to half after {} ms, \
         to all after {} ms (worst in brackets)",
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

/// What happened while no proxy died.
struct SteadyState {
    datagrams: u64,
    bytes: u64,
    /// Proxies that were declared dead.
    falsely_declared_dead: usize,
    /// Changes by which proxies learnt of that.
    false_death_reports: usize,
}

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
        false_death_reports: simulation.false_deaths(started_at, |_| true),
    }
}

/// How long deaths took to be known, in milliseconds, one entry a death that was.
#[derive(Default)]
struct DetectionTimes {
    known_to_half_ms: Vec<i64>,
    known_to_all_ms: Vec<i64>,
}

/// Kills some proxies, one after the other.
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

fn knows_death(node: &Node, name: &str) -> bool {
    node.membership.as_ref().is_some_and(|membership| membership.alive().all(|peer| *peer.name != *name))
}

fn median_and_worst(mut times_ms: Vec<i64>) -> String {
    times_ms.sort_unstable();
    let median = times_ms.get(times_ms.len() / 2).copied().unwrap_or(-1);
    let worst = times_ms.last().copied().unwrap_or(-1);
    format!("{median} ({worst})")
}
