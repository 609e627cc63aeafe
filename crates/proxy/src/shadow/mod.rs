//! Watching another shape of settings: a sample of the decisions is made a second time, from the same state, by a
//! copy of the router under those settings. The copy is dropped; how it would have decided otherwise is counted.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use aldermill_operator_config::ShadowConfig as Wanted;
use aldermill_routing::{Action, Actions, Handle, Router, Terms};
use aldermill_settings::Decoded;
use slog::{Logger, info};
use tokio::time::Instant;

use crate::lifecycle::errors::ShadowError;

/// What becomes of a request by one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    Held,
    Attempted,
    Rejected,
    Failed,
}

/// In what the other settings would have decided otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    Fate(Fate, Fate),
    Member,
    Limit,
    CoolDown,
    HealthChecked,
    NotHealthChecked,
    Closing,
    AskingForList,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = |fate: &Fate| match fate {
            Fate::Held => "held",
            Fate::Attempted => "launched",
            Fate::Rejected => "denied",
            Fate::Failed => "broken_off",
        };
        match self {
            Kind::Fate(was, would) => write!(f, "{}_not_{}", word(would), word(was)),
            Kind::Member => f.write_str("another_member"),
            Kind::Limit => f.write_str("another_limit"),
            Kind::CoolDown => f.write_str("another_cool_down"),
            Kind::HealthChecked => f.write_str("probed"),
            Kind::NotHealthChecked => f.write_str("not_probed"),
            Kind::Closing => f.write_str("other_connections_closed"),
            Kind::AskingForList => f.write_str("list_asked_for_otherwise"),
        }
    }
}

pub struct ShadowRouter {
    terms: Terms,
    one_in: u32,
    every: Duration,
    /// Decisions until the next one that is compared.
    left: u32,
    pub compared: u64,
    pub kinds: BTreeMap<Kind, u64>,
    told_at: Instant,
}

impl ShadowRouter {
    /// Reads the other settings, which must know the same request classes and zones as those in force.
    pub fn read(wanted: &Wanted, in_force: &Decoded) -> Result<ShadowRouter, ShadowError> {
        let path = || wanted.settings.clone();
        let text = std::fs::read_to_string(&wanted.settings);
        let text = text.map_err(|why| ShadowError::File { path: path(), why })?;
        let other = Decoded::parse(&text).map_err(|why| ShadowError::Settings { path: path(), why })?;
        if other.names() != in_force.names() {
            return Err(ShadowError::Other { path: path(), field: "categories" });
        }
        if other.zones() != in_force.zones() {
            return Err(ShadowError::Other { path: path(), field: "azs" });
        }
        let one_in = wanted.one_in.unwrap_or(10).max(1);
        Ok(ShadowRouter {
            terms: other.terms,
            one_in,
            every: Duration::from_secs(wanted.every_s.unwrap_or(60).max(1).into()),
            left: one_in,
            compared: 0,
            kinds: BTreeMap::new(),
            told_at: Instant::now(),
        })
    }

    /// Lets the router decide, and for the sample a copy of it under the other settings, whose answer is counted.
    pub fn ask<T>(
        &mut self,
        router: &mut Router,
        decide: impl Fn(&mut Router) -> (T, Actions),
    ) -> (T, Actions) {
        let copy = self.sampled(router);
        let (made, actions) = decide(router);
        if let Some(mut copy) = copy {
            self.compare(&actions, &decide(&mut copy).1);
        }
        (made, actions)
    }

    /// A copy that is to decide under the other settings, if this decision is in the sample.
    fn sampled(&mut self, router: &Router) -> Option<Router> {
        self.left -= 1;
        if self.left > 0 {
            return None;
        }
        self.left = self.one_in;
        Some(router.under(&self.terms))
    }

    /// Counts where the copy would have done otherwise.
    fn compare(&mut self, done: &Actions, other: &Actions) {
        self.compared += 1;
        let (was, would) = (fates(done), fates(other));
        let handles = was.keys().chain(would.keys().filter(|handle| !was.contains_key(handle)));
        for handle in handles {
            let steps = (was.get(handle).copied(), would.get(handle).copied());
            let kind = match steps {
                (
                    Some(Action::Attempt { member, timeout, .. }),
                    Some(Action::Attempt { member: other, timeout: within, .. }),
                ) => {
                    let kind = if member != other { Kind::Member } else { Kind::Limit };
                    (member != other || timeout != within).then_some(kind)
                }
                (Some(Action::Reject { cool_down }), Some(Action::Reject { cool_down: other })) => {
                    (cool_down != other).then_some(Kind::CoolDown)
                }
                (was, would) => {
                    let (was, would) = (fate(was), fate(would));
                    (was != would).then_some(Kind::Fate(was, would))
                }
            };
            self.count(kind, 1);
        }
        let lacking =
            |these: &[usize], those: &[usize]| these.iter().filter(|id| !those.contains(id)).count() as u64;
        self.count(Some(Kind::HealthChecked), lacking(&other.health_checks, &done.health_checks));
        self.count(Some(Kind::NotHealthChecked), lacking(&done.health_checks, &other.health_checks));
        self.count(Some(Kind::Closing), u64::from(done.shut != other.shut));
        self.count(Some(Kind::AskingForList), u64::from(done.subscribe != other.subscribe));
    }

    fn count(&mut self, kind: Option<Kind>, times: u64) {
        if let Some(kind) = kind.filter(|_| times > 0) {
            *self.kinds.entry(kind).or_default() += times;
        }
    }

    /// One line in the log each time that it is due, or at once.
    pub fn tell(&mut self, log: &Logger, at_once: bool) {
        if at_once || self.told_at.elapsed() >= self.every {
            self.told_at = Instant::now();
            let kinds: Vec<String> =
                self.kinds.iter().map(|(kind, count)| format!("{kind}={count}")).collect();
            info!(log, "settings on trial"; "otherwise" => kinds.join(" "), "compared" => self.compared,
                "one_in" => self.one_in);
        }
    }
}

/// The last step for each request.
fn fates(actions: &Actions) -> BTreeMap<Handle, Action> {
    actions.requests.iter().copied().collect()
}

fn fate(step: Option<Action>) -> Fate {
    match step {
        None => Fate::Held,
        Some(Action::Attempt { .. }) => Fate::Attempted,
        Some(Action::Reject { .. }) => Fate::Rejected,
        Some(Action::Fail) => Fate::Failed,
    }
}
