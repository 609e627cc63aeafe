//! The pace at which a site's sessions move away.

use std::collections::BTreeMap;

use crate::{FULL_WEIGHT, FleetObservations, Micros, Order, SiteLoad};

/// How long each step waits for what is served to confirm it, in microseconds.
const STEP_INTERVAL: Micros = 2_000_000;
/// The most that one step moves, in thousandths of the whole site.
const MAX_STEP: u32 = 250;
/// The least that is worth a step, in thousandths of the whole site.
const MIN_STEP: u32 = 10;
/// The part of the measured spare capacity that a step may use.
const MAX_SPARE_SHARE: f64 = 0.9;
/// The served share under which nothing moves.
const POOR_SERVED_SHARE: f64 = 0.95;
/// The served share that has to be reached again after that: above the other, so that the drain does not start and stop.
const GOOD_SERVED_SHARE: f64 = 0.98;
/// The part of the living proxies that must report, so that the observations stand for the fleet.
const MIN_REPORTING_SHARE: f64 = 0.8;

/// What the next step waits for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WaitReason {
    /// The last step is not confirmed yet.
    StepUnconfirmed,
    /// This site serves too little within the latency objective.
    PoorService(String),
    /// This site does not report.
    SiteNotReporting(String),
    /// Too few proxies report.
    TooFewReports,
    /// No other site was measured to bear more.
    NoCapacity,
    /// The operator paused the drain.
    Paused,
}

/// What an evaluation concludes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DrainState {
    /// Sessions are moving.
    Moving {
        /// The part of its sessions that is still assigned to the site, in thousandths.
        weight: u32,
        /// What the next step waits for.
        wait_reason: Option<WaitReason>,
    },
    /// No session is assigned to the site any more; what is in flight there ends.
    Emptied,
    /// The site is whole again.
    Restored,
}

/// The drain of one site, as the lease holder carries it on.
#[derive(Clone, Debug)]
pub struct SiteDrain {
    site: String,
    deadline: Micros,
    /// How its sessions are shared among the others, in thousandths; those that are missing count as whole.
    shares: BTreeMap<String, u32>,
    weight: u32,
    last_step_at: Micros,
    /// Service at another site was poor and is not good again.
    is_service_poor: bool,
}

impl SiteDrain {
    /// A drain that begins, or that an earlier lease holder began. `weight` is the site's by the directive in force, or
    /// [`FULL_WEIGHT`]; `deadline` is when it should be done.
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

    /// The same with the weights by which the other sites take its sessions, in thousandths.
    #[must_use]
    pub fn with_shares(mut self, shares: BTreeMap<String, u32>) -> SiteDrain {
        self.shares = shares;
        self
    }

    /// The operator named another time.
    pub fn set_deadline(&mut self, deadline: Micros) {
        self.deadline = deadline;
    }

    /// The part of its sessions that is still assigned to the site, in thousandths.
    pub fn weight(&self) -> u32 {
        self.weight
    }

    /// An earlier lease holder had come this far.
    pub(crate) fn lower_weight_to(&mut self, weight: u32) {
        self.weight = self.weight.min(weight);
    }

    /// Whether what is left cannot move by the operator's time, at the pace that capacity allows.
    pub fn misses_deadline(&self, now: Micros, fleet: &FleetObservations) -> bool {
        let step = self.next_step_size(fleet);
        if step == 0 {
            return self.weight > 0 && now >= self.deadline;
        }
        let steps = self.weight.div_ceil(step);
        now + Micros::from(steps) * STEP_INTERVAL > self.deadline
    }

    /// Evaluates the drain, once a second, and takes the next step if nothing speaks against it.
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

    /// The drain was cancelled: its sessions come back in steps.
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

    /// What speaks against a step now, capacity aside.
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

    /// How much may move now, in thousandths, by the spare capacity of the sites that are alive.
    fn next_step_size(&self, fleet: &FleetObservations) -> u32 {
        let draining_site = fleet.sites.get(&self.site);
        let Some(draining_site) =
            draining_site.filter(|site| site.is_reporting && site.session_rate > 0.0 && self.weight > 0)
        else {
            // Nobody sends requests there, or nobody can.
            return MAX_STEP.min(self.weight);
        };
        // Its present weight stands for its session rate. Each other site takes its share of what moves, so the one with
        // the least spare capacity for its share bounds the step.
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
