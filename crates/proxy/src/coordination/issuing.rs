//! Directives that this proxy issues under the leases that it holds, and what it hands to its own dispatcher.

use std::rc::Rc;

use aldermill_directives::{DIRECTIVE_LIFETIME, Micros, Topic};
use aldermill_operator_config::CoordinationConfig;
use aldermill_site_drain::Plan;
use aldermill_zone_failover::ZoneDirective;
use slog::warn;

use super::Coordination;
use super::call::CallTime;
use super::decision::{Decision, DecisionInputs, LeaseDecisions, LeaseReport};
use super::records::Record;
use crate::messages::ObservationSummary;

impl Coordination {
    /// Tells all others which leases this proxy holds; whether it does is asked before each.
    pub(super) fn announce_held_leases(&mut self, now: Micros, others: &[Rc<str>]) {
        let mut issued = Vec::new();
        for lease in &self.leases {
            let Some(term) = self.participant.may_act(now, lease) else { continue };
            let topic = Topic::new(lease, "");
            match self.directives.issue(now, topic, term, &self.own.name, DIRECTIVE_LIFETIME, Vec::new()) {
                Some(directive) => issued.push(directive),
                None => {
                    warn!(self.log, "lease superseded by a higher term"; "lease" => lease, "term" => term);
                }
            }
        }
        self.forward(&issued, 0, others);
    }

    /// Decides what there is to decide under the leases that this proxy holds, and issues it.
    pub(super) fn decide(&mut self, at: CallTime, others: &[Rc<str>]) {
        let mut issued = Vec::new();
        for LeaseDecisions { lease, term, decisions } in self.decisions(at, others) {
            for Decision { subject, body } in decisions {
                // The lease is looked at before each act.
                let Some(term) = term.filter(|_| self.participant.may_act(at.now, lease) == term) else {
                    continue;
                };
                let topic = Topic::new(lease, &subject);
                issued.extend(self.directives.issue(
                    at.now,
                    topic,
                    term,
                    &self.own.name,
                    DIRECTIVE_LIFETIME,
                    body,
                ));
            }
        }
        self.forward(&issued, 0, others);
    }

    fn decisions(&mut self, at: CallTime, others: &[Rc<str>]) -> Vec<LeaseDecisions> {
        let Coordination { participant, directives, reports, own, work, .. } = self;
        let living: Vec<&str> = others.iter().map(|name| &**name).chain([&*own.name]).collect();
        work.decide(|lease| DecisionInputs {
            at,
            term: participant.may_act(at.now, lease),
            reports,
            directives,
            living: &living,
        })
    }

    /// What this proxy's dispatcher observed, to be reported.
    pub fn observed(&mut self, observed: ObservationSummary) {
        for LeaseReport { topic, body } in self.work.reports(observed) {
            self.reporter.put(topic, body);
        }
    }

    /// The directives that shift reads of this proxy's own zone, if they have changed.
    pub fn zone_directives(&mut self, now: Micros) -> Option<Vec<ZoneDirective>> {
        self.work.zone_directives(now, &self.directives)
    }

    /// The plans of the sites that drain, as this proxy is to act by them, if that has changed.
    pub fn drain_plans(&mut self, now: Micros) -> Option<Vec<Plan>> {
        let work = self.work.site_drain.as_mut()?;
        let obeyed = work.obey(now, &self.directives);
        for plan in obeyed.to_persist {
            self.persist(Record::Drain(plan));
        }
        obeyed.acting
    }

    /// The operator's file was read again.
    pub fn reconfigure(&mut self, now: Micros, config: &CoordinationConfig) {
        self.work.reconfigure(now, config);
    }
}
