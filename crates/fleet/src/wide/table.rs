//! The figures of a small and a wide fleet side by side, and what the wide one may take.

use std::fmt::Write;
use std::time::Duration;

use super::{Day, Measured};

/// How far a figure of the small fleet may grow: by a factor, a sum, and a sum for each thousand members.
struct Growth {
    factor: f64,
    sum: f64,
    per_thousand: f64,
}

const CPU: Growth = Growth { factor: 1.4, sum: 0.02, per_thousand: 0.03 };
const MEMORY: Growth = Growth { factor: 1.5, sum: 8.0, per_thousand: 4.0 };
const DESCRIPTORS: Growth = Growth { factor: 2.0, sum: 40.0, per_thousand: 0.0 };
const CONNECTIONS: Growth = Growth { factor: 2.5, sum: 40.0, per_thousand: 0.0 };
const LIST_KB: Growth = Growth { factor: 2.0, sum: 64.0, per_thousand: 500.0 };
/// The least part of the small fleet's served share.
const SERVED: f64 = 0.85;

/// One figure of both fleets, and the bound of the wide one.
#[derive(Clone, Debug)]
pub struct Compared {
    pub what: &'static str,
    pub small: f64,
    pub wide: f64,
    pub bound: f64,
    pub holds: bool,
}

/// Each figure that has a bound, for a wide fleet of so many members.
pub fn compare(small: &Measured, wide: &Measured, members: usize) -> Vec<Compared> {
    let at_most = |what, growth: Growth, small: f64, wide: f64| {
        let bound = growth.factor * small + growth.sum + growth.per_thousand * members as f64 / 1000.0;
        Compared { what, small, wide, bound, holds: wide <= bound }
    };
    let at_least = |what, small: f64, wide: f64| Compared {
        what,
        small,
        wide,
        bound: SERVED * small,
        holds: wide >= SERVED * small,
    };
    vec![
        at_most("CPU s", CPU, small.cpu_s, wide.cpu_s),
        at_most("peak memory, MB", MEMORY, small.memory_mb, wide.memory_mb),
        at_most("descriptors, peak", DESCRIPTORS, small.descriptors, wide.descriptors),
        at_most("connections made", CONNECTIONS, small.connections, wide.connections),
        at_most("list, KB", LIST_KB, small.list_kb, wide.list_kb),
        at_least("writes served", small.writes.share_served(), wide.writes.share_served()),
        at_least("reads served", small.reads.share_served(), wide.reads.share_served()),
    ]
}

/// The figures beyond their bounds.
pub fn excess(compared: &[Compared]) -> Vec<&'static str> {
    compared.iter().filter(|figure| !figure.holds).map(|figure| figure.what).collect()
}

/// Figures per process, the wide fleet's beside its bounds, then what has none.
pub fn table(day: &Day, small: &Measured, wide: &Measured) -> String {
    let mut out = String::new();
    let _ = writeln!(
        out,
        "{} processes, {} members in {} groups, {} s, seed {}",
        day.processes,
        day.members,
        day.groups,
        day.length.as_secs(),
        day.seed
    );
    let _ = writeln!(out, "{:<34} {:>10} {:>10} {:>10}", "per process", "small", "wide", "bound");
    for Compared { what, small, wide, bound, holds } in compare(small, wide, day.members) {
        let beyond = if holds { "" } else { "  beyond" };
        let _ = writeln!(out, "{what:<34} {small:>10.3} {wide:>10.3} {bound:>10.3}{beyond}");
    }
    let mut row = |what: &str, of: Cell| {
        let _ = writeln!(out, "{what:<34} {:>10} {:>10}", of(small), of(wide));
    };
    row("writes: asked", &|of| of.writes.asked.to_string());
    row("writes: rejected, failed", &|of| format!("{}, {}", of.writes.rejected, of.writes.failed));
    row("reads: asked", &|of| of.reads.asked.to_string());
    row("reads: rejected, failed", &|of| format!("{}, {}", of.reads.rejected, of.reads.failed));
    row("probes, misses", &|of| format!("{:.0}, {:.0}", of.probes, of.misses));
    row("least members to touch by writes", &|of| format!("{:.1}", of.primaries));
    searches(&mut row, "at start", &|of| &of.found_at_start);
    if day.failover.is_some() {
        searches(&mut row, "after failover", &|of| &of.found_after_failover);
    }
    out
}

/// How one figure of a fleet is written.
type Cell<'a> = &'a dyn Fn(&Measured) -> String;
type Searches<'a> = &'a dyn Fn(&Measured) -> &Vec<Option<Duration>>;

fn searches(row: &mut dyn FnMut(&str, Cell), when: &str, of: Searches) {
    row(&format!("searches {when}, never found"), &|measured| {
        let found = of(measured);
        format!("{}, {}", found.len(), found.iter().filter(|found| found.is_none()).count())
    });
    for (what, share) in [("median", 0.5), ("90%", 0.9), ("worst", 1.0)] {
        row(&format!("found {when}, ms, {what}"), &|measured| {
            let found = of(measured);
            let at = ((found.len() as f64 * share) as usize).min(found.len().saturating_sub(1));
            match found.get(at) {
                Some(Some(took)) => took.as_millis().to_string(),
                Some(None) => "never".to_owned(),
                None => "-".to_owned(),
            }
        });
    }
}
