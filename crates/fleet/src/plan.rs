//! What a run is made of, as JSON; `aldermill-fleet schema` prints the form.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Trouble;
pub use crate::figures::Wants;
pub use crate::keys::Keys;
use crate::terms::OFFERINGS;
pub use crate::what::{Agent, Between, Fault, Folder, Known, Order, Strike, Way, What};

#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    pub name: String,
    /// One sentence: what is tried.
    #[serde(default)]
    pub about: String,
    /// Processes of the program, 1 to 40.
    pub drivers: usize,
    #[serde(default = "two")]
    pub groups: usize,
    /// Members of each group; the first is primary at the start.
    #[serde(default = "three")]
    pub members: usize,
    #[serde(default)]
    pub bearing: Bearing,
    /// The load as a share of what the members can do together.
    pub load: f64,
    /// How long clients come, the first second not counted.
    pub seconds: f64,
    /// Whether each driver has a folder for what it keeps over a restart.
    #[serde(default)]
    pub keeps: bool,
    /// Whether drivers know of one another.
    #[serde(default)]
    pub fellows: bool,
    /// So many of the first drivers vote on duties; none, and nothing is decided in common.
    #[serde(default)]
    pub voters: usize,
    /// What is decided in common, where there are voters.
    #[serde(default = "all_duties")]
    pub duties: Vec<String>,
    /// Members of a group, and drivers, are spread over so many zones in turn.
    #[serde(default = "a_zone")]
    pub zones: usize,
    /// The part of all sessions that is bound to drivers of the first zone beside its even share.
    #[serde(default)]
    pub skew: f64,
    /// Drivers, and the members of a group, are at so many sites in turn, each with gateways to the others.
    #[serde(default = "a_zone")]
    pub sites: usize,
    #[serde(default)]
    pub keys: Keys,
    /// Each process may have so many descriptors (RLIMIT_NOFILE), fewer than its configuration says.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub descriptors: Option<u64>,
    /// The deadline of all requests, where it is not the offerings' own.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<i64>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub wants: Wants,
}

/// What a member bears.
#[derive(Clone, Debug, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Bearing {
    pub workers: usize,
    /// Tasks that wait at most; more are turned away.
    pub queue: usize,
    pub connections: usize,
    /// What a new connection costs one worker.
    pub handshake_ms: f64,
    /// How far replicas are behind.
    pub lag_ms: u64,
    /// From the start of a member until it is warm.
    pub warm_ms: u64,
}

impl Default for Bearing {
    fn default() -> Bearing {
        Bearing { workers: 4, queue: 64, connections: 200, handshake_ms: 1.0, lag_ms: 40, warm_ms: 2000 }
    }
}

fn two() -> usize {
    2
}

fn all_duties() -> Vec<String> {
    ["zones", "splits"].map(str::to_owned).to_vec()
}

fn a_zone() -> usize {
    1
}

fn three() -> usize {
    3
}

impl Plan {
    pub fn parse(text: &str) -> Result<Plan, Trouble> {
        let plan: Plan = serde_json::from_str(text)?;
        plan.check().map(|()| plan)
    }

    fn check(&self) -> Result<(), Trouble> {
        let within = |field: &str, value: f64, least: f64, most: f64| {
            let fits = (least..=most).contains(&value);
            fits.then_some(()).ok_or_else(|| Trouble::Range { field: field.to_owned(), value, least, most })
        };
        within("drivers", self.drivers as f64, 1.0, 40.0)?;
        within("descriptors", self.descriptors.unwrap_or(64) as f64, 16.0, 1024.0)?;
        within("deadline_ms", self.deadline_ms.unwrap_or(300) as f64, 50.0, 10_000.0)?;
        within("groups", self.groups as f64, 1.0, 12.0)?;
        within("members", self.members as f64, 1.0, 9.0)?;
        within("load", self.load, 0.01, 2.0)?;
        within("skew", self.skew, 0.0, 1.0)?;
        within("zones", self.zones as f64, 1.0, 5.0)?;
        within("sites", self.sites as f64, 1.0, 5.0)?;
        if self.sites > 1 && (self.zones > 1 || self.sites > self.members || self.sites > self.drivers) {
            return Err(Trouble::Sites(self.sites));
        }
        if !(matches!(self.voters, 0 | 3 | 5 | 7) && self.voters <= self.drivers) {
            return Err(Trouble::Voters { voters: self.voters, drivers: self.drivers });
        }
        if self.voters > 0 && !self.fellows {
            return Err(Trouble::Alone);
        }
        within("seconds", self.seconds, 1.0, 600.0)?;
        for (at, fault) in self.faults.iter().enumerate() {
            let share = match fault.what {
                What::Stop { share, .. }
                | What::Kill { share, .. }
                | What::Terminate { share, .. }
                | What::Descriptors { share, .. }
                | What::MoveList { share }
                | What::Cut { share, .. }
                | What::Hold { share, .. }
                | What::Delay { share, .. }
                | What::CutAt { share, .. }
                | What::HalfOpen { share, .. }
                | What::KillMembers { share, .. }
                | What::HangMembers { share, .. } => share,
                What::MovePrimary { group, .. } | What::Drain { group, .. } => {
                    within(&format!("faults[{at}].do.group"), group as f64, 0.0, self.groups as f64 - 1.0)?;
                    continue;
                }
                What::List { .. } | What::Holder { .. } => continue,
                What::Retire { site, .. } | What::SiteDown { site, .. } | What::SiteCut { site, .. } => {
                    within(&format!("faults[{at}].do.site"), site as f64, 0.0, self.sites as f64 - 1.0)?;
                    continue;
                }
                What::ZoneLost { zone, .. } | What::ZoneCut { zone, .. } | What::ZoneFar { zone, .. } => {
                    within(&format!("faults[{at}].do.zone"), zone as f64, 0.0, self.zones as f64 - 1.0)?;
                    continue;
                }
            };
            within(&format!("faults[{at}].do.share"), share, 0.0, 1.0)?;
        }
        Ok(())
    }

    /// How long a client waits for a task of that offering.
    pub fn limit_ms(&self, offering: usize) -> i64 {
        self.deadline_ms.unwrap_or(OFFERINGS[offering].limit_ms)
    }

    pub fn schema() -> String {
        serde_json::to_string_pretty(&schemars::schema_for!(Plan)).unwrap_or_default() + "\n"
    }

    pub fn needs_client_cables(&self) -> bool {
        self.faults.iter().any(|fault| match fault.what {
            What::Cut { between, .. }
            | What::Hold { between, .. }
            | What::Delay { between, .. }
            | What::CutAt { between, .. }
            | What::HalfOpen { between, .. } => between == Between::ClientsDrivers,
            _ => false,
        })
    }
}
