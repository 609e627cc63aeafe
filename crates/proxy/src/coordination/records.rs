//! Records in the data directory that coordination needs after a restart: granted and accepted terms, and the plans
//! of draining sites. Tracks which of them are on disk.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use aldermill_leases::Term;
use aldermill_site_drain::Plan;
use aldermill_store::Batch;
use aldermill_warm_start::namespace;
use tokio::sync::mpsc;

use crate::persistence::DataDirectory;

/// Maximum number of writes in flight, which is also the capacity of the channel for their outcomes.
pub(super) const MAX_IN_FLIGHT: usize = 256;

/// A record to write to the data directory.
#[derive(Clone, PartialEq)]
pub(super) enum Record {
    /// This voter granted the lease under this term. The vote is sent once the record is on disk.
    Granted { lease: String, term: Term },
    /// This proxy accepted a directive under this term, or acquired the lease under it.
    Accepted { lease: String, term: Term },
    /// The plan of a draining site. This proxy reports that it follows the plan once the record is on disk.
    Drain(Plan),
}

/// Writes records and tracks which of them are on disk.
pub(super) struct Records {
    directory: Rc<DataDirectory>,
    write_outcomes: mpsc::Sender<bool>,
    /// Records whose writes have no outcome yet, the oldest first. The outcomes arrive in the same order.
    pub(super) in_flight: VecDeque<Record>,
    /// Highest accepted term of each lease, unless it is known to be on disk.
    pub(super) unconfirmed_terms: BTreeMap<String, Term>,
    /// Whether the state that an earlier run stored has not been taken yet.
    is_unread: bool,
}

/// The state that an earlier run stored.
pub(super) struct StoredState {
    /// Highest granted term of each lease.
    pub(super) granted_terms: Vec<(String, Term)>,
    /// Highest accepted term of each lease.
    pub(super) accepted_terms: BTreeMap<String, Term>,
    /// Plans of draining sites.
    pub(super) drain_plans: Vec<Plan>,
}

impl Records {
    /// Creates the records of a data directory. Whether each write succeeded is sent to `write_outcomes`.
    pub(super) fn start(directory: Rc<DataDirectory>, write_outcomes: mpsc::Sender<bool>) -> Records {
        Records {
            directory,
            write_outcomes,
            in_flight: VecDeque::new(),
            unconfirmed_terms: BTreeMap::new(),
            is_unread: true,
        }
    }

    /// Starts writing a record. Returns whether the data directory took the record.
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
        // The outcome of a further write would not fit into the channel and be lost. As each outcome applies to the
        // oldest record in flight, all later ones would then apply to the wrong records.
        let has_capacity = self.in_flight.len() < MAX_IN_FLIGHT;
        let is_accepted = has_capacity && self.directory.write(batch, &self.write_outcomes);
        if is_accepted {
            self.in_flight.push_back(record.clone());
        }
        is_accepted
    }

    /// Takes the state that an earlier run stored. Returns `None` until the data directory can be read, and after the
    /// state has been taken.
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
