use std::collections::BTreeMap;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::homes::draw;
use crate::{Homes, Order, WHOLE};

/// Of two decrees the one of the higher term, and within it of the higher number, stands.
pub type Place = (u64, u64);

/// What an operator said of a site; of two words on one site that of the higher number stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    pub site: String,
    pub number: u64,
    pub order: Order,
    /// By when, in Unix milliseconds.
    pub by_ms: u64,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    #[default]
    Moving,
    /// No session is bound there; what is out comes to its end.
    Emptied,
    /// Nothing is there any more, and nothing new goes there.
    Retired,
    /// It is as it was.
    Back,
}

/// What stands of one site: the body of the duty's decree, as JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    #[serde(flatten)]
    pub word: Word,
    pub stage: Stage,
    /// In thousandths: the part of its sessions that is still bound there.
    pub weight: u32,
    /// By which weights the others take its sessions; the same from the first step to the last.
    pub shares: BTreeMap<String, u32>,
    /// What the next step waits for, for people.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub waits: Option<String>,
}

/// A decree's body or a report that cannot be read.
#[derive(Debug, Error)]
#[error("a word on a site that retires cannot be read; run one version of the program everywhere: {0}")]
pub struct Malformed(#[from] serde_json::Error);

pub(crate) fn encode(what: &impl Serialize) -> Vec<u8> {
    // Names and numbers alone: nothing of it can fail to be written.
    serde_json::to_vec(what).unwrap_or_default()
}

pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Malformed> {
    Ok(serde_json::from_slice(bytes)?)
}

impl Plan {
    /// What follows it, where it is never gone back behind: a holder that was cut off may know less than others.
    ///
    /// Protects sessions from a return to the site that they left. Harms nobody: an operator's word brings them back.
    pub(crate) fn followed_by(&self, next: Plan) -> Plan {
        if [self.word.order, next.word.order].contains(&Order::TakenBack) {
            return next;
        }
        Plan { weight: next.weight.min(self.weight), stage: next.stage.max(self.stage), ..next }
    }

    pub fn encode(&self) -> Vec<u8> {
        encode(self)
    }

    pub fn decode(bytes: &[u8]) -> Result<Plan, Malformed> {
        decode(bytes)
    }
}

/// Where the sessions of a site that retires belong.
///
/// A session stays while its own draw is under the weight, so that it leaves once, and then belongs to a survivor by weighted
/// rendezvous hashing over shares that stay as they are: while the weight falls none moves between survivors.
#[derive(Clone, Debug)]
pub struct Binding {
    pub plan: Plan,
    homes: Option<Homes>,
}

impl Binding {
    pub fn of(plan: Plan) -> Binding {
        let homes = Homes::of(plan.shares.clone()).ok();
        Binding { plan, homes }
    }

    pub fn stays(&self, session: &str) -> bool {
        draw(session, &self.plan.word.site) * f64::from(WHOLE) < f64::from(self.plan.weight)
    }

    /// Where a session that does not stay belongs, of the sites that are reached.
    pub fn home(&self, session: &str, reached: impl Fn(&str) -> bool) -> Option<&str> {
        self.homes.as_ref()?.home(session, |site| !reached(site))
    }
}
