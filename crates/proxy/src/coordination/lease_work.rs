//! What this proxy decides under the leases that it holds, and what it reports and obeys under all.

use std::rc::Rc;

use aldermill_directives::{DirectiveStore, LIFETIME, Micros, Reports, Topic};
use aldermill_leases::Term;
use aldermill_operator_config::CoordinationConfig as Config;
use aldermill_site_drain::Plan;
use aldermill_zone_failover::{Group, Lean};
use slog::warn;

use super::records::Record;
use super::{CallTime, Coordination, site_drain, split_points, zone_failover};
use crate::messages::ObservationSummary;

/// What is decided on one subject under a lease.
pub(super) struct Decision {
    pub(super) subject: String,
    /// The body of the directive.
    pub(super) body: Vec<u8>,
}

/// What decisions under a lease go by.
pub(super) struct DecisionInputs<'a> {
    pub(super) at: CallTime,
    /// The term under which this proxy holds the lease; without one it decides nothing.
    pub(super) term: Option<Term>,
    pub(super) reports: &'a Reports,
    pub(super) directives: &'a DirectiveStore,
    /// The names of all proxies that live, this one among them.
    pub(super) living: &'a [&'a str],
}

/// All that is decided under one lease at a time.
struct LeaseDecisions {
    lease: &'static str,
    term: Option<Term>,
    decisions: Vec<Decision>,
}

impl LeaseDecisions {
    fn under<'a>(
        lease: &'static str,
        inputs: impl FnOnce(&'static str) -> DecisionInputs<'a>,
        decide: impl FnOnce(&DecisionInputs<'a>) -> Vec<Decision>,
    ) -> LeaseDecisions {
        let inputs = inputs(lease);
        LeaseDecisions { lease, term: inputs.term, decisions: decide(&inputs) }
    }
}

/// What a lease holder keeps while it holds a lease under one term.
pub(super) struct WhileHeld<T>(Option<HeldState<T>>);

struct HeldState<T> {
    term: Term,
    state: T,
}

impl<T> WhileHeld<T> {
    /// The state of a lease that is not held.
    pub(super) fn none() -> WhileHeld<T> {
        WhileHeld(None)
    }

    /// The state under this term, begun anew with each; nothing without a term.
    pub(super) fn under(&mut self, term: Option<Term>, begin: impl FnOnce() -> T) -> Option<&mut T> {
        if self.0.as_ref().map(|held| held.term) != term {
            self.0 = term.map(|term| HeldState { term, state: begin() });
        }
        self.get_mut()
    }

    /// The state, while the lease is held.
    pub(super) fn get(&self) -> Option<&T> {
        self.0.as_ref().map(|held| &held.state)
    }

    /// The state, while the lease is held.
    pub(super) fn get_mut(&mut self) -> Option<&mut T> {
        self.0.as_mut().map(|held| &mut held.state)
    }
}

impl Coordination {
    /// Tells all which leases this proxy holds; whether it does is asked before each.
    pub(super) fn announce_held_leases(&mut self, now: Micros, others: &[Rc<str>]) {
        let mut issued = Vec::new();
        for lease in &self.leases {
            let Some(term) = self.participant.may_act(now, lease) else { continue };
            let topic = Topic::new(lease, "");
            match self.directives.issue(now, topic, term, &self.own.name, LIFETIME, Vec::new()) {
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
                issued.extend(self.directives.issue(at.now, topic, term, &self.own.name, LIFETIME, body));
            }
        }
        self.forward(&issued, 0, others);
    }

    fn decisions(&mut self, at: CallTime, others: &[Rc<str>]) -> Vec<LeaseDecisions> {
        let Coordination { participant, directives, reports, own, .. } = self;
        let living: Vec<&str> = others.iter().map(|name| &**name).chain([&*own.name]).collect();
        let inputs = |lease: &'static str| DecisionInputs {
            at,
            term: participant.may_act(at.now, lease),
            reports,
            directives,
            living: &living,
        };
        let mut all = Vec::new();
        if let Some(work) = &mut self.zone_failover {
            all.push(LeaseDecisions::under(zone_failover::LEASE, inputs, |inputs| work.decide(inputs)));
        }
        if let Some(work) = &mut self.split_points {
            all.push(LeaseDecisions::under(split_points::LEASE, inputs, |inputs| work.decide(inputs)));
        }
        if let Some(work) = &mut self.site_drain {
            all.push(LeaseDecisions::under(site_drain::LEASE, inputs, |inputs| work.decide(inputs)));
        }
        all
    }

    /// What this proxy's dispatcher observed, to be reported.
    pub fn observed(&mut self, seen: ObservationSummary) {
        if let Some((topic, body)) = self.site_drain.as_mut().map(|work| work.report(&seen)) {
            self.reporter.put(topic, body);
        }
        let split_points = self.split_points.as_ref().map(|work| work.report(&seen));
        let zones = self.zone_failover.as_ref().map(|work| work.report(seen));
        for (topic, body) in split_points.into_iter().chain(zones).flatten() {
            self.reporter.put(topic, body);
        }
    }

    /// How much of this proxy's own zone's reads is to go elsewhere, by group, if that has changed.
    pub fn zone_directives(&mut self, now: Micros) -> Option<Vec<(Group, Lean)>> {
        let directives = &self.directives;
        self.zone_failover.as_mut().and_then(|work| work.obey(now, directives))
    }

    /// The plans of the sites that drain, as this proxy is to act by them, if that has changed.
    pub fn drain_plans(&mut self, now: Micros) -> Option<Vec<Plan>> {
        let work = self.site_drain.as_mut()?;
        let obeyed = work.obey(now, &self.directives);
        for plan in obeyed.to_persist {
            self.persist(Record::Drain(plan));
        }
        obeyed.acting
    }

    /// The operator's file was read again.
    pub fn reconfigure(&mut self, now: Micros, config: Config) {
        if let Some(work) = &mut self.site_drain {
            work.reconfigure(&config.site_drain);
        }
        if let Some(work) = &mut self.split_points {
            work.reconfigure(now, &config.cuts);
        }
    }
}
