//! What operators command and what the lease holder directs, with their JSON form.
//!
//! The JSON is exchanged between proxies and stored: its field names and values never change.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::site_weights::unit_hash;
use crate::{FULL_WEIGHT, SiteWeights};

/// The version of a directive: of two, the one of the higher term stands, and within a term that of the higher number. In
/// JSON a list of both.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct DirectiveVersion {
    /// The term of the lease under which it was issued.
    pub term: u64,
    /// Rises with each directive on its subject within the term.
    pub number: u64,
}

impl DirectiveVersion {
    /// Before all directives: of a plan that is known from the disk alone.
    pub const NONE: DirectiveVersion = DirectiveVersion { term: 0, number: 0 };
}

impl From<(u64, u64)> for DirectiveVersion {
    fn from((term, number): (u64, u64)) -> DirectiveVersion {
        DirectiveVersion { term, number }
    }
}

impl From<DirectiveVersion> for (u64, u64) {
    fn from(version: DirectiveVersion) -> (u64, u64) {
        (version.term, version.number)
    }
}

/// What an operator wants of a site that drains.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Its sessions move to other sites, as fast as those bear it.
    #[default]
    #[serde(rename = "goes")]
    Run,
    /// Nothing moves until another command.
    #[serde(rename = "held")]
    Pause,
    /// Its sessions come back.
    #[serde(rename = "taken_back")]
    Cancel,
    /// Poor service elsewhere does not stop it: steps are confirmed by time alone. Capacity still bounds them.
    #[serde(rename = "hurried")]
    Expedite,
}

/// An operator's command about a site. Of two commands about one site the one of the higher number stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorCommand {
    /// The site's name.
    pub site: String,
    /// Rises with each command about the site.
    pub number: u64,
    /// What is wanted.
    pub order: Order,
    /// By when the site should be drained, in Unix milliseconds.
    #[serde(rename = "by_ms")]
    pub deadline_unix_ms: u64,
}

/// How far the drain of a site has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Its sessions move away, step by step.
    #[default]
    #[serde(rename = "moving")]
    Moving,
    /// No session is assigned to it; what is in flight there ends.
    #[serde(rename = "emptied")]
    Emptied,
    /// Nothing is left there, and nothing new goes there: it may be switched off.
    #[serde(rename = "retired")]
    Drained,
    /// The drain was cancelled, and the site is whole again.
    #[serde(rename = "back")]
    Restored,
}

/// The plan for one site: the body of the lease holder's directive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The command that it carries out.
    #[serde(flatten)]
    pub command: OperatorCommand,
    /// How far it has come.
    pub stage: Stage,
    /// The part of its sessions that is still assigned to the site, in thousandths.
    pub weight: u32,
    /// The weights by which the other sites take its sessions, by name in thousandths. They stay the same throughout.
    pub shares: BTreeMap<String, u32>,
    /// What the next step waits for, for people.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "waits")]
    pub wait_text: Option<String>,
}

/// A directive's body or a report that cannot be read.
#[derive(Debug, Error)]
#[error("plan or report on a draining site cannot be read, run one version of the program everywhere: {0}")]
pub struct MalformedPayload(#[from] serde_json::Error);

pub(crate) fn encode(payload: &impl Serialize) -> Vec<u8> {
    // Names and numbers alone cannot fail to be written.
    serde_json::to_vec(payload).unwrap_or_default()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MalformedPayload> {
    Ok(serde_json::from_slice(bytes)?)
}

impl Plan {
    /// The plan that replaces this one where `next` is received. Progress is never undone, except by a cancelled drain.
    ///
    /// A lease holder that was cut off may know less than others. Without this, sessions would return to the site that they
    /// left. It costs nothing: an operator's command brings them back.
    pub(crate) fn updated_by(&self, next: Plan) -> Plan {
        if [self.command.order, next.command.order].contains(&Order::Cancel) {
            return next;
        }
        Plan { weight: next.weight.min(self.weight), stage: next.stage.max(self.stage), ..next }
    }

    /// Its JSON.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Reads its JSON.
    ///
    /// # Errors
    ///
    /// If the bytes are not a plan's JSON.
    pub fn decode(bytes: &[u8]) -> Result<Plan, MalformedPayload> {
        decode(bytes)
    }
}

/// Where the sessions of one draining site belong.
///
/// A session stays while its hash is below the site's weight, so that it leaves once. Then it belongs to one of the other
/// sites by weighted rendezvous hashing over shares that stay the same, so that none moves between them.
#[derive(Clone, Debug)]
pub struct SessionPlacement {
    /// The plan for the draining site.
    pub plan: Plan,
    /// `None` where the plan's shares are unusable.
    successors: Option<SiteWeights>,
}

impl SessionPlacement {
    /// The placement by a plan.
    pub fn new(plan: Plan) -> SessionPlacement {
        let successors = SiteWeights::new(plan.shares.clone()).ok();
        SessionPlacement { plan, successors }
    }

    /// Whether a session still belongs to the draining site.
    pub fn stays(&self, session: &str) -> bool {
        unit_hash(session, &self.plan.command.site) * f64::from(FULL_WEIGHT) < f64::from(self.plan.weight)
    }

    /// The site that a session which does not stay belongs to, among those that are reachable.
    pub fn successor(&self, session: &str, is_reachable: impl Fn(&str) -> bool) -> Option<&str> {
        self.successors.as_ref()?.site_for(session, |site| !is_reachable(site))
    }
}
