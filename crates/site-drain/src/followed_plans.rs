//! The plans that one proxy follows.

use std::collections::BTreeMap;

use crate::{DirectiveVersion, Micros, Plan, Stage};

/// How long a proxy goes on by a plan after the directive has expired, in microseconds. Past it others count on the proxy to
/// start nothing at its own site.
const AUTONOMY_AFTER_EXPIRY: Micros = 15_000_000;

/// A plan, the version of the directive that brought it, and when that was last received.
#[derive(Clone, Debug)]
struct FollowedPlan {
    plan: Plan,
    version: DirectiveVersion,
    received_at: Micros,
}

/// What one proxy follows: the newest plan that it received for each site.
///
/// Sessions that have moved stay where they are when the directive expires: if they came back for want of news, they would
/// move twice. Only what the proxy may start at its own site ends some time after, so that others can say that the site is
/// drained without having heard from it.
#[derive(Clone, Debug, Default)]
pub struct FollowedPlans {
    /// By the site's name.
    plans: BTreeMap<String, FollowedPlan>,
}

impl FollowedPlans {
    /// Follows the plans that an earlier start stored, as if they had been received just now.
    pub fn new(now: Micros, stored: impl IntoIterator<Item = Plan>) -> FollowedPlans {
        let followed_plan = |plan| FollowedPlan { plan, version: DirectiveVersion::NONE, received_at: now };
        let plans = stored.into_iter().map(|plan| (plan.command.site.clone(), followed_plan(plan)));
        FollowedPlans { plans: plans.collect() }
    }

    /// Takes over the plans that an earlier start stored, where they could be read only now. What was received meanwhile
    /// follows them.
    pub fn restore(&mut self, now: Micros, stored: impl IntoIterator<Item = Plan>) {
        for plan in stored {
            let site = plan.command.site.clone();
            let stored = FollowedPlan { plan, version: DirectiveVersion::NONE, received_at: now };
            if let Some(known) = self.plans.insert(site, stored) {
                self.receive(known.received_at, known.plan, known.version);
            }
        }
    }

    /// How long after a proxy was last heard it may start anything at its own site, in microseconds, where directives live
    /// for `directive_lifetime`.
    pub fn max_autonomy(directive_lifetime: Micros) -> Micros {
        directive_lifetime + AUTONOMY_AFTER_EXPIRY
    }

    /// A directive in force. Returns whether anything has changed that is to be stored.
    pub fn receive(&mut self, now: Micros, plan: Plan, version: DirectiveVersion) -> bool {
        // What the next step waits for changes nothing here.
        let plan = Plan { wait_text: None, ..plan };
        let Some(known) = self.plans.get_mut(&plan.command.site) else {
            let site = plan.command.site.clone();
            self.plans.insert(site, FollowedPlan { plan, version, received_at: now });
            return true;
        };
        if version < known.version {
            return false;
        }
        // A drain that a later command cancelled does not return with an old lease holder's directive.
        if known.version == DirectiveVersion::NONE && plan.command.number < known.plan.command.number {
            return false;
        }
        known.version = version;
        known.received_at = now;
        let next = known.plan.updated_by(plan);
        let has_changed = known.plan != next;
        known.plan = next;
        has_changed
    }

    /// The plan followed for a site.
    pub fn plan(&self, site: &str) -> Option<&Plan> {
        self.plans.get(site).map(|followed| &followed.plan)
    }

    /// The version of the directive that brought the plan for a site.
    pub fn version(&self, site: &str) -> Option<DirectiveVersion> {
        self.plans.get(site).map(|followed| followed.version)
    }

    /// All plans, which are to be stored.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values().map(|followed| &followed.plan)
    }

    /// The plans to act by now, at this site.
    ///
    /// A proxy of a draining site that has received nothing for too long acts as if the site were drained. Without this it
    /// could start requests there after others said that nothing is left. The cost: clients of that site whose sessions
    /// have not moved yet are sent to other sites all at once, or rejected where none is reachable.
    pub fn effective_plans(&self, now: Micros, own_site: &str) -> Vec<Plan> {
        let effective = |followed: &FollowedPlan| {
            let plan = &followed.plan;
            let is_isolated = now - followed.received_at > AUTONOMY_AFTER_EXPIRY;
            if plan.command.site == own_site && is_isolated && plan.stage != Stage::Restored {
                return Plan { weight: 0, stage: Stage::Drained, ..plan.clone() };
            }
            plan.clone()
        };
        self.plans.values().map(effective).filter(|plan| plan.stage != Stage::Restored).collect()
    }
}
