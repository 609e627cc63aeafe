use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What a duty is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Deserialize, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Duty {
    /// Failover between zones.
    Zones,
    /// Where key ranges are cut.
    Splits,
}

impl Duty {
    pub fn name(self) -> &'static str {
        match self {
            Duty::Zones => "zones",
            Duty::Splits => "splits",
        }
    }
}

/// What drivers decide in common. Off by default; needs `fellows`. Read at the start only.
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
    /// Where a group's range was cut, by the operators themselves: by the group's number, the first key of the new range.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub cuts: BTreeMap<u64, String>,
}

fn three_seconds() -> u32 {
    3000
}

impl Council {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), String> {
        let named =
            |at: usize, name: &String| (1..=64).contains(&name.len()) && !self.voters[..at].contains(name);
        if !matches!(self.voters.len(), 3 | 5 | 7) {
            return Err(format!("council.voters: {} are named, name 3, 5 or 7 drivers", self.voters.len()));
        }
        if let Some((at, _)) = self.voters.iter().enumerate().find(|(at, name)| !named(*at, name)) {
            return Err(format!(
                "council.voters[{at}]: a name of 1 to 64 bytes that no other voter has is needed"
            ));
        }
        if self.duties.is_empty() {
            return Err("council.duties: name what is to be decided, or leave `council` out".to_owned());
        }
        let long = (500..=60_000).contains(&self.lease_ms);
        long.then_some(())
            .ok_or_else(|| format!("council.lease_ms: {} is not from 500 to 60000", self.lease_ms))
    }
}
