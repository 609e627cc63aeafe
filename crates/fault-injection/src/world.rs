//! The groups as they truly are: who is primary, how far replicas are, who is cold; and the numbers of a run.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::history::{At, Event, History};
use crate::plan::Plan;
use crate::terms;

pub struct World {
    pub plan: Plan,
    pub history: History,
    pub groups: Vec<Group>,
    pub rng: RefCell<Pcg64Mcg>,
    /// When the last served write of a session took effect, by session and group.
    pub wrote: RefCell<HashMap<(usize, usize), At>>,
}

/// A group's log: the primary's data is of now, a replica's older by its lag, and all of them stand still without one.
pub struct Group {
    pub primary: Cell<Option<usize>>,
    frozen: Cell<At>,
}

impl World {
    pub fn new(plan: Plan, seed: u64) -> Rc<World> {
        let groups = 0..plan.groups;
        let members = plan.members;
        let groups =
            groups.map(|group| Group { primary: Cell::new(Some(group * members)), frozen: Cell::new(0) });
        Rc::new(World {
            groups: groups.collect(),
            history: History::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            wrote: RefCell::default(),
            plan,
        })
    }

    pub fn members(&self) -> usize {
        self.plan.groups * self.plan.members
    }

    pub fn zone_of_member(&self, member: usize) -> usize {
        member % self.plan.members % self.plan.zones
    }

    pub fn zone_of_driver(&self, driver: usize) -> usize {
        driver % self.plan.zones
    }

    pub fn site_of_member(&self, member: usize) -> usize {
        member % self.plan.members % self.plan.sites
    }

    pub fn site_of_driver(&self, driver: usize) -> usize {
        driver % self.plan.sites
    }

    pub fn group_of(&self, member: usize) -> usize {
        member / self.plan.members
    }

    pub fn note(&self, event: Event) {
        self.history.note(event);
    }

    pub fn now(&self) -> At {
        self.history.now()
    }

    pub fn is_primary(&self, member: usize) -> bool {
        self.groups[self.group_of(member)].primary.get() == Some(member)
    }

    /// Up to when a member has all commits, in microseconds of the run.
    pub fn position(&self, member: usize) -> At {
        let group = &self.groups[self.group_of(member)];
        let lag = self.plan.bearing.lag_ms as At * 1000;
        match group.primary.get() {
            Some(primary) if primary == member => self.now(),
            Some(_) => (self.now() - lag).max(group.frozen.get() - lag),
            None => group.frozen.get() - lag,
        }
    }

    pub fn lose_primary(&self, group: usize) {
        if self.groups[group].primary.take().is_some() {
            self.groups[group].frozen.set(self.now());
        }
    }

    /// What a member may be sent in one window of the rule on cold ones, in milliseconds of work.
    pub fn bears_cold(&self, age: At) -> f64 {
        let warm = self.plan.bearing.warm_ms as At * 1000;
        let part = terms::COLD_FROM + (1.0 - terms::COLD_FROM) * (age as f64 / warm as f64).min(1.0);
        terms::OVERLOAD_FACTOR * part * self.plan.bearing.workers as f64 * terms::FALL_MS as f64
    }
}
