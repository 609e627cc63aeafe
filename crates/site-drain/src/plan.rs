//! Commands of operators and plans of the lease holder, with their JSON representation.
//!
//! The JSON is exchanged between proxies and stored on disk, so its field names and values never change.

use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::site_weights::unit_hash;
use crate::{FULL_WEIGHT, SiteWeights};

/// The version of a directive. A directive of a higher term supersedes one of a lower term; within a term the
/// higher number supersedes. The JSON representation is a list of the term and the number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(u64, u64)", into = "(u64, u64)")]
pub struct DirectiveVersion {
    /// The term of the lease under which the directive was issued.
    pub term: u64,
    /// The number of the directive, which rises with each directive on the same subject within the term.
    pub number: u64,
}

impl DirectiveVersion {
    /// A version below those of all directives. It stands for a plan that is known only from the disk.
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

/// The action that an operator orders for the drain of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Order {
    /// Moves the site's sessions to other sites, as fast as the capacity of those sites permits.
    #[default]
    #[serde(rename = "goes")]
    Run,
    /// Moves no session until another command.
    #[serde(rename = "held")]
    Pause,
    /// Moves the site's sessions back.
    #[serde(rename = "taken_back")]
    Cancel,
    /// Moves sessions even if service at other sites is poor: steps are confirmed by time alone. Spare
    /// capacity still limits their size.
    #[serde(rename = "hurried")]
    Expedite,
}

/// An operator's command on a site. Of two commands on the same site, the one with the higher number applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OperatorCommand {
    /// The name of the site.
    pub site: String,
    /// The number of the command, which rises with each command on the site.
    pub number: u64,
    /// The action to take.
    pub order: Order,
    /// The time by which the site should be drained, in Unix milliseconds.
    #[serde(rename = "by_ms")]
    pub deadline_unix_ms: u64,
}

/// Progress of the drain of a site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Stage {
    /// Sessions move to other sites step by step.
    #[default]
    #[serde(rename = "moving")]
    Moving,
    /// No session is assigned to the site any more. Requests in flight there complete.
    #[serde(rename = "emptied")]
    Emptied,
    /// No work is left at the site and no new requests are sent there. The site may be switched off.
    #[serde(rename = "retired")]
    Drained,
    /// The drain was cancelled and the site has all of its sessions again.
    #[serde(rename = "back")]
    Restored,
}

/// The plan for one draining site, which is the body of the lease holder's directive.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// The command that this plan carries out.
    #[serde(flatten)]
    pub command: OperatorCommand,
    /// The progress of the drain.
    pub stage: Stage,
    /// The part of the site's sessions that is still assigned to it, in thousandths.
    pub weight: u32,
    /// The weights by which the other sites take over its sessions, in thousandths, by the site's name. They
    /// stay the same for the whole drain.
    pub shares: BTreeMap<String, u32>,
    /// What the next step waits for, as text for operators; `None` if there is nothing to tell.
    #[serde(default, skip_serializing_if = "Option::is_none", rename = "waits")]
    pub wait_text: Option<String>,
}

/// Error of a directive's body or a report that cannot be parsed.
#[derive(Debug, Error)]
#[error("malformed site drain plan or report, check that all proxies run the same version: {0}")]
pub struct MalformedPayload(#[from] serde_json::Error);

pub(crate) fn encode(payload: &impl Serialize) -> Vec<u8> {
    // Serializing plans and reports cannot fail, as they consist of names and numbers only.
    serde_json::to_vec(payload).unwrap_or_default()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, MalformedPayload> {
    Ok(serde_json::from_slice(bytes)?)
}

impl Plan {
    /// Returns the plan to follow when `next` is received after this one. Progress is never undone unless the
    /// drain was cancelled.
    ///
    /// A lease holder that was isolated may know less than others; without this rule, sessions would return
    /// to the site that they left. The rule has no cost, as an operator's command can bring them back.
    pub(crate) fn updated_by(&self, next: Plan) -> Plan {
        if [self.command.order, next.command.order].contains(&Order::Cancel) {
            return next;
        }
        Plan { weight: next.weight.min(self.weight), stage: next.stage.max(self.stage), ..next }
    }

    /// Returns the plan as JSON.
    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    /// Parses a plan from JSON.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not the JSON of a plan.
    pub fn decode(bytes: &[u8]) -> Result<Plan, MalformedPayload> {
        decode(bytes)
    }
}

/// Assignment of the sessions of one draining site.
///
/// A session stays at the site while its hash is below the site's weight, so it leaves at most once as the
/// weight falls. After that it belongs to one of the other sites by weighted rendezvous hashing. The shares
/// of those sites do not change, so no session moves between them.
#[derive(Clone, Debug)]
pub struct SessionPlacement {
    /// The plan for the draining site.
    pub plan: Plan,
    /// The weights of the other sites; `None` if the plan's shares are unusable.
    successors: Option<SiteWeights>,
}

impl SessionPlacement {
    /// Creates the placement that follows from a plan.
    pub fn new(plan: Plan) -> SessionPlacement {
        let successors = SiteWeights::new(plan.shares.clone()).ok();
        SessionPlacement { plan, successors }
    }

    /// Returns whether a session still belongs to the draining site.
    pub fn stays(&self, session: &str) -> bool {
        unit_hash(session, &self.plan.command.site) * f64::from(FULL_WEIGHT) < f64::from(self.plan.weight)
    }

    /// Returns the reachable site that takes over a session that does not stay, or `None` if there is none.
    pub fn successor(&self, session: &str, is_reachable: impl Fn(&str) -> bool) -> Option<&str> {
        self.successors.as_ref()?.site_for(session, |site| !is_reachable(site))
    }
}
