//! The steps in which the sessions of a draining site move to other sites.

use std::collections::BTreeMap;

use crate::{FULL_WEIGHT, FleetObservations, Micros, Order, SiteLoad};

/// The time after each step in which the service quality must confirm it, in microseconds. No further step is
/// taken in this time.
const STEP_INTERVAL: Micros = 2_000_000;
/// The maximum size of a step, in thousandths of all sessions of the site.
const MAX_STEP: u32 = 250;
/// The minimum size of a step, in thousandths of all sessions of the site. Only the last step may be smaller.
const MIN_STEP: u32 = 10;
/// The part of the measured spare capacity that a step may use, from 0 to 1.
const MAX_SPARE_SHARE: f64 = 0.9;
/// The served share of another site below which no session moves.
const POOR_SERVED_SHARE: f64 = 0.95;
/// The served share that must be reached again after service was poor. It is higher than
/// [`POOR_SERVED_SHARE`] so that the drain does not alternate between moving and waiting.
const GOOD_SERVED_SHARE: f64 = 0.98;
/// The part of the proxies that are alive that must report, from 0 to 1, so that the observations represent
/// the fleet.
const MIN_REPORTING_SHARE: f64 = 0.8;

/// The reason for which the next step waits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The last step has not been confirmed yet.
    StepUnconfirmed,
    /// The named site serves too few requests within their latency objective.
    PoorService(String),
    /// No proxy of the named site reports.
    SiteNotReporting(String),
    /// Too few proxies report.
    TooFewReports,
    /// The measured spare capacity of the other sites is too small for a step.
    NoCapacity,
    /// The operator paused the drain.
    Paused,
}

/// The result of an evaluation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Sessions are moving to other sites, or back if the drain was cancelled.
    Moving {
        /// The part of the site's sessions that is still assigned to it, in thousandths.
        weight: u32,
        /// The reason for which the next step waits; `None` if a step was just taken.
        wait_reason: Option<WaitReason>,
    },
    /// No session is assigned to the site any more. Requests in flight there complete.
    Emptied,
    /// The drain was cancelled and the site has all of its sessions again.
    Restored,
}

/// The drain of one site, as the lease holder controls it.
#[derive(Clone, Debug)]
pub struct SiteDrain {
    site: String,
    deadline: Micros,
    /// The weights by which the other sites take over the sessions, in thousandths. A missing site has
    /// [`FULL_WEIGHT`].
    shares: BTreeMap<String, u32>,
    weight: u32,
    last_step_at: Micros,
    /// Whether service at another site was poor and has not become good again.
    is_service_poor: bool,
}

impl SiteDrain {
    /// Starts a drain, or resumes one that an earlier lease holder started.
    ///
    /// `weight` is the site's weight by the directive in force, or [`FULL_WEIGHT`] for a new drain, in
    /// thousandths. `deadline` is the time by which the site should be drained.
    pub fn resume(now: Micros, site: &str, deadline: Micros, weight: u32) -> SiteDrain {
        SiteDrain {
            site: site.to_owned(),
            deadline,
            shares: BTreeMap::new(),
            weight: weight.min(FULL_WEIGHT),
            last_step_at: now,
            is_service_poor: false,
        }
    }

    /// Returns the drain with these weights, by which the other sites take over its sessions, in thousandths.
    /// Without them every other site has [`FULL_WEIGHT`].
    #[must_use]
    pub fn with_shares(mut self, shares: BTreeMap<String, u32>) -> SiteDrain {
        self.shares = shares;
        self
    }

    /// Sets the time by which the operator wants the site to be drained.
    pub fn set_deadline(&mut self, deadline: Micros) {
        self.deadline = deadline;
    }

    /// Returns the part of the site's sessions that is still assigned to it, in thousandths.
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// Lowers the weight to the one that an earlier lease holder had reached, in thousandths. A higher weight
    /// has no effect.
    pub(crate) fn lower_weight_to(&mut self, weight: u32) {
        self.weight = self.weight.min(weight);
    }

    /// Returns whether the remaining sessions cannot be moved by the operator's deadline at the pace that the
    /// spare capacity permits.
    pub fn misses_deadline(&self, now: Micros, fleet: &FleetObservations) -> bool {
        let step = self.next_step_size(fleet);
        if step == 0 {
            return self.weight > 0 && now >= self.deadline;
        }
        let steps = self.weight.div_ceil(step);
        now + Micros::from(steps) * STEP_INTERVAL > self.deadline
    }

