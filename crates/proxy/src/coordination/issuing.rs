//! Directives that this proxy issues as a lease holder, and the directives and observations that it exchanges with
//! its own dispatcher.

use std::rc::Rc;

use aldermill_directives::{DIRECTIVE_LIFETIME, Micros, Topic};
use aldermill_operator_config::CoordinationConfig;
use aldermill_site_drain::Plan;
use aldermill_zone_failover::ZoneDirective;
use slog::warn;

use super::Coordination;
use super::decision::{Decision, DecisionInputs, LeaseDecisions, LeaseReport};
use super::interface::CallTime;
use super::records::Record;
use crate::messages::ObservationSummary;

impl Coordination {
    /// Announces each lease that this proxy holds by a directive with an empty subject. The lease is checked
    /// immediately before each directive.
    pub(super) fn announce_held_leases(&mut self, now: Micros, live_peers: &[Rc<str>]) {
        let mut issued = Vec::new();
        for lease in &self.leases {
            let Some(term) = self.participant.may_act(now, lease) else { continue };
            let topic = Topic::new(lease, "");
            match self.directives.issue(
                now,
                topic,
                term,
                &self.incarnation.name,
                DIRECTIVE_LIFETIME,
                Vec::new(),
            ) {
                Some(directive) => issued.push(directive),
                None => {
                    warn!(self.log, "lease superseded by a higher term"; "lease" => lease, "term" => term);
                }
            }
        }
        self.forward(&issued, 0, live_peers);
    }

    /// Makes the decisions under the leases that this proxy holds, and issues them as directives.
    pub(super) fn decide(&mut self, at: CallTime, live_peers: &[Rc<str>]) {
        let mut issued = Vec::new();
        for LeaseDecisions { lease, term, decisions } in self.collect_decisions(at, live_peers) {
            for Decision { subject, body } in decisions {
                // The lease is checked immediately before each directive, as it may have ended meanwhile.
                let Some(term) = term.filter(|_| self.participant.may_act(at.now, lease) == term) else {
                    continue;
                };
                let topic = Topic::new(lease, &subject);
                issued.extend(self.directives.issue(
                    at.now,
                    topic,
                    term,
                    &self.incarnation.name,
                    DIRECTIVE_LIFETIME,
                    body,
                ));
            }
        }
        self.forward(&issued, 0, live_peers);
    }

    fn collect_decisions(&mut self, at: CallTime, live_peers: &[Rc<str>]) -> Vec<LeaseDecisions> {
        let Coordination { participant, directives, reports, incarnation, controllers, .. } = self;
        let live_proxies: Vec<&str> =
            live_peers.iter().map(|name| &**name).chain([&*incarnation.name]).collect();
        controllers.decide(|lease| DecisionInputs {
            at,
            term: participant.may_act(at.now, lease),
            reports,
            directives,
            live_proxies: &live_proxies,
        })
    }

    /// Queues reports on what this proxy's dispatcher observed.
    pub fn report_observations(&mut self, observations: ObservationSummary) {
        for LeaseReport { topic, body } in self.controllers.build_reports(observations) {
            self.reporter.put(topic, body);
        }
    }

    /// Returns the directives that shift reads away from this proxy's own zone, or `None` if they have not changed
    /// since the last call.
    pub fn take_changed_zone_directives(&mut self, now: Micros) -> Option<Vec<ZoneDirective>> {
        self.controllers.take_changed_zone_directives(now, &self.directives)
    }

    /// Returns the plans of draining sites that this proxy has to act by, or `None` if they have not changed since
    /// the last call or the lease `retire` is not configured. Also writes new plans to the data directory.
    pub fn take_changed_drain_plans(&mut self, now: Micros) -> Option<Vec<Plan>> {
        let controller = self.controllers.site_drain.as_mut()?;
        let changes = controller.follow(now, &self.directives);
        for plan in changes.to_persist {
            self.persist(Record::Drain(plan));
        }
        changes.effective
    }

    /// Applies the section `coordination` after the operator's file was read again.
    pub fn reconfigure(&mut self, now: Micros, config: &CoordinationConfig) {
        self.controllers.reconfigure(now, config);
    }
}
