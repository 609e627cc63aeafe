//! What this proxy does under each lease of the fleet: what it reports, what it decides while it holds the lease, and what
//! it obeys.

use aldermill_directives::{DirectiveStore, Micros};
use aldermill_operator_config::CoordinationConfig;
use aldermill_zone_failover::ZoneDirective;
use serde_json::Value;
use slog::Logger;

use super::decision::{Decision, DecisionInputs, LeaseDecisions, LeaseReport};
use super::site_drain::{self, SiteDrainWork};
use super::split_points::{self, SplitPointWork};
use super::zone_failover::{self, ZoneFailoverWork};
use crate::messages::ObservationSummary;

/// What the work under leases starts with.
pub(super) struct LeaseWorkStart<'a> {
    pub(super) now: Micros,
    /// The operator's section `coordination`.
    pub(super) config: &'a CoordinationConfig,
    /// This proxy's zone.
    pub(super) zone: usize,
    /// The longest timeout of all request classes, in microseconds.
    pub(super) longest_timeout: Micros,
    /// Whether there is a data directory.
    pub(super) is_durable: bool,
    pub(super) log: &'a Logger,
}

/// What this proxy does under each lease. `None` where the operator's file does not name the lease.
pub(super) struct LeaseWork {
    zone_failover: Option<ZoneFailoverWork>,
    split_points: Option<SplitPointWork>,
    pub(super) site_drain: Option<SiteDrainWork>,
}

impl LeaseWork {
    /// The work under the leases that the operator's file names.
    pub(super) fn start(start: &LeaseWorkStart<'_>) -> LeaseWork {
        let LeaseWorkStart { now, config, zone, longest_timeout, is_durable, log } = *start;
        let has = |lease: &str| config.leases.iter().any(|kind| kind.name() == lease);
        let zone_failover = || ZoneFailoverWork::start(zone, log.clone());
        let split_points = || SplitPointWork::start(config.cuts.clone(), log.clone());
        let site_drain =
            || SiteDrainWork::start(now, &config.site_drain, longest_timeout, is_durable, log.clone());
        LeaseWork {
            zone_failover: has(zone_failover::LEASE).then(zone_failover),
            split_points: has(split_points::LEASE).then(split_points),
            site_drain: has(site_drain::LEASE).then(site_drain),
        }
    }

    /// Decides what there is to decide under each lease; `inputs` gives those of a lease by its name.
    pub(super) fn decide<'a>(
        &mut self,
        inputs: impl Fn(&'static str) -> DecisionInputs<'a>,
    ) -> Vec<LeaseDecisions> {
        let mut all = Vec::new();
        if let Some(work) = &mut self.zone_failover {
            all.push(decide_under(zone_failover::LEASE, &inputs, |inputs| work.decide(inputs)));
        }
        if let Some(work) = &mut self.split_points {
            all.push(decide_under(split_points::LEASE, &inputs, |inputs| work.decide(inputs)));
        }
        if let Some(work) = &mut self.site_drain {
            all.push(decide_under(site_drain::LEASE, &inputs, |inputs| work.decide(inputs)));
        }
        all
    }

    /// What is to be reported of what was observed.
    pub(super) fn reports(&mut self, observed: ObservationSummary) -> Vec<LeaseReport> {
        let mut reports = Vec::new();
        reports.extend(self.site_drain.as_mut().map(|work| work.report(&observed)));
        reports.extend(self.split_points.as_ref().map(|work| work.report(&observed)).into_iter().flatten());
        reports.extend(self.zone_failover.as_ref().map(|work| work.report(observed)).into_iter().flatten());
        reports
    }

    /// The directives that shift reads of this proxy's own zone, if they have changed.
    pub(super) fn zone_directives(
        &mut self,
        now: Micros,
        directives: &DirectiveStore,
    ) -> Option<Vec<ZoneDirective>> {
        self.zone_failover.as_mut()?.obey(now, directives)
    }

    /// The operator's file was read again.
    pub(super) fn reconfigure(&mut self, now: Micros, config: &CoordinationConfig) {
        if let Some(work) = &mut self.site_drain {
            work.reconfigure(&config.site_drain);
        }
        if let Some(work) = &mut self.split_points {
            work.reconfigure(now, &config.cuts);
        }
    }

    /// Another proxy is gone, or has started again.
    pub(super) fn peer_gone(&mut self, now: Micros, name: &str) {
        if let Some(work) = &mut self.site_drain {
            work.peer_gone(now, name);
        }
    }

    /// What is known under the lease of zone failover, for the status socket.
    pub(super) fn describe_zone_failover(&self) -> Option<Value> {
        self.zone_failover.as_ref().map(ZoneFailoverWork::describe)
    }

    /// What is known under the lease of site drains, for the status socket.
    pub(super) fn describe_site_drain(&self) -> Option<Value> {
        self.site_drain.as_ref().map(SiteDrainWork::describe)
    }

    /// Proxies whose key summaries were set aside, for the status socket.
    pub(super) fn set_aside(&self) -> Option<&[String]> {
        self.split_points.as_ref().map(SplitPointWork::set_aside)
    }
}

fn decide_under<'a>(
    lease: &'static str,
    inputs: impl Fn(&'static str) -> DecisionInputs<'a>,
    decide: impl FnOnce(&DecisionInputs<'a>) -> Vec<Decision>,
) -> LeaseDecisions {
    let inputs = inputs(lease);
    LeaseDecisions { lease, term: inputs.term, decisions: decide(&inputs) }
}
