//! Assignment of sessions to sites by the weights of the sites.

use std::collections::BTreeMap;
use std::hash::Hasher;

use fnv::FnvHasher;
use thiserror::Error;

use crate::FULL_WEIGHT;

/// Reason for which weights cannot be used to assign sessions.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum WeightsError {
    /// All weights are zero.
    #[error("the weights of all sites are zero; at least one site needs a positive weight")]
    NoWeight,
    /// A weight is above [`FULL_WEIGHT`].
    #[error("the weight of site {site:?} is {weight} thousandths; the maximum is 1000")]
    TooHigh {
        /// The name of the site.
        site: String,
        /// The weight that was given for the site, in thousandths.
        weight: u32,
    },
}

/// Weights by which sessions are assigned to sites. Proxies with the same weights assign every session to the
/// same site.
///
/// This is weighted rendezvous hashing by the logarithmic method (Schindelhauer, Schomaker: Weighted
/// distributed hash tables, 2005): a session belongs to the site with the highest -weight / ln(h), where h is
/// derived from the hash of the names of the session and the site. No library is used because proxies of two
/// versions must agree, and the available libraries do not promise a stable hash.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SiteWeights {
    weights: BTreeMap<String, u32>,
}

impl SiteWeights {
    /// Creates the weights from pairs of a site's name and its weight in thousandths.
    ///
    /// # Errors
    ///
    /// Returns an error if a weight is above [`FULL_WEIGHT`] or no weight is above zero.
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

    /// Returns the weight of a site, in thousandths; zero if the site is not known.
    pub fn weight(&self, site: &str) -> u32 {
        self.weights.get(site).copied().unwrap_or(0)
    }

    /// Returns the site that a session belongs to among those with a positive weight that are not `excluded`,
    /// or `None` if there is none.
    pub fn site_for(&self, session: &str, excluded: impl Fn(&str) -> bool) -> Option<&str> {
        let candidates = self.weights.iter().filter(|(site, weight)| **weight > 0 && !excluded(site));
        let score = |(site, weight): &(&String, &u32)| f64::from(**weight) / -unit_hash(session, site).ln();
        let best = candidates.max_by(|a, b| score(a).total_cmp(&score(b)));
        best.map(|(site, _)| site.as_str())
    }
}

/// Returns a hash of the names of a session and a site as a number between 0 and 1, both exclusive.
pub(crate) fn unit_hash(session: &str, site: &str) -> f64 {
    let mut hasher = FnvHasher::default();
    for part in [session.as_bytes(), &[0], site.as_bytes()] {
        hasher.write(part);
    }
    // FNV alone yields similar values for names that differ only in their last letter, so the finalizer of
    // MurmurHash3 is applied.
    let mut mixed = hasher.finish();
    for (shift, factor) in [(33, 0xff51_afd7_ed55_8ccd_u64), (33, 0xc4ce_b9fe_1a85_ec53), (33, 1)] {
        mixed = (mixed ^ mixed >> shift).wrapping_mul(factor);
    }
    ((mixed >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}
