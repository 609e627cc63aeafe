//! Stand-ins for what stands around the program: members, clients and discovery, and the program itself as a child.
//! Only tests and measurements use them; all of them listen and connect on loopback addresses.

#![allow(missing_docs, reason = "not every public item is documented yet (docs/ROADMAP.md)")]

mod cable;
mod client;
mod discovery;
mod faults;
mod hold;
mod interruption;
mod kernel;
mod member;
mod program;
mod site;
mod slow;
mod statement;
mod wall_clock;

use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub use cable::{BACK, Cable, THERE};
pub use client::{Client, Said, paced, served};
pub use discovery::{Discovery, list};
pub use faults::Faults;
pub use hold::Hold;
pub use interruption::read_some;
pub use kernel::{closed, delivered, ended_by_peer};
pub use member::{Act, Member, refuse, replica_at, serve, serve_with, sound, whole};
pub use program::{Driver, TERMS, aldermill, config, config_where_only_draining_binds, file, program};
pub use site::{Ledger, Site, free_port};
pub use slow::drip;
pub use statement::{look, named, new_id, order};
pub use wall_clock::{SteppedClock, WALL_CLOCK_STEP};

/// Long enough for any step on a busy machine.
pub const LONG: Duration = Duration::from_secs(30);
pub const MAX: usize = 1 << 20;

pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < LONG, "{what} never came");
        thread::sleep(Duration::from_millis(5));
    }
}

pub fn unix_millis() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()
}

/// The time that this share of them does not pass, in milliseconds.
pub fn quantile(took: &mut [Duration], share: f64) -> f64 {
    took.sort();
    let at = ((took.len() as f64 * share) as usize).min(took.len().saturating_sub(1));
    took.get(at).map_or(f64::NAN, |took| took.as_secs_f64() * 1000.0)
}
