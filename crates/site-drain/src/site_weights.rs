//! Which site a session belongs to, by the weights of sites.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use thiserror::Error;

use crate::FULL_WEIGHT;

/// Weights that sessions cannot be assigned by.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WeightsError {
    /// All weights are zero.
    #[error("no site has any weight; leave at least one site whole")]
    NoWeight,
    /// A weight is above [`FULL_WEIGHT`].
    #[error("site {site:?} has a weight of {weight} thousandths; 1000 are the most")]
    TooHigh {
        /// The site's name.
        site: String,
        /// Its weight, in thousandths.
        weight: u32,
    },
}

/// The weights of sites, by which sessions are assigned to them. All proxies that have the same weights agree on every
/// session.
///
/// Weighted rendezvous hashing by the logarithm (Schindelhauer, Schomaker: Weighted distributed hash tables, 2005): a session
/// belongs to the site of the highest -weight / ln(h), with h from the hash of both names. No library is used: proxies of two
/// versions must agree, and those at hand do not promise a stable hash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteWeights {
    weights: BTreeMap<String, u32>,
}

impl SiteWeights {
    /// The weights by the sites' names, in thousandths.
    ///
    /// # Errors
    ///
    /// If a weight is above [`FULL_WEIGHT`], or none is above zero.
    pub fn new(weights: impl IntoIterator<Item = (String, u32)>) -> Result<SiteWeights, WeightsError> {
        let weights: BTreeMap<String, u32> = weights.into_iter().collect();
        if let Some((site, weight)) = weights.iter().find(|(_, weight)| **weight > FULL_WEIGHT) {
            return Err(WeightsError::TooHigh { site: site.clone(), weight: *weight });
        }
        if weights.values().all(|weight| *weight == 0) {
            return Err(WeightsError::NoWeight);
        }
        Ok(SiteWeights { weights })
    }

    /// The weight of a site, in thousandths; zero if it has none.
    pub fn weight(&self, site: &str) -> u32 {
        self.weights.get(site).copied().unwrap_or(0)
    }

    /// The site that a session belongs to, among those that are not `excluded`; `None` if none is left.
    pub fn site_for(&self, session: &str, excluded: impl Fn(&str) -> bool) -> Option<&str> {
        let candidates = self.weights.iter().filter(|(site, weight)| **weight > 0 && !excluded(site));
        let score = |(site, weight): &(&String, &u32)| f64::from(**weight) / -unit_hash(session, site).ln();
        let best = candidates.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(site, _)| site.as_str())
    }
}

/// Hashes both names to a number between zero and one, excluding both.
pub(crate) fn unit_hash(session: &str, site: &str) -> f64 {
    let mut hasher = FnvHasher::default();
    for part in [session.as_bytes(), &[0], site.as_bytes()] {
        hasher.write(part);
    }
    // FNV alone gives names that differ in their last letter similar values; this is the finalizer of MurmurHash3.
    let mut mixed = hasher.finish();
    for (shift, factor) in [(33, 0xff51_afd7_ed55_8ccd_u64), (33, 0xc4ce_b9fe_1a85_ec53), (33, 1)] {
        mixed = (mixed ^ mixed >> shift).wrapping_mul(factor);
    }
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
