//! The records that coordination keeps over a restart, and which of them the disk has: terms that were granted and accepted,
//! and the plans of draining sites.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use aldermill_leases::Term;
use aldermill_site_drain::Plan;
use aldermill_store::Batch;
use aldermill_warm_start::namespace;
use tokio::sync::mpsc;

use crate::persistence::DataDirectory;

/// Writes that may wait for the disk at once: the confirmations that the channel holds.
pub(super) const MAX_IN_FLIGHT: usize = 256;

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
    directory: Rc<DataDirectory>,
    write_outcomes: mpsc::Sender<bool>,
    /// What was handed to the disk, the oldest first: that is the order of the confirmations.
    pub(super) in_flight: VecDeque<Record>,
    /// The highest accepted terms, by lease, that are not known to be on the disk.
    pub(super) unconfirmed_terms: BTreeMap<String, Term>,
    /// What an earlier start stored is not known yet.
    is_unread: bool,
}

/// What an earlier start stored.
pub(super) struct StoredState {
    /// The highest granted term, by lease.
    pub(super) granted_terms: Vec<(String, Term)>,
    /// The highest accepted term, by lease.
    pub(super) accepted_terms: BTreeMap<String, Term>,
    /// The plans of draining sites.
    pub(super) drain_plans: Vec<Plan>,
}

impl Records {
    /// Records in this data directory; the outcome of each write goes to the channel.
    pub(super) fn start(directory: Rc<DataDirectory>, write_outcomes: mpsc::Sender<bool>) -> Records {
        Records {
            directory,
            write_outcomes,
            in_flight: VecDeque::new(),
            unconfirmed_terms: BTreeMap::new(),
            is_unread: true,
        }
    }

    /// Hands a record to the disk; says whether it was taken.
    pub(super) fn write(&mut self, record: &Record) -> bool {
        let mut batch = Batch::default();
        match record {
            Record::Granted { lease, term } => {
                batch.put(namespace::GRANTED_TERMS, lease.as_bytes(), &term.to_be_bytes(), None);
            }
            Record::Accepted { lease, term } => {
                batch.put(namespace::ACCEPTED_TERMS, lease.as_bytes(), &term.to_be_bytes(), None);
            }
            Record::Drain(plan) => {
                batch.put(namespace::SITE_DRAINS, plan.command.site.as_bytes(), &plan.encode(), None);
            }
        }
        // One more could not be confirmed, and each confirmation counts for the oldest.
        let has_capacity = self.in_flight.len() < MAX_IN_FLIGHT;
        let is_accepted = has_capacity && self.directory.write(batch, &self.write_outcomes);
        if is_accepted {
            self.in_flight.push_back(record.clone());
        }
        is_accepted
    }

    /// What an earlier start stored: once, as soon as the directory can be read, and nothing before.
    pub(super) fn take_stored(&mut self) -> Option<StoredState> {
        if !self.is_unread || self.directory.records().is_none() {
            return None;
        }
        self.is_unread = false;
        Some(StoredState {
            granted_terms: self.terms(namespace::GRANTED_TERMS),
            accepted_terms: self.terms(namespace::ACCEPTED_TERMS).into_iter().collect(),
            drain_plans: self.drain_plans(),
        })
    }

    fn terms(&self, wanted_namespace: u32) -> Vec<(String, Term)> {
        let records = self.directory.records().into_iter().flatten();
        let matching = records.filter(|record| record.namespace == wanted_namespace);
        matching.filter_map(|record| decode_term(&record.key, &record.value)).collect()
    }

    fn drain_plans(&self) -> Vec<Plan> {
        let records = self.directory.records().into_iter().flatten();
        let plans = records.filter(|record| record.namespace == namespace::SITE_DRAINS);
        plans.filter_map(|record| Plan::decode(&record.value).ok()).collect()
    }
}

fn decode_term(key: &[u8], value: &[u8]) -> Option<(String, Term)> {
    let lease = String::from_utf8(key.to_vec()).ok()?;
    Some((lease, Term::from_be_bytes(value.try_into().ok()?)))
}
