use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use thiserror::Error;

use crate::WHOLE;

/// Sites that sessions cannot be bound to.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum Unusable {
    #[error("no site has any weight; leave at least one site whole")]
    Nobody,
    #[error("site {0:?} has a weight of {1} thousandths; 1000 are the most")]
    Weight(String, u32),
}

/// Which sites there are, and their weights. The same at all drivers that have the same decree.
///
/// Weighted rendezvous hashing by the logarithm (Schindelhauer, Schomaker: Weighted distributed hash tables, 2005): a session
/// belongs to the site of the highest -weight / ln(h), h from the hash of both names. No library was taken: drivers of two
/// versions must agree, and those at hand promise no hash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    weights: BTreeMap<String, u32>,
}

impl Homes {
    pub fn of(weights: impl IntoIterator<Item = (String, u32)>) -> Result<Homes, Unusable> {
        let weights: BTreeMap<String, u32> = weights.into_iter().collect();
        if let Some((name, weight)) = weights.iter().find(|(_, weight)| **weight > WHOLE) {
            return Err(Unusable::Weight(name.clone(), *weight));
        }
        if weights.values().all(|weight| *weight == 0) {
            return Err(Unusable::Nobody);
        }
        Ok(Homes { weights })
    }

    pub fn weight(&self, site: &str) -> u32 {
        self.weights.get(site).copied().unwrap_or(0)
    }

    /// Where a session belongs, those that are dead left out. `None` where nobody is left.
    pub fn home(&self, session: &str, dead: impl Fn(&str) -> bool) -> Option<&str> {
        let live = self.weights.iter().filter(|(name, weight)| **weight > 0 && !dead(name));
        let rank = |(name, weight): &(&String, &u32)| f64::from(**weight) / -draw(session, name).ln();
        let first = live.max_by(|a, b| rank(a).total_cmp(&rank(b)));
        first.map(|(name, _)| name.as_str())
    }
}

/// Both names hashed to a number between zero and one, neither of them.
pub(crate) fn draw(session: &str, site: &str) -> f64 {
    let mut hasher = FnvHasher::default();
    [session.as_bytes(), &[0], site.as_bytes()].into_iter().for_each(|part| hasher.write(part));
    // Mixed: names that differ in their last letter are far apart.
    let mut mixed = hasher.finish();
    for (shift, times) in [(33, 0xff51_afd7_ed55_8ccd_u64), (33, 0xc4ce_b9fe_1a85_ec53), (33, 1)] {
        mixed = (mixed ^ mixed >> shift).wrapping_mul(times);
    }
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
