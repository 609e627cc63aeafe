//! Carries out the faults of a plan at their times.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::sleep;

use crate::cable::{BACK, Line, THERE};
use crate::discovery::Discovery;
use crate::drivers::Drivers;
use crate::front::Front;
use crate::history::{Event, Told};
use crate::member::Member;
use crate::plan::{Agent, Between, Fault, Folder, Known, Way, What};
use crate::world::World;

/// Everything that can be done something to.
pub struct Stage {
    pub world: Rc<World>,
    pub members: Vec<Rc<Member>>,
    pub discovery: Rc<Discovery>,
    pub drivers: Rc<Drivers>,
    pub front: Rc<Front>,
    /// By driver, its lines to members, to discovery, and from clients.
    pub to_members: Vec<Vec<Rc<Line>>>,
    pub to_lists: Vec<Rc<Line>>,
    pub from_clients: Vec<Rc<Line>>,
    /// Between two drivers, the first of them being the one with the lower number.
    pub fellows: HashMap<(usize, usize), Rc<Line>>,
    /// Between two gateways, the first of them being the one that opens the link.
    pub links: HashMap<(usize, usize), Rc<Line>>,
}

pub(crate) fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

impl Stage {
    /// All faults, from now on; ends when the last is over.
    pub async fn play(self: Rc<Stage>, seed: u64) {
        let mut under_way = JoinSet::new();
        for (at, fault) in self.world.plan.faults.iter().cloned().enumerate() {
            let (stage, rng) = (self.clone(), Pcg64Mcg::seed_from_u64(seed.wrapping_add(at as u64 + 1)));
            under_way.spawn_local(async move { stage.fault(fault, rng).await });
        }
        while under_way.join_next().await.is_some() {}
        self.world.note(Event::Calm);
    }

