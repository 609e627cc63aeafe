//! What truly is: who is primary, and what the models have counted.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::{Instant, sleep};

use super::{Answers, Day};

/// The first write of a group at a process, and when one first reached the primary.
struct Search {
    began: Instant,
    found: Option<Duration>,
}

pub struct Ground {
    pub day: Day,
    pub rng: RefCell<Pcg64Mcg>,
    /// By group, the member that is primary.
    primaries: RefCell<Vec<usize>>,
    /// How often primaries have moved.
    round: Cell<usize>,
    /// By round, process and group.
    searches: RefCell<BTreeMap<(usize, usize, usize), Search>>,
    pub connections: Cell<u64>,
    pub probes: Cell<u64>,
    pub misses: Cell<u64>,
    pub writes: Cell<Answers>,
    pub reads: Cell<Answers>,
}

pub fn count(of: &Cell<u64>) {
    of.set(of.get() + 1);
}

impl Ground {
    pub fn new(day: &Day) -> Rc<Ground> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed);
        let size = day.members / day.groups;
        // Anywhere among the names of its group.
        let primaries = (0..day.groups).map(|group| group * size + rng.random_range(0..size)).collect();
        Rc::new(Ground {
            day: day.clone(),
            rng: RefCell::new(rng),
            primaries: RefCell::new(primaries),
            round: Cell::default(),
            searches: RefCell::default(),
            connections: Cell::default(),
            probes: Cell::default(),
            misses: Cell::default(),
            writes: Cell::default(),
            reads: Cell::default(),
        })
    }

    fn group_size(&self) -> usize {
        self.day.members / self.day.groups
    }

    pub fn group_of(&self, member: usize) -> usize {
        member / self.group_size()
    }

    pub fn is_primary(&self, member: usize) -> bool {
        self.primaries.borrow()[self.group_of(member)] == member
    }

    /// Moves each primary once, where the day has that.
    pub async fn fail_over(self: Rc<Ground>) {
        let Some(after) = self.day.failover else { return };
        sleep(after).await;
        let size = self.group_size();
        for (group, primary) in self.primaries.borrow_mut().iter_mut().enumerate() {
            let further = self.rng.borrow_mut().random_range(1..size.max(2));
            *primary = group * size + (*primary - group * size + further) % size;
        }
        self.round.set(1);
    }

    pub fn write_asked(&self, process: usize, group: usize) {
        let key = (self.round.get(), process, group);
        let search = || Search { began: Instant::now(), found: None };
        self.searches.borrow_mut().entry(key).or_insert_with(search);
    }

    /// A write reached the primary of its group.
    pub fn write_ran(&self, process: usize, group: usize) {
        if let Some(search) = self.searches.borrow_mut().get_mut(&(self.round.get(), process, group)) {
            search.found.get_or_insert(search.began.elapsed());
        }
    }

    /// How long each search of a round took, those that found nothing last.
    pub fn found(&self, round: usize) -> Vec<Option<Duration>> {
        let searches = self.searches.borrow();
        let of = searches.iter().filter(|((of, _, _), _)| *of == round);
        let mut found: Vec<_> = of.map(|(_, search)| search.found).collect();
        found.sort_by_key(|found| found.unwrap_or(Duration::MAX));
        found
    }

    /// Pairs of a process and a group that it was asked to write to.
    pub fn written_groups(&self) -> usize {
        let searches = self.searches.borrow();
        let pairs: std::collections::BTreeSet<_> =
            searches.keys().map(|&(_, process, group)| (process, group)).collect();
        pairs.len()
    }
}
