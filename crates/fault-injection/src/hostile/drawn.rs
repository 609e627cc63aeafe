//! Trials by chance.

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::attack::HostileGroup;
use super::behaviour::Behaviour;
use super::members::MemberTrouble;
use super::trial::{SignalPlan, Trial};

/// Distinguishes the seeds of these trials from those of other plans.
const SEED_SALT: u64 = 0x68_6f73_7469_6c65;
/// Most connections that hostile clients have at once in one trial.
const MAX_CROWD: usize = 400;

impl Trial {
    /// A trial by chance at the least limits: one to three groups of hostile clients, at times a crowd, and signals.
    pub fn drawn(seed: u64) -> Trial {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ SEED_SALT);
        let groups = rng.random_range(1..=3);
        let mut hostile: Vec<HostileGroup> = (0..groups).map(|_| draw_group(&mut rng)).collect();
        if rng.random_bool(0.3) {
            let connections = rng.random_range(150..MAX_CROWD);
            hostile.push(HostileGroup { behaviour: Behaviour::Idle, connections, reads: true });
        }
        Trial {
            memory_mb: 32,
            sockets: if rng.random_bool(0.5) { 256 } else { 1024 },
            ordinary: 20,
            length_ms: 9_000,
            hostile,
            signals: draw_signals(&mut rng),
            trouble: rng.random_bool(0.4).then(|| draw_trouble(&mut rng)),
        }
    }
}

fn draw_group(rng: &mut Pcg64Mcg) -> HostileGroup {
    let behaviour = *Behaviour::ALL.choose(rng).expect("there are behaviours");
    let connections =
        if behaviour.is_flood() { rng.random_range(1..=8) } else { rng.random_range(10..MAX_CROWD) };
    HostileGroup { behaviour, connections, reads: rng.random_bool(0.5) }
}

fn draw_trouble(rng: &mut Pcg64Mcg) -> MemberTrouble {
    *MemberTrouble::ALL.choose(rng).expect("there are troubles")
}

fn draw_signals(rng: &mut Pcg64Mcg) -> Vec<SignalPlan> {
    let mut signals = Vec::new();
    if rng.random_bool(0.3) {
        signals.push(SignalPlan::Reload { at_ms: 2_000, times: rng.random_range(1..=4) });
    }
    if rng.random_bool(0.3) {
        let at_ms = rng.random_range(2_500..4_500);
        signals.push(if rng.random_bool(0.7) {
            SignalPlan::Restart { at_ms }
        } else {
            SignalPlan::Kill { at_ms }
        });
    }
    signals
}