    async fn fault(self: Rc<Stage>, fault: Fault, mut rng: Pcg64Mcg) {
        sleep(millis(fault.at_ms)).await;
        let text = serde_json::to_string(&fault.what).unwrap_or_default();
        self.world.note(Event::Fault { text });
        let drivers: Vec<usize> = (0..self.drivers.len()).collect();
        let some = |share: f64, of: &[usize], rng: &mut Pcg64Mcg| -> Vec<usize> {
            let count = ((share * of.len() as f64).round() as usize).max(1);
            of.choose_multiple(rng, count).copied().collect()
        };
        match fault.what {
            What::Stop { share, for_ms, times, every_ms } => {
                let struck = some(share, &drivers, &mut rng);
                for turn in 0..times {
                    if turn > 0 {
                        sleep(millis(every_ms)).await;
                    }
                    self.signal(&struck, Signal::STOP);
                    sleep(millis(for_ms)).await;
                    self.signal(&struck, Signal::CONT);
                }
            }
            What::Kill { share, down_ms, folder, known } => {
                let struck = some(share, &drivers, &mut rng);
                self.signal(&struck, Signal::KILL);
                let struck = self.starts(struck);
                sleep(millis(down_ms)).await;
                self.start_again(struck, folder, known).await;
            }
            What::Terminate { share, down_ms, kill_after_ms } => {
                let struck = some(share, &drivers, &mut rng);
                self.signal(&struck, Signal::TERM);
                let struck = self.starts(struck);
                if let Some(after) = kill_after_ms {
                    let (stage, struck) = (self.clone(), struck.clone());
                    spawn_local(async move { stage.kill_late(&struck, after).await });
                }
                // For a while clients still come.
                sleep(millis(300)).await;
                let same = struck.iter().filter(|&&(driver, start)| self.drivers.starts(driver) == start);
                same.for_each(|&(driver, _)| self.front.dismiss(driver));
                sleep(millis(down_ms)).await;
                self.start_again(struck, Folder::AsLeft, Known::AtStart).await;
            }
            What::Descriptors { share, spare, for_ms } => {
                self.starve(&some(share, &drivers, &mut rng), spare, for_ms).await;
            }
            What::MoveList { share } => {
                for driver in some(share, &drivers, &mut rng) {
                    if let Err(error) = self.move_list(driver).await {
                        eprintln!("list of n{driver}: {error}");
                    }
                }
            }
            What::Cut { between, share, way, for_ms } => {
                let lines = self.lines(between, some(share, &drivers, &mut rng));
                cut_off(lines, way, for_ms).await;
            }
            What::Hold { between, share, way, for_ms } => {
                let lines = self.lines(between, some(share, &drivers, &mut rng));
                let set = |held: bool| {
                    for (line, turned) in &lines {
                        let each = seen(way, *turned).each();
                        [THERE, BACK].into_iter().for_each(|at| line.hold(at, held && each[at]));
                    }
                };
                set(true);
                sleep(millis(for_ms)).await;
                set(false);
            }
            What::Delay { between, share, ms, jitter_ms, for_ms } => {
                let lines = self.lines(between, some(share, &drivers, &mut rng));
                let set = |delay, jitter| {
                    for (line, _) in &lines {
                        line.delay.set(delay);
                        line.jitter.set(jitter);
                    }
                };
                set(millis(ms), millis(jitter_ms));
                sleep(millis(for_ms)).await;
                set(Duration::ZERO, Duration::ZERO);
            }
            What::CutAt { between, share, way, bytes } => {
                for (line, _) in self.lines(between, some(share, &drivers, &mut rng)) {
                    line.cut_after(if way == Way::Back { BACK } else { THERE }, bytes);
                }
            }
            What::HalfOpen { between, share, for_ms } => {
                let lines = self.lines(between, some(share, &drivers, &mut rng));
                lines.iter().for_each(|(line, _)| line.half_open());
                sleep(millis(for_ms)).await;
            }
            What::MovePrimary { group, election_ms } => {
                let before = self.world.groups[group].primary.get();
                self.world.lose_primary(group);
                sleep(millis(election_ms)).await;
                self.elect(group, before, &mut rng);
            }
            What::KillMembers { share, down_ms } => {
                let all: Vec<usize> = (0..self.members.len()).collect();
                let struck = some(share, &all, &mut rng);
                self.kill_members(struck, down_ms, &mut rng).await;
            }
            What::HangMembers { share, for_ms } => {
                let all: Vec<usize> = (0..self.members.len()).collect();
                let struck = some(share, &all, &mut rng);
                struck.iter().for_each(|&member| self.members[member].hang(true));
                sleep(millis(for_ms)).await;
                struck.iter().for_each(|&member| self.members[member].hang(false));
            }
            What::Drain { group, gone_ms } => {
                let of = (0..self.members.len()).rev().filter(|&member| self.world.group_of(member) == group);
                let replica = of.filter(|&member| !self.world.is_primary(member)).max();
                if let Some(member) = replica {
                    self.discovery.tell(member, Told::Draining);
                    sleep(millis(gone_ms)).await;
                    self.discovery.tell(member, Told::Gone);
                }
            }
            What::Holder { duty, how, for_ms } => self.strike(&duty, how, for_ms).await,
            What::ZoneLost { zone, for_ms } => self.lose_zone(zone, for_ms, &mut rng).await,
            What::ZoneCut { zone, for_ms } => self.cut_zone(zone, for_ms).await,
            What::ZoneFar { zone, share, ms, for_ms } => {
                let lines = self.lines_to_zone(zone, &some(share, &drivers, &mut rng));
                lines.iter().for_each(|line| line.delay.set(millis(ms)));
                sleep(millis(for_ms)).await;
                lines.iter().for_each(|line| line.delay.set(Duration::ZERO));
            }
            What::Retire { site, order, by_s } => self.retire(site, order, by_s),
            What::SiteDown { site, down_ms } => {
                let of = |driver: &usize| self.world.site_of_driver(*driver) == site;
                let struck: Vec<usize> = drivers.into_iter().filter(of).collect();
                self.signal(&struck, Signal::KILL);
                let struck = self.starts(struck);
                sleep(millis(down_ms)).await;
                self.start_again(struck, Folder::AsLeft, Known::AtStart).await;
            }
            What::SiteCut { site, for_ms } => {
                let of = |driver: usize| self.world.site_of_driver(driver) == site;
                let lines = self.links.iter().filter(|((from, to), _)| of(*from) != of(*to));
                cut_off(lines.map(|(_, line)| (line.clone(), false)).collect(), Way::Both, for_ms).await;
            }
            What::List { how, for_ms } => {
                self.discovery.be(how);
                sleep(millis(for_ms)).await;
                self.discovery.be(Agent::Well);
            }
        }
    }

