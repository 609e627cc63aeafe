//! Which keys clients ask for, and how good a cut of them is, by the true accesses.

use std::collections::BTreeMap;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::history::{At, Event};
use crate::terms::CLASSES;

/// Which keys clients ask for, of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Keys {
    /// Each session its own.
    #[default]
    Sessions,
    /// Of 2000: by Zipf with the exponent 1.1, in the order of rank.
    Zipf,
    /// Seven in ten accesses at a tenth of them.
    HotRange,
    /// Half of all accesses at one.
    HotKey,
    /// Ever new ones, in order.
    Front,
}

const KEYS: usize = 2000;

pub fn key(keys: Keys, rng: &mut Pcg64Mcg, session: usize, now: At) -> String {
    let at = match keys {
        Keys::Sessions => return format!("k{session}"),
        Keys::Zipf => {
            let most = 1.0 - (KEYS as f64).powf(-0.1);
            (((1.0 - rng.random::<f64>() * most).powf(-10.0)) as usize).min(KEYS - 1)
        }
        Keys::HotRange if rng.random_bool(0.7) => rng.random_range(1500..1700),
        Keys::HotKey if rng.random_bool(0.5) => 777,
        Keys::HotRange | Keys::HotKey => rng.random_range(0..KEYS),
        Keys::Front => (now / 50_000) as usize + rng.random_range(0..200),
    };
    format!("k{at:06}")
}

/// The larger side's share of the work under that cut, over the larger side's under the best one, from the accesses of a
/// group between two times.
pub fn imbalance(events: &[(At, Event)], group: usize, span: (At, At), cut: &[u8]) -> f64 {
    let mut work: BTreeMap<&str, f64> = BTreeMap::new();
    for (at, event) in events {
        if let Event::Keyed { group: of, class, key } = event
            && *of == group
            && (span.0..span.1).contains(at)
        {
            *work.entry(key).or_default() += CLASSES[*class].work_ms;
        }
    }
    let all: f64 = work.values().sum();
    let larger = |left: f64| (left / all).max(1.0 - left / all);
    let left: f64 = work.iter().filter(|(key, _)| key.as_bytes() < cut).map(|(_, work)| work).sum();
    let (mut sum, mut best) = (0.0, 1.0f64);
    for work in work.values() {
        best = best.min(larger(sum));
        sum += work;
    }
    larger(left) / best
}
