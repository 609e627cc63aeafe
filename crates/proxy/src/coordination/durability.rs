//! Persistence of the state of coordination that must survive a restart.
//!
//! Votes and reports on followed plans are sent only once the state that they depend on is on disk. Accepted terms
//! and drain plans that the data directory did not take are written again for as long as they are needed. No vote is
//! cast before the directory has been read.

use std::rc::Rc;

use aldermill_directives::{Micros, Topic, Version};
use aldermill_leases::Term;
use slog::warn;

use super::Coordination;
use super::interface::CallTime;
use super::records::Record;

impl Coordination {
    /// Withholds votes until the data directory has been read, which may already be the case.
    pub(super) fn withhold_votes_until_read(&mut self, now: Micros) {
        if self.records.is_some() {
            self.participant.withhold_votes();
            self.load_stored_state(now);
        }
    }

    /// Restores the state that an earlier run stored, once the data directory can be read. Does nothing before that,
    /// or if the state has been restored.
    pub(super) fn load_stored_state(&mut self, now: Micros) {
        let Some(records) = &mut self.records else { return };
        let Some(stored) = records.take_stored() else { return };
        self.participant.restore(stored.granted_terms);
        let accepted = stored.accepted_terms;
        // A term that was accepted in the meantime must not replace a higher stored one.
        let is_higher =
            |lease: &String, term: &mut Term| accepted.get(lease).is_none_or(|stored| stored < term);
        records.unconfirmed_terms.retain(is_higher);
        let lowest =
            |(lease, term): (&String, &Term)| (Topic::new(lease, ""), Version { term: *term, number: 0 });
        self.directives.restore(accepted.iter().map(lowest));
        if let Some(site_drain) = &mut self.controllers.site_drain {
            site_drain.restore(now, stored.drain_plans);
        }
    }

    /// Writes a record to the data directory, if there is one.
    pub(super) fn persist(&mut self, record: Record) {
        let Some(records) = &mut self.records else { return };
        if let Record::Accepted { lease, term } = &record {
            let highest = records.unconfirmed_terms.entry(lease.clone()).or_default();
            *highest = (*highest).max(*term);
        }
        if !records.write(&record) {
            self.not_persisted(record);
        }
    }

    /// Writes again the accepted terms that are neither confirmed nor in flight.
    pub(super) fn persist_unconfirmed_terms(&mut self) {
        let Some(records) = &mut self.records else { return };
        for (lease, term) in records.unconfirmed_terms.clone() {
            let record = Record::Accepted { lease, term };
            if !records.in_flight.contains(&record) {
                records.write(&record);
            }
        }
    }

    /// Handles the outcome of the oldest write in flight: `succeeded` is whether it is on disk.
    pub fn write_finished(&mut self, at: CallTime, succeeded: bool, live_peers: &[Rc<str>]) {
        self.load_stored_state(at.now);
        let Some(records) = &mut self.records else { return };
        let Some(record) = records.in_flight.pop_front() else { return };
        if !succeeded {
            return self.not_persisted(record);
        }
        match record {
            Record::Granted { lease, term } => {
                let actions = self.participant.persisted(at.now, at.wall_clock_ms, &lease, term);
                self.apply_actions(at, actions, live_peers);
            }
            Record::Accepted { lease, term } => {
                records.unconfirmed_terms.retain(|of, highest| *of != lease || *highest > term);
            }
            Record::Drain(plan) => {
                if let Some(site_drain) = &mut self.controllers.site_drain {
                    site_drain.persisted(&plan);
                }
            }
        }
    }

    /// Handles a record that the data directory did not take or that could not be written.
    fn not_persisted(&mut self, record: Record) {
        match record {
            Record::Granted { lease, term } => {
                warn!(self.log, "lease term not persisted, vote withheld"; "lease" => lease, "term" => term);
                self.participant.not_persisted();
            }
            // Written again by `persist_unconfirmed_terms` once per decision interval.
            Record::Accepted { .. } => {}
            Record::Drain(plan) => {
                if let Some(site_drain) = &mut self.controllers.site_drain {
                    site_drain.not_persisted(&plan);
                }
            }
        }
    }
}
