//! What the council keeps over a restart: terms that were granted and taken, and what stands of sites that retire.
//!
//! Nothing is said before it is kept that a restart could forget. What the folder did not take is handed over again for
//! as long as it is needed; before the folder could be read, no vote is cast.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use aldermill_store::Batch;
use aldermill_warm::space;

use super::*;

/// Writes that may wait for the disk at once: as many words on them there can be.
pub(super) const UNDER_WAY: usize = 256;

/// Something that is to be kept.
#[derive(Clone, PartialEq)]
pub(super) enum Record {
    /// A duty was granted under this term; that is said once it is kept.
    Granted(String, Term),
    /// A decree under this term was taken.
    Decreed(String, Term),
    /// What this driver keeps to of a site; that is said once it is kept.
    Bound(Plan),
}

pub(super) struct Memory {
    folder: Rc<Folder>,
    told: mpsc::Sender<bool>,
    under_way: VecDeque<Record>,
    /// The highest terms that were taken and are not known to be kept.
    decreed: BTreeMap<String, Term>,
    /// What the folder held is not known yet.
    unread: bool,
}

impl Memory {
    pub(super) fn start(folder: Rc<Folder>, told: mpsc::Sender<bool>) -> Memory {
        Memory { folder, told, under_way: VecDeque::new(), decreed: BTreeMap::new(), unread: true }
    }

    /// Hands a record to the disk; whether it took it.
    fn write(&mut self, record: &Record) -> bool {
        let mut batch = Batch::default();
        match record {
            Record::Granted(duty, term) => {
                batch.put(space::GRANTED, duty.as_bytes(), &term.to_be_bytes(), None)
            }
            Record::Decreed(duty, term) => {
                batch.put(space::DECREED, duty.as_bytes(), &term.to_be_bytes(), None)
            }
            Record::Bound(plan) => batch.put(space::BOUND, plan.word.site.as_bytes(), &plan.encode(), None),
        }
        // One more could not be told of, and each word counts for the oldest.
        let taken = self.under_way.len() < UNDER_WAY && self.folder.write(batch, &self.told);
        if taken {
            self.under_way.push_back(record.clone());
        }
        taken
    }

    fn terms(&self, of: u32) -> Vec<(String, Term)> {
        let records = self.folder.records().into_iter().flatten().filter(|(space, ..)| *space == of);
        records.filter_map(|(_, key, value)| term(key, value)).collect()
    }

    fn plans(&self) -> Vec<Plan> {
        let records = self.folder.records().into_iter().flatten();
        let bound = records.filter(|(space, ..)| *space == space::BOUND);
        bound.filter_map(|(_, _, body)| Plan::decode(body).ok()).collect()
    }
}

fn term(key: &[u8], value: &[u8]) -> Option<(String, Term)> {
    Some((String::from_utf8(key.to_vec()).ok()?, Term::from_be_bytes(value.try_into().ok()?)))
}

impl Council {
    /// No vote before the folder is read, which may be at once.
    pub(super) fn begin_memory(&mut self, now: Micros) {
        if self.memory.is_some() {
            self.agreement.hold_back();
            self.read_memory(now);
        }
    }

    /// Takes in what an earlier start kept, once the folder can be read.
    pub(super) fn read_memory(&mut self, now: Micros) {
        let Some(memory) = self.memory.as_mut().filter(|memory| memory.unread) else { return };
        if memory.folder.records().is_none() {
            return;
        }
        memory.unread = false;
        self.agreement.read(memory.terms(space::GRANTED));
        let decreed: BTreeMap<String, Term> = memory.terms(space::DECREED).into_iter().collect();
        // What was taken meanwhile must not replace a higher term.
        memory.decreed.retain(|duty, term| decreed.get(duty).is_none_or(|kept| kept < term));
        self.book.read(decreed.iter().map(|(duty, term)| (About::new(duty, ""), (*term, 0))));
        if let Some(leaving) = &mut self.leaving {
            leaving.read(now, memory.plans());
        }
    }

    pub(super) fn keep(&mut self, record: Record) {
        let Some(memory) = &mut self.memory else { return };
        if let Record::Decreed(duty, term) = &record {
            let highest = memory.decreed.entry(duty.clone()).or_default();
            *highest = (*highest).max(*term);
        }
        if !memory.write(&record) {
            self.not_kept(record);
        }
    }

    /// Hands over again what the folder did not take.
    pub(super) fn keep_again(&mut self) {
        let Some(memory) = &mut self.memory else { return };
        for (duty, term) in memory.decreed.clone() {
            let record = Record::Decreed(duty, term);
            if !memory.under_way.contains(&record) {
                memory.write(&record);
            }
        }
    }

    /// The oldest write was confirmed, or was not.
    pub fn told(&mut self, at: Moment, well: bool, others: &[Rc<str>]) {
        self.read_memory(at.now);
        let Some(memory) = &mut self.memory else { return };
        let Some(record) = memory.under_way.pop_front() else { return };
        if !well {
            return self.not_kept(record);
        }
        match record {
            Record::Granted(duty, term) => {
                let todo = self.agreement.kept(at.now, at.wall, &duty, term);
                self.carry_out(at, todo, others);
            }
            Record::Decreed(duty, term) => {
                memory.decreed.retain(|of, highest| *of != duty || *highest > term);
            }
            Record::Bound(plan) => self.leaving.iter_mut().for_each(|leaving| leaving.kept(&plan)),
        }
    }

    fn not_kept(&mut self, record: Record) {
        match record {
            Record::Granted(duty, term) => {
                warn!(self.log, "a term is not kept, so no vote is given"; "duty" => &duty, "term" => term);
                self.agreement.not_kept();
            }
            // Handed over again with the next work.
            Record::Decreed(..) => {}
            Record::Bound(plan) => self.leaving.iter_mut().for_each(|leaving| leaving.not_kept(&plan)),
        }
    }
}
