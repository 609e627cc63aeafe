//! The section `coordination`: what the fleet's proxies decide in common.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

const MIN_LEASE_MS: u64 = 500;
const MAX_LEASE_MS: u64 = 60_000;

/// What the holder of a lease decides for the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
pub enum LeaseKind {
    /// Failover between zones.
    #[serde(rename = "zones")]
    ZoneFailover,
    /// Recommendations where to split key ranges.
    #[serde(rename = "splits")]
    SplitPoints,
    /// Draining sites: their clients are handed on to other sites.
    #[serde(rename = "retire")]
    SiteDrain,
}

impl LeaseKind {
    /// The lease's name in the operator's file, in datagrams and in stored records.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            LeaseKind::ZoneFailover => "zones",
            LeaseKind::SplitPoints => "splits",
            LeaseKind::SiteDrain => "retire",
        }
    }
}

/// What is to become of a site's drain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
pub enum DrainOrder {
    /// Its clients move to the other sites, as quickly as those were measured to bear and while service holds up.
    #[default]
    #[serde(rename = "goes")]
    Run,
    /// Nothing moves until the order changes.
    #[serde(rename = "held")]
    Pause,
    /// Its clients come back.
    #[serde(rename = "taken_back")]
    Cancel,
    /// As `goes`, also while service suffers.
    #[serde(rename = "hurried")]
    Expedite,
}

/// A site that is drained. It is enough to configure this at one proxy of the fleet, at its start or by SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteDrainConfig {
    /// The site's name, as its gateways give it.
    #[schemars(length(min = 1, max = 64))]
    pub site: String,
    /// Of all orders for a site the one with the highest number counts: raise it with every change.
    #[schemars(range(min = 1))]
    pub number: u64,
    /// What is to become of the drain.
    #[serde(default)]
    pub order: DrainOrder,
    /// By when the site is to be empty, in Unix seconds. The log says where that is not possible.
    pub by: u64,
}

/// Decides in common with the fleet's other proxies. Off by default; needs `membership`. Read at the start only, but for
/// `cuts` and `site_drain`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CoordinationConfig {
    /// The names of 3, 5 or 7 proxies, the same at all of them: a majority of these grants leases.
    #[schemars(length(min = 3, max = 7))]
    pub voters: Vec<String>,
    /// The leases that this fleet has; the same at all proxies.
    #[serde(alias = "duties")]
    pub leases: Vec<LeaseKind>,
    /// How long a lease is granted for, in milliseconds; the same at all proxies.
    #[serde(default = "default_lease_ms")]
    #[schemars(range(min = 500, max = 60000))]
    pub lease_ms: u32,
    /// No term is lower. Only needed where all voters lost their state and the machines' clocks went back.
    #[serde(default)]
    pub least_term: u64,
    /// Where the operators have split groups: by the group's number, the first key of each range but the first.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub cuts: BTreeMap<u64, Vec<String>>,
    /// Sites that are drained; needs the lease `retire`, and a gateway at the proxies of each site.
    #[serde(default, skip_serializing_if = "Vec::is_empty", alias = "retire")]
    pub site_drain: Vec<SiteDrainConfig>,
}

fn default_lease_ms() -> u32 {
    3000
}

impl CoordinationConfig {
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        self.check_voters()?;
        if self.leases.is_empty() {
            return Err(OperatorError::missing("coordination.leases", "or leave `coordination` out"));
        }
        self.check_site_drain()?;
        let lease_ms = self.lease_ms.into();
        OperatorError::check_range("coordination.lease_ms", lease_ms, MIN_LEASE_MS, MAX_LEASE_MS)
    }

    fn check_voters(&self) -> Result<(), OperatorError> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(OperatorError::VoterCount(self.voters.len()));
        }
        for (index, name) in self.voters.iter().enumerate() {
            let path = format!("coordination.voters[{index}]");
            OperatorError::check_name(&path, name)?;
            if self.voters[..index].contains(name) {
                return Err(OperatorError::Duplicate { path, name: name.clone() });
            }
        }
        Ok(())
    }

    fn check_site_drain(&self) -> Result<(), OperatorError> {
        if !self.site_drain.is_empty() && !self.leases.contains(&LeaseKind::SiteDrain) {
            let reason = "with `retire` among them, as `site_drain` names sites";
            return Err(OperatorError::missing("coordination.leases", reason));
        }
        for (index, drain) in self.site_drain.iter().enumerate() {
            let path = format!("coordination.site_drain[{index}]");
            OperatorError::check_name(&format!("{path}.site"), &drain.site)?;
            OperatorError::check_range(&format!("{path}.number"), drain.number, 1, u64::MAX)?;
            if self.site_drain[..index].iter().any(|other| other.site == drain.site) {
                let path = format!("{path}.site");
                return Err(OperatorError::Duplicate { path, name: drain.site.clone() });
            }
        }
        Ok(())
    }
}
