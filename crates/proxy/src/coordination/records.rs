//! What coordination keeps over a restart: terms that were granted and accepted, and the plans of sites that drain.
//!
//! Nothing is said before it is on the disk that a restart could forget. What the folder did not take is handed over again
//! as long as it is needed; before the folder could be read, no vote is cast.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use aldermill_directives::{Micros, Topic, Version};
use aldermill_leases::Term;
use aldermill_site_drain::Plan;
use aldermill_store::Batch;
use aldermill_warm_start::namespace;
use slog::warn;
use tokio::sync::mpsc;

use super::{CallTime, Coordination};
use crate::persistence::DataDirectory;

/// Writes that may wait for the disk at once: the confirmations that the channel holds.
pub(super) const MOST_IN_FLIGHT: usize = 256;

/// Something that is to be on the disk.
#[derive(Clone, PartialEq)]
pub(super) enum Record {
    /// This voter granted a lease under this term; the vote is sent once the record is on the disk.
    Granted { lease: String, term: Term },
    /// A directive under this term was accepted, or the lease was acquired under it.
    Accepted { lease: String, term: Term },
    /// The plan of a site that drains; this proxy reports that it obeys it once the record is on the disk.
    Drain(Plan),
}

/// The records, and which of them the disk has.
pub(super) struct Records {
    folder: Rc<DataDirectory>,
    confirmations: mpsc::Sender<bool>,
    /// What was handed over, the oldest first: that is the order of the confirmations.
    in_flight: VecDeque<Record>,
    /// The highest accepted terms, by lease, that are not known to be on the disk.
    unconfirmed_terms: BTreeMap<String, Term>,
    /// What the folder held is not known yet.
    unread: bool,
}

impl Records {
    /// Records in this folder; each write to it is confirmed on the channel.
    pub(super) fn start(folder: Rc<DataDirectory>, confirmations: mpsc::Sender<bool>) -> Records {
        Records {
            folder,
            confirmations,
            in_flight: VecDeque::new(),
            unconfirmed_terms: BTreeMap::new(),
            unread: true,
        }
    }

    /// Hands a record to the disk; whether it was taken.
    fn write(&mut self, record: &Record) -> bool {
        let mut batch = Batch::default();
        match record {
            Record::Granted { lease, term } => {
                batch.put(namespace::GRANTED_TERMS, lease.as_bytes(), &term.to_be_bytes(), None);
            }
            Record::Accepted { lease, term } => {
                batch.put(namespace::ACCEPTED_TERMS, lease.as_bytes(), &term.to_be_bytes(), None);
            }
            Record::Drain(plan) => {
                batch.put(namespace::SITE_DRAINS, plan.command.site.as_bytes(), &plan.encode(), None)
            }
        }
        // One more could not be confirmed, and each confirmation counts for the oldest.
        let has_room = self.in_flight.len() < MOST_IN_FLIGHT;
        let taken = has_room && self.folder.write(batch, &self.confirmations);
        if taken {
            self.in_flight.push_back(record.clone());
        }
        taken
    }

    fn terms(&self, wanted: u32) -> Vec<(String, Term)> {
        let records = self.folder.records().into_iter().flatten();
        let wanted = records.filter(|record| record.namespace == wanted);
        wanted.filter_map(|record| decode_term(&record.key, &record.value)).collect()
    }

    fn plans(&self) -> Vec<Plan> {
        let records = self.folder.records().into_iter().flatten();
        let plans = records.filter(|record| record.namespace == namespace::SITE_DRAINS);
        plans.filter_map(|record| Plan::decode(&record.value).ok()).collect()
    }
}

fn decode_term(key: &[u8], value: &[u8]) -> Option<(String, Term)> {
    let lease = String::from_utf8(key.to_vec()).ok()?;
    Some((lease, Term::from_be_bytes(value.try_into().ok()?)))
}

impl Coordination {
    /// No vote is cast before the folder is read, which may be at once.
    pub(super) fn withhold_votes_until_read(&mut self, now: Micros) {
        if self.records.is_some() {
            self.participant.withhold_votes();
            self.read_records(now);
        }
    }

    /// Takes in what an earlier start kept, once the folder can be read.
    pub(super) fn read_records(&mut self, now: Micros) {
        let Some(records) = self.records.as_mut().filter(|records| records.unread) else { return };
        if records.folder.records().is_none() {
            return;
        }
        records.unread = false;
        self.participant.restore(records.terms(namespace::GRANTED_TERMS));
        let accepted: BTreeMap<String, Term> = records.terms(namespace::ACCEPTED_TERMS).into_iter().collect();
        // What was accepted meanwhile must not replace a higher term.
        records.unconfirmed_terms.retain(|lease, term| accepted.get(lease).is_none_or(|kept| kept < term));
        let lowest =
            |(lease, term): (&String, &Term)| (Topic::new(lease, ""), Version { term: *term, number: 0 });
        self.directives.restore(accepted.iter().map(lowest));
        if let Some(site_drain) = &mut self.site_drain {
            site_drain.restore(now, records.plans());
        }
    }

    /// Hands a record to the disk, where there is a folder.
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

    /// Hands over again what the folder did not take.
    pub(super) fn persist_again(&mut self) {
        let Some(records) = &mut self.records else { return };
        for (lease, term) in records.unconfirmed_terms.clone() {
            let record = Record::Accepted { lease, term };
            if !records.in_flight.contains(&record) {
                records.write(&record);
            }
        }
    }

    /// The oldest write in flight is on the disk, or failed.
    pub fn write_confirmed(&mut self, at: CallTime, succeeded: bool, others: &[Rc<str>]) {
        self.read_records(at.now);
        let Some(records) = &mut self.records else { return };
        let Some(record) = records.in_flight.pop_front() else { return };
        if !succeeded {
            return self.not_persisted(record);
        }
        match record {
            Record::Granted { lease, term } => {
                let actions = self.participant.persisted(at.now, at.wall, &lease, term);
                self.carry_out(at, actions, others);
            }
            Record::Accepted { lease, term } => {
                records.unconfirmed_terms.retain(|of, highest| *of != lease || *highest > term);
            }
            Record::Drain(plan) => {
                if let Some(site_drain) = &mut self.site_drain {
                    site_drain.persisted(&plan);
                }
            }
        }
    }

    fn not_persisted(&mut self, record: Record) {
        match record {
            Record::Granted { lease, term } => {
                warn!(self.log, "lease term not persisted, vote withheld"; "lease" => lease, "term" => term);
                self.participant.not_persisted();
            }
            // Handed over again with the next decisions.
            Record::Accepted { .. } => {}
            Record::Drain(plan) => {
                if let Some(site_drain) = &mut self.site_drain {
                    site_drain.not_persisted(&plan);
                }
            }
        }
    }
}