    /// Evaluates the drain and takes the next step unless there is a reason to wait. The caller must call
    /// this once a second.
    pub fn evaluate(&mut self, now: Micros, order: Order, fleet: &FleetObservations) -> DrainState {
        if order == Order::Cancel {
            return self.restore_step(now);
        }
        if self.weight == 0 {
            return DrainState::Emptied;
        }
        let obstacle = self.reason_to_wait(now, order, fleet);
        let step = self.next_step_size(fleet);
        let lacks_spare_capacity = step < MIN_STEP.min(self.weight);
        let wait_reason = obstacle.or(lacks_spare_capacity.then_some(WaitReason::NoCapacity));
        if wait_reason.is_none() {
            self.weight -= step;
            self.last_step_at = now;
        }
        if self.weight == 0 {
            return DrainState::Emptied;
        }
        DrainState::Moving { weight: self.weight, wait_reason }
    }

    /// Moves sessions back to the site of a cancelled drain, step by step.
    fn restore_step(&mut self, now: Micros) -> DrainState {
        if self.weight < FULL_WEIGHT && now - self.last_step_at >= STEP_INTERVAL {
            self.weight = (self.weight + MAX_STEP).min(FULL_WEIGHT);
            self.last_step_at = now;
        }
        if self.weight == FULL_WEIGHT {
            return DrainState::Restored;
        }
        DrainState::Moving { weight: self.weight, wait_reason: Some(WaitReason::StepUnconfirmed) }
    }

    /// Returns the reason to wait with the next step, apart from a lack of spare capacity; `None` if there is
    /// none.
    fn reason_to_wait(&mut self, now: Micros, order: Order, fleet: &FleetObservations) -> Option<WaitReason> {
        if order == Order::Pause {
            return Some(WaitReason::Paused);
        }
        if (fleet.reporting_proxies as f64) < MIN_REPORTING_SHARE * fleet.alive_proxies as f64 {
            return Some(WaitReason::TooFewReports);
        }
        if let Some((name, _)) = self.other_sites(fleet).find(|(_, site)| !site.is_reporting) {
            return Some(WaitReason::SiteNotReporting(name.clone()));
        }
        let required_share = if self.is_service_poor { GOOD_SERVED_SHARE } else { POOR_SERVED_SHARE };
        let poor_site = self.other_sites(fleet).find(|(_, site)| site.served_share < required_share);
        let poor_site = poor_site.map(|(name, _)| name.clone());
        self.is_service_poor = poor_site.is_some();
        if let Some(poor_site) = poor_site.filter(|_| order != Order::Expedite) {
            return Some(WaitReason::PoorService(poor_site));
        }
        (now - self.last_step_at < STEP_INTERVAL).then_some(WaitReason::StepUnconfirmed)
    }

    /// Returns the part of the site's sessions that may move now, in thousandths, given the spare capacity of
    /// the sites that report.
    fn next_step_size(&self, fleet: &FleetObservations) -> u32 {
        let draining_site = fleet.sites.get(&self.site);
        let Some(draining_site) =
            draining_site.filter(|site| site.is_reporting && site.session_rate > 0.0 && self.weight > 0)
        else {
            // No session sends requests to the site, or none can because the site does not report, so spare
            // capacity does not limit the step.
            return MAX_STEP.min(self.weight);
        };
        // The current weight corresponds to the current session rate. Each other site takes its share of the
        // sessions that move, so the site with the least spare capacity in relation to its share limits the
        // step.
        let share = |name: &String| f64::from(self.shares.get(name).copied().unwrap_or(FULL_WEIGHT));
        let successors = || self.other_sites(fleet).filter(|(_, site)| site.is_reporting);
        let total_share: f64 = successors().map(|(name, _)| share(name)).sum();
        let sustainable_rates =
            successors().map(|(name, site)| site.spare_rate * total_share / share(name).max(1.0));
        let movable_part =
            sustainable_rates.fold(f64::INFINITY, f64::min) * MAX_SPARE_SHARE / draining_site.session_rate;
        if total_share == 0.0 {
            return 0;
        }
        ((movable_part * f64::from(self.weight)) as u32).min(MAX_STEP).min(self.weight)
    }

    fn other_sites<'a>(
        &'a self,
        fleet: &'a FleetObservations,
    ) -> impl Iterator<Item = (&'a String, &'a SiteLoad)> {
        fleet.sites.iter().filter(|(name, _)| **name != self.site)
    }
}