    pub(crate) fn signal(&self, drivers: &[usize], signal: Signal) {
        for &driver in drivers {
            // One that has ended meanwhile needs none.
            let _ = self.drivers.signal(driver, signal);
        }
    }

    /// Which start of each a fault strikes.
    pub(crate) fn starts(&self, drivers: Vec<usize>) -> Vec<(usize, u64)> {
        drivers.into_iter().map(|driver| (driver, self.drivers.starts(driver))).collect()
    }

    /// Starts them once they have ended, but for those that another fault has started meanwhile.
    pub(crate) async fn start_again(&self, struck: Vec<(usize, u64)>, folder: Folder, known: Known) {
        for &(driver, start) in &struck {
            self.drivers.ended(driver, start).await;
            if self.drivers.starts(driver) == start
                && let Err(error) = self.drivers.change_folder(driver, folder)
            {
                eprintln!("folder of n{driver}: {error}");
            }
        }
        for (driver, start) in struck {
            if self.drivers.starts(driver) == start
                && let Err(error) = self.drivers.start(driver, known)
            {
                eprintln!("start of n{driver}: {error}");
            }
            self.front.expect(driver);
            // Starting a process takes this one a while, and what happens meanwhile is noted when it happens.
            tokio::task::yield_now().await;
        }
    }

    async fn move_list(&self, driver: usize) -> std::io::Result<()> {
        let agent = self.discovery.start(driver).await?;
        self.drivers.moves(driver, self.to_lists[driver].stream(agent).await?)
    }

    /// Another member that is up becomes primary, if there is one.
    pub(crate) fn elect(&self, group: usize, before: Option<usize>, rng: &mut Pcg64Mcg) {
        let of = (0..self.members.len()).filter(|&member| self.world.group_of(member) == group);
        let may: Vec<usize> = of.filter(|&member| self.members[member].is_up()).collect();
        let other: Vec<usize> = may.iter().copied().filter(|&member| Some(member) != before).collect();
        let from = if other.is_empty() { &may } else { &other };
        let next = (!from.is_empty()).then(|| from[rng.random_range(0..from.len())]);
        self.world.groups[group].primary.set(next);
    }

    /// Lines of these drivers, and whether 'there' on one of them is from the other side.
    pub(crate) fn lines(&self, between: Between, drivers: Vec<usize>) -> Vec<(Rc<Line>, bool)> {
        let of = |lines: Vec<Rc<Line>>| lines.into_iter().map(|line| (line, false));
        let drivers = drivers.into_iter();
        match between {
            Between::DriversMembers => drivers.flat_map(|at| of(self.to_members[at].clone())).collect(),
            Between::DriversLists => drivers.flat_map(|at| of(vec![self.to_lists[at].clone()])).collect(),
            Between::ClientsDrivers => {
                drivers.flat_map(|at| of(vec![self.from_clients[at].clone()])).collect()
            }
            // Those between one that is struck and one that is not.
            Between::DriversDrivers => {
                let struck: Vec<usize> = drivers.collect();
                let ends = self
                    .fellows
                    .iter()
                    .map(|(&(low, high), line)| (struck.contains(&low), struck.contains(&high), line));
                ends.filter(|(low, high, _)| low != high).map(|(low, _, line)| (line.clone(), !low)).collect()
            }
        }
    }
}

/// Nothing comes through for so long, the way that is said; of each line whether that is seen from its other side.
pub(crate) async fn lose(lines: &[(Rc<Line>, bool)], way: Way, for_ms: u64) {
    let set = |lost| {
        for (line, turned) in lines {
            let each = seen(way, *turned).each();
            [THERE, BACK].into_iter().filter(|&at| each[at]).for_each(|at| line.lost[at].set(lost));
        }
    };
    set(true);
    sleep(millis(for_ms)).await;
    set(false);
}

/// The same; once the way is back, what had stood is found to be gone.
pub(crate) async fn cut_off(lines: Vec<(Rc<Line>, bool)>, way: Way, for_ms: u64) {
    lose(&lines, way, for_ms).await;
    lines.iter().for_each(|(line, _)| line.cut());
}

pub(crate) fn seen(way: Way, turned: bool) -> Way {
    if turned { way.turned() } else { way }
}
