//! The controllers of all leases: each builds this proxy's reports, makes decisions while this proxy holds the lease,
//! and follows the directives in force.

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

/// Parameters that the controllers start with.
pub(super) struct LeaseControllerSetup<'a> {
    /// Time of the start, in microseconds.
    pub(super) now: Micros,
    /// The section `coordination` of the operator's file.
    pub(super) config: &'a CoordinationConfig,
    /// Zone of this proxy, as an index into the list of zones in the settings.
    pub(super) zone: usize,
    /// Longest timeout of all request classes, in microseconds.
    pub(super) longest_timeout: Micros,
    /// Whether there is a data directory.
    pub(super) is_durable: bool,
    /// Logger that each controller clones.
    pub(super) log: &'a Logger,
}

/// The controller of each lease; `None` if the operator's file does not name the lease.
pub(super) struct LeaseControllers {
    zone_failover: Option<ZoneFailoverController>,
    split_points: Option<SplitPointController>,
    /// Controller of the lease `retire`.
    pub(super) site_drain: Option<SiteDrainController>,
}

impl LeaseControllers {
    /// Starts the controllers of the leases that the operator's file names.
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

    /// Makes the decisions under each lease. `inputs` returns the inputs for the lease of the given name.
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

    /// Builds the reports on what was observed, for all leases.
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

    /// Returns the directives that shift reads away from this proxy's own zone, or `None` if they have not changed
    /// since the last call.
    pub(super) fn take_changed_zone_directives(
        &mut self,
        now: Micros,
        directives: &DirectiveStore,
    ) -> Option<Vec<ZoneDirective>> {
        self.zone_failover.as_mut()?.take_changed_directives(now, directives)
    }

    /// Applies the section `coordination` after the operator's file was read again.
    pub(super) fn reconfigure(&mut self, now: Micros, config: &CoordinationConfig) {
        if let Some(controller) = &mut self.site_drain {
            controller.reconfigure(&config.site_drain);
        }
        if let Some(controller) = &mut self.split_points {
            controller.reconfigure(now, &config.cuts);
        }
    }

    /// Records that a peer is gone or has restarted.
    pub(super) fn peer_lost(&mut self, now: Micros, name: &str) {
        if let Some(controller) = &mut self.site_drain {
            controller.peer_lost(now, name);
        }
    }

    /// Returns the state of zone failover for the status socket, or `None` if its lease is not configured.
    pub(super) fn zone_failover_json(&self) -> Option<Value> {
        self.zone_failover.as_ref().map(ZoneFailoverController::status_json)
    }

    /// Returns the state of site drains for the status socket, or `None` if their lease is not configured.
    pub(super) fn site_drain_json(&self) -> Option<Value> {
        self.site_drain.as_ref().map(SiteDrainController::status_json)
    }

    /// Returns the names of the proxies whose key summaries were excluded from the last decision, or `None` if the
    /// lease of split recommendations is not configured.
    pub(super) fn excluded_reporters(&self) -> Option<&[String]> {
        self.split_points.as_ref().map(SplitPointController::excluded_reporters)
    }
}

/// Makes the decisions under one lease.
fn decide_under<'a>(
    lease: &'static str,
    inputs: impl Fn(&'static str) -> DecisionInputs<'a>,
    decide: impl FnOnce(&DecisionInputs<'a>) -> Vec<Decision>,
) -> LeaseDecisions {
    let inputs = inputs(lease);
    LeaseDecisions { lease, term: inputs.term, decisions: decide(&inputs) }
}
