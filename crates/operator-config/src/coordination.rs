use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// What a duty is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum LeaseKind {
    /// Failover between zones.
    #[serde(rename = "zones")]
    ZoneFailover,
    /// Where key ranges are cut.
    #[serde(rename = "splits")]
    SplitPoints,
    /// Sites that hand their clients on.
    #[serde(rename = "retire")]
    SiteDrain,
}

impl LeaseKind {
    pub fn name(self) -> &'static str {
        match self {
            LeaseKind::ZoneFailover => "zones",
            LeaseKind::SplitPoints => "splits",
            LeaseKind::SiteDrain => "retire",
        }
    }
}

/// What a site that retires is to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum DrainOrder {
    /// Its clients go to the others, as quickly as those were measured to bear and while service stands.
    #[default]
    #[serde(rename = "goes")]
    Run,
    /// Nothing moves until another word.
    #[serde(rename = "held")]
    Pause,
    /// Its clients come back.
    #[serde(rename = "taken_back")]
    Cancel,
    /// As `goes`, also while service falls.
    #[serde(rename = "hurried")]
    Expedite,
}

/// A site that retires. It is enough that one driver of the fleet is told, at its start or by SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SiteDrainConfig {
    /// The site's name, as its gateways give it.
    #[schemars(length(min = 1, max = 64))]
    pub site: String,
    /// Of all words on a site that of the highest number stands: raise it with every change.
    #[schemars(range(min = 1))]
    pub number: u64,
    #[serde(default)]
    pub order: DrainOrder,
    /// By when it is to be empty, in Unix seconds. It is told where that cannot be.
    pub by: u64,
}

/// What drivers decide in common. Off by default; needs `membership`. Read at the start only, but for `cuts` and `site_drain`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct CoordinationConfig {
    /// The names of 3, 5 or 7 drivers, the same at all of them: a majority says who holds a duty.
    #[schemars(length(min = 3, max = 7))]
    pub voters: Vec<String>,
    /// The duties that this fleet has; the same at all drivers.
    #[serde(alias = "duties")]
    pub leases: Vec<LeaseKind>,
    /// For how long a duty is granted at a time; the same at all drivers.
    #[serde(default = "three_seconds")]
    #[schemars(range(min = 500, max = 60000))]
    pub lease_ms: u32,
    /// No term is lower. Only needed where all voters lost their state and the machines' clocks went back.
    #[serde(default)]
    pub least_term: u64,
    /// Where groups were cut, by the operators themselves: by the group's number, the first key of each range but the first.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub cuts: BTreeMap<u64, Vec<String>>,
    /// Sites that retire; needs the duty `retire`, and a gateway at the drivers of each site.
    #[serde(default, skip_serializing_if = "Vec::is_empty", alias = "retire")]
    pub site_drain: Vec<SiteDrainConfig>,
}

fn three_seconds() -> u32 {
    3000
}

impl CoordinationConfig {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(OperatorError::VoterCount(self.voters.len()));
        }
        for (at, name) in self.voters.iter().enumerate() {
            let path = format!("coordination.voters[{at}]");
            OperatorError::check_name(&path, name)?;
            if self.voters[..at].contains(name) {
                return Err(OperatorError::Duplicate { path, name: name.clone() });
            }
        }
        if self.leases.is_empty() {
            return Err(OperatorError::missing("coordination.leases", "or leave `coordination` out"));
        }
        if !self.site_drain.is_empty() && !self.leases.contains(&LeaseKind::SiteDrain) {
            return Err(OperatorError::missing(
                "coordination.leases",
                "with `retire` among them, as sites are named that retire",
            ));
        }
        for (at, one) in self.site_drain.iter().enumerate() {
            let path = format!("coordination.site_drain[{at}]");
            OperatorError::check_name(&format!("{path}.site"), &one.site)?;
            OperatorError::check_range(&format!("{path}.number"), one.number, 1, u64::MAX)?;
            if self.site_drain[..at].iter().any(|other| other.site == one.site) {
                return Err(OperatorError::Duplicate {
                    path: format!("{path}.site"),
                    name: one.site.clone(),
                });
            }
        }
        OperatorError::check_range("coordination.lease_ms", self.lease_ms.into(), 500, 60_000)
    }
}
