//! How much a member that is warming up may be sent.

use rand::Rng;

use super::concurrency_limit::STAY;
use super::{BEAT, HOLD};
use crate::state::{Member, Router};
use crate::{MemberId, Micros, Standing};

/// How often all members are looked at where a router keeps to some of them.
const WALK: Micros = 10 * BEAT;

impl Member {
    /// Whether it started so recently that it is to be sent little.
    pub(super) fn is_warming_up(&self, now: Micros, warm_within: Micros) -> bool {
        self.since.is_some_and(|since| now - since < warm_within)
    }

    /// Protects a process that died and came back from the crowd that waits for it. Should also cover
    /// starts that no list tells. Harms a member that only refused: it gets a cold part until it must be
    /// warm, unless it is heard sooner than any process comes back.
    pub(super) fn hear(&mut self, now: Micros, credit: f64) {
        self.heard = now;
        self.lost_until = now;
        if self.fell.take().is_some_and(|at| now - at > 4 * HOLD) {
            self.since = Some(now);
            self.credit = credit;
            self.credited = now;
        }
    }
}

impl Router {
    /// How much a cold member may be sent in one window of the overload rule.
    pub(super) fn bearable(&self, now: Micros, id: MemberId) -> f64 {
        let member = &self.members[id];
        let age = member.since.map_or(Micros::MAX, |since| now - since);
        if age >= self.terms.warm_within {
            return f64::INFINITY;
        }
        // The part at the middle of the window that ends now: capacity grows about evenly.
        let age = (age - self.terms.overload_window / 2).max(0) as f64 / self.terms.warm_within as f64;
        let part = self.terms.cold_from + (1.0 - self.terms.cold_from) * age;
        let load = self.warm_load.max(STAY / self.terms.drivers_at_cold as f64);
        self.terms.overload_factor * part * load * member.size
    }

    /// A cold member's part is saved up for from a random start, so that not all drivers come at once.
    pub(super) fn first_credit(&mut self) -> f64 {
        self.rng.random::<f64>() + STAY / self.terms.drivers_at_cold as f64
    }

    /// What fades with time at each member, and what warm members carry. Where there are many members this is done
    /// less often.
    pub(super) fn walk_members(&mut self, now: Micros) {
        // Only what was served counts as a warm member's load: misses and attempts turned away are no work.
        let window = self.terms.overload_window;
        let (mut load, mut warm) = (0.0, 0.0);
        let passed = if self.keeps_to_some() { WALK } else { BEAT };
        self.next_walk = now + passed;
        let fading = passed as f64 / window as f64;
        for member in &mut self.members {
            member.sent.retain(|&at| at > now - window);
            let warming_up = member.is_warming_up(now, self.terms.warm_within);
            if member.standing == Standing::Ready && !warming_up {
                load += member.served;
                warm += member.size;
            }
            member.served *= if warming_up { 0.0 } else { 1.0 - 0.1 * fading };
        }
        // What members carry does not shrink with what they are sent: their best of late counts.
        let faded = self.warm_load * (1.0 - 0.02 * fading);
        self.warm_load = faded.max(if warm > 0.0 { load / warm } else { 0.0 });
    }
}
