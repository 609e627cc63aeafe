//! Plans that one proxy follows.

use std::collections::BTreeMap;

use crate::{DirectiveVersion, Micros, Plan, Stage};

/// How long a proxy of a draining site continues to follow a plan after its directive has expired, in
/// microseconds. After that, other proxies rely on it to start nothing more at its own site.
const AUTONOMY_AFTER_EXPIRY: Micros = 15_000_000;

/// A plan with the version of its directive and the time at which the directive was last received.
#[derive(Clone, Debug)]
struct FollowedPlan {
    plan: Plan,
    version: DirectiveVersion,
    received_at: Micros,
}

/// The newest plan that one proxy received for each site.
///
/// Sessions that have moved stay at their new site when the directive expires; if they returned, they would
/// move twice. Only the time for which the proxy may start requests at its own site is limited, so that the
/// lease holder can declare the site drained without having heard from this proxy.
#[derive(Clone, Debug, Default)]
pub struct FollowedPlans {
    /// The plans, by the name of the site.
    plans: BTreeMap<String, FollowedPlan>,
}

impl FollowedPlans {
    /// Creates a state that follows the plans stored by an earlier run, as if they had been received at
    /// `now`.
    pub fn new(now: Micros, stored: impl IntoIterator<Item = Plan>) -> FollowedPlans {
        let followed_plan = |plan| FollowedPlan { plan, version: DirectiveVersion::NONE, received_at: now };
        let plans = stored.into_iter().map(|plan| (plan.command.site.clone(), followed_plan(plan)));
        FollowedPlans { plans: plans.collect() }
    }

    /// Restores the plans stored by an earlier run when they become readable only after the start. Plans that
    /// were received in the meantime are applied on top of them.
    pub fn restore(&mut self, now: Micros, stored: impl IntoIterator<Item = Plan>) {
        for plan in stored {
            let site = plan.command.site.clone();
            let stored = FollowedPlan { plan, version: DirectiveVersion::NONE, received_at: now };
            if let Some(known) = self.plans.insert(site, stored) {
                self.receive(known.received_at, known.plan, known.version);
            }
        }
    }

    /// Returns how long after a proxy was last heard from it may start requests at its own site, in
    /// microseconds. `directive_lifetime` is how long a directive stays in force, in microseconds.
    pub fn max_autonomy(directive_lifetime: Micros) -> Micros {
        directive_lifetime + AUTONOMY_AFTER_EXPIRY
    }

    /// Applies the plan of a directive in force. Returns whether the followed plan has changed and must be
    /// stored.
    pub fn receive(&mut self, now: Micros, plan: Plan, version: DirectiveVersion) -> bool {
        // The text on what the next step waits for does not affect what a proxy does.
        let plan = Plan { wait_text: None, ..plan };
        let Some(known) = self.plans.get_mut(&plan.command.site) else {
            let site = plan.command.site.clone();
            self.plans.insert(site, FollowedPlan { plan, version, received_at: now });
            return true;
        };
        if version < known.version {
            return false;
        }
        // An outdated lease holder's directive does not restart a drain that a later command cancelled.
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

    /// Returns the plan that is followed for a site, or `None` if there is none.
    pub fn plan(&self, site: &str) -> Option<&Plan> {
        self.plans.get(site).map(|followed| &followed.plan)
    }

    /// Returns the version of the directive whose plan is followed for a site, or `None` if there is no plan.
    /// [`DirectiveVersion::NONE`] stands for a plan that is known only from the disk.
    pub fn version(&self, site: &str) -> Option<DirectiveVersion> {
        self.plans.get(site).map(|followed| followed.version)
    }

    /// Returns the plans of all sites, which must survive a restart.
    pub fn plans(&self) -> impl Iterator<Item = &Plan> {
        self.plans.values().map(|followed| &followed.plan)
    }

    /// Returns the plans by which a proxy of `own_site` acts now; restored sites have none.
    ///
    /// A proxy of a draining site that has received no directive for too long acts as if the site were
    /// drained. Otherwise it could start requests there after the lease holder has declared that no work is
    /// left. The cost: clients of that site whose sessions have not moved yet are sent to other sites all at
    /// once, or are rejected if no other site is reachable.
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
