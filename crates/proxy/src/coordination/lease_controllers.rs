//! What this proxy does under each lease of the fleet: what it reports, what it decides while it holds the lease, and what
//! it obeys.

use aldermill_directives::{DirectiveStore, Micros};
use aldermill_operator_config::CoordinationConfig;
use aldermill_zone_failover::ZoneDirective;
use serde_json::Value;
use slog::Logger;

use super::decision::{Decision, DecisionInputs, LeaseDecisions, LeaseReport};
use super::site_drain::{self, SiteDrainController};
use super::split_points::{self, SplitPointController};
use super::zone_failover::{self, ZoneFailoverController};
use crate::messages::ObservationSummary;

/// What the work under leases starts with.
pub(super) struct LeaseControllerSetup<'a> {
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
pub(super) struct LeaseControllers {
    zone_failover: Option<ZoneFailoverController>,
    split_points: Option<SplitPointController>,
    pub(super) site_drain: Option<SiteDrainController>,
}

impl LeaseControllers {
    /// The work under the leases that the operator's file names.
    pub(super) fn start(start: &LeaseControllerSetup<'_>) -> LeaseControllers {
        let LeaseControllerSetup { now, config, zone, longest_timeout, is_durable, log } = *start;
        let is_configured = |lease: &str| config.leases.iter().any(|kind| kind.name() == lease);
        let zone_failover = || ZoneFailoverController::start(zone, log.clone());
        let split_points = || SplitPointController::start(config.cuts.clone(), log.clone());
        let site_drain =
            || SiteDrainController::start(now, &config.site_drain, longest_timeout, is_durable, log.clone());
        LeaseControllers {
            zone_failover: is_configured(zone_failover::LEASE).then(zone_failover),
            split_points: is_configured(split_points::LEASE).then(split_points),
            site_drain: is_configured(site_drain::LEASE).then(site_drain),
        }
    }

    /// Decides what there is to decide under each lease; `inputs` gives those of a lease by its name.
    pub(super) fn decide<'a>(
        &mut self,
        inputs: impl Fn(&'static str) -> DecisionInputs<'a>,
    ) -> Vec<LeaseDecisions> {
        let mut all = Vec::new();
        if let Some(controller) = &mut self.zone_failover {
            all.push(decide_under(zone_failover::LEASE, &inputs, |inputs| controller.decide(inputs)));
        }
        if let Some(controller) = &mut self.split_points {
            all.push(decide_under(split_points::LEASE, &inputs, |inputs| controller.decide(inputs)));
        }
        if let Some(controller) = &mut self.site_drain {
            all.push(decide_under(site_drain::LEASE, &inputs, |inputs| controller.decide(inputs)));
        }
        all
    }

    /// What is to be reported of what was observed.
    pub(super) fn build_reports(&mut self, observations: ObservationSummary) -> Vec<LeaseReport> {
        let mut reports = Vec::new();
        reports.extend(self.site_drain.as_mut().map(|controller| controller.build_report(&observations)));
        reports.extend(
            self.split_points
                .as_ref()
                .map(|controller| controller.build_report(&observations))
                .into_iter()
                .flatten(),
        );
        reports.extend(
            self.zone_failover
                .as_ref()
                .map(|controller| controller.build_report(observations))
                .into_iter()
                .flatten(),
        );
        reports
    }

    /// The directives that shift reads of this proxy's own zone, if they have changed.
    pub(super) fn take_changed_zone_directives(
        &mut self,
        now: Micros,
        directives: &DirectiveStore,
    ) -> Option<Vec<ZoneDirective>> {
        self.zone_failover.as_mut()?.take_changed_directives(now, directives)
    }

    /// The operator's file was read again.
    pub(super) fn reconfigure(&mut self, now: Micros, config: &CoordinationConfig) {
        if let Some(controller) = &mut self.site_drain {
            controller.reconfigure(&config.site_drain);
        }
        if let Some(controller) = &mut self.split_points {
            controller.reconfigure(now, &config.cuts);
        }
    }

    /// Another proxy is gone, or has started again.
    pub(super) fn peer_lost(&mut self, now: Micros, name: &str) {
        if let Some(controller) = &mut self.site_drain {
            controller.peer_lost(now, name);
        }
    }

    /// What is known under the lease of zone failover, for the status socket.
    pub(super) fn zone_failover_json(&self) -> Option<Value> {
        self.zone_failover.as_ref().map(ZoneFailoverController::status_json)
    }

    /// What is known under the lease of site drains, for the status socket.
    pub(super) fn site_drain_json(&self) -> Option<Value> {
        self.site_drain.as_ref().map(SiteDrainController::status_json)
    }

    /// Proxies whose key summaries were set aside, for the status socket.
    pub(super) fn excluded_reporters(&self) -> Option<&[String]> {
        self.split_points.as_ref().map(SplitPointController::excluded_reporters)
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
