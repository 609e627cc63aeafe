use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Wrong;

/// What a duty is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Failover between zones.
    Zones,
    /// Where key ranges are cut.
    Splits,
    /// Sites that hand their clients on.
    Retire,
}

impl Duty {
    pub fn name(self) -> &'static str {
        match self {
            Duty::Zones => "zones",
            Duty::Splits => "splits",
            Duty::Retire => "retire",
        }
    }
}

/// What a site that retires is to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Pace {
    /// Its clients go to the others, as quickly as those were measured to bear and while service stands.
    #[default]
    Goes,
    /// Nothing moves until another word.
    Held,
    /// Its clients come back.
    TakenBack,
    /// As `goes`, also while service falls.
    Hurried,
}

/// A site that retires. It is enough that one driver of the fleet is told, at its start or by SIGHUP.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Retiring {
    /// The site's name, as its gateways give it.
    #[schemars(length(min = 1, max = 64))]
    pub site: String,
    /// Of all words on a site that of the highest number stands: raise it with every change.
    #[schemars(range(min = 1))]
    pub number: u64,
    #[serde(default)]
    pub order: Pace,
    /// By when it is to be empty, in Unix seconds. It is told where that cannot be.
    pub by: u64,
}

/// What drivers decide in common. Off by default; needs `fellows`. Read at the start only, but for `cuts` and `retire`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Council {
    /// The names of 3, 5 or 7 drivers, the same at all of them: a majority says who holds a duty.
    #[schemars(length(min = 3, max = 7))]
    pub voters: Vec<String>,
    /// The duties that this fleet has; the same at all drivers.
    pub duties: Vec<Duty>,
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
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub retire: Vec<Retiring>,
}

fn three_seconds() -> u32 {
    3000
}

impl Council {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), Wrong> {
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(Wrong::Voters(self.voters.len()));
        }
        for (at, name) in self.voters.iter().enumerate() {
            let path = format!("council.voters[{at}]");
            Wrong::name(&path, name)?;
            if self.voters[..at].contains(name) {
                return Err(Wrong::Twice { path, name: name.clone() });
            }
        }
        if self.duties.is_empty() {
            return Err(Wrong::needed("council.duties", "or leave `council` out"));
        }
        if !self.retire.is_empty() && !self.duties.contains(&Duty::Retire) {
            return Err(Wrong::needed(
                "council.duties",
                "with `retire` among them, as sites are named that retire",
            ));
        }
        for (at, one) in self.retire.iter().enumerate() {
            let path = format!("council.retire[{at}]");
            Wrong::name(&format!("{path}.site"), &one.site)?;
            Wrong::range(&format!("{path}.number"), one.number, 1, u64::MAX)?;
            if self.retire[..at].iter().any(|other| other.site == one.site) {
                return Err(Wrong::Twice { path: format!("{path}.site"), name: one.site.clone() });
            }
        }
        Wrong::range("council.lease_ms", self.lease_ms.into(), 500, 60_000)
    }
}
