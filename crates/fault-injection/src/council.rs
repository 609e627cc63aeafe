//! Faults that strike whole zones, or whoever holds a duty; and what drivers say of duties and decrees, asked ten times a second.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand_pcg::Pcg64Mcg;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::io::AsyncReadExt;
use tokio::net::UnixStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use crate::cable::Line;
use crate::drivers::{self, Drivers};
use crate::faults::{Stage, cut_off, lose, millis};
use crate::history::{Event, Told};
use crate::plan::{Between, Folder, Known as List, Order, Strike, Way};
use crate::world::World;

const EVERY: Duration = Duration::from_millis(100);

/// The highest that each driver said of each decree.
type Known = HashMap<(usize, String), (u64, u64)>;

/// Asks all drivers what they know, as long as the run lasts.
pub async fn watch(world: Rc<World>, drivers: Rc<Drivers>) {
    let known: Rc<RefCell<Known>> = Rc::default();
    loop {
        for driver in 0..drivers.len() {
            let (world, path, known) = (world.clone(), drivers.status(driver), known.clone());
            let started = drivers.starts(driver);
            let drivers = drivers.clone();
            spawn_local(async move {
                let asked = world.now();
                let said = async {
                    let mut stream = UnixStream::connect(path).await.ok()?;
                    let mut text = String::new();
                    stream.read_to_string(&mut text).await.ok()?;
                    serde_json::from_str::<Value>(&text).ok()
                };
                let Ok(Some(said)) = timeout(Duration::from_millis(90), said).await else { return };
                if drivers.starts(driver) != started {
                    return;
                }
                for duty in said["council"]["duties"].as_array().into_iter().flatten() {
                    if let (Some(name), Some(term)) = (duty["name"].as_str(), duty["holds"].as_u64()) {
                        world.note(Event::Holds { driver, duty: name.to_owned(), term, asked });
                    }
                }
                for decree in said["council"]["decrees"].as_array().into_iter().flatten() {
                    let text = |field: &str| decree[field].as_str().unwrap_or_default().to_owned();
                    let about = format!("{}/{}", text("duty"), text("subject"));
                    let place =
                        (decree["term"].as_u64().unwrap_or(0), decree["number"].as_u64().unwrap_or(0));
                    if known.borrow_mut().insert((driver, about.clone()), place) != Some(place) {
                        world.note(Event::Decreed { driver, about, place, says: text("says") });
                    }
                }
            });
        }
        sleep(EVERY).await;
    }
}

impl Stage {
    /// Who holds a duty, as it last said itself.
    pub(crate) fn holder(&self, duty: &str) -> Option<usize> {
        let last = |(_, event): &(_, Event)| match event {
            Event::Holds { driver, duty: of, .. } if of == duty => Some(*driver),
            _ => None,
        };
        self.world.history.last_of(last)
    }

    /// The operator of the first driver of another site that is up says so.
    pub(crate) fn retire(&self, site: usize, order: Order, by_s: u64) {
        let drivers = 0..self.drivers.len();
        let Some(told) = drivers.rev().find(|&driver| self.world.site_of_driver(driver) != site) else {
            return;
        };
        let number = self.world.now() / 1000 + 1;
        let by = aldermill_test_support::unix_millis() as u64 / 1000 + by_s;
        let word = json!({"site": drivers::site(site), "number": number, "order": order, "by": by});
        if let Err(error) = self.drivers.retires(told, site, word) {
            eprintln!("operator of n{told}: {error}");
        }
    }

    pub(crate) async fn strike(&self, duty: &str, how: Strike, for_ms: u64) {
        let Some(holder) = self.holder(duty) else { return };
        self.world.note(Event::Fault { text: format!("n{holder} holds {duty}") });
        let way = match how {
            Strike::Kill | Strike::Terminate => {
                let term = how == Strike::Terminate;
                if term {
                    self.front.dismiss(holder);
                }
                self.signal(&[holder], if term { Signal::TERM } else { Signal::KILL });
                let struck = self.starts(vec![holder]);
                sleep(millis(for_ms)).await;
                return self.start_again(struck, Folder::AsLeft, List::AtStart).await;
            }
            Strike::Stop => {
                self.signal(&[holder], Signal::STOP);
                sleep(millis(for_ms)).await;
                return self.signal(&[holder], Signal::CONT);
            }
            Strike::CutThere => Way::There,
            Strike::CutBack => Way::Back,
            Strike::CutBoth => Way::Both,
        };
        let lines = self.lines(Between::DriversDrivers, vec![holder]);
        lose(&lines, way, for_ms).await;
    }

    /// Members die, primaries are elected anew, and those that died come back cold.
    pub(crate) async fn kill_members(&self, struck: Vec<usize>, down_ms: u64, rng: &mut Pcg64Mcg) {
        struck.iter().for_each(|&member| self.members[member].kill());
        let election = down_ms.clamp(300, 1_500);
        sleep(millis(election)).await;
        for group in 0..self.world.groups.len() {
            if self.world.groups[group].primary.get().is_none() {
                self.elect(group, None, rng);
            }
        }
        sleep(millis(down_ms.max(300) - election)).await;
        for member in struck {
            self.members[member].restart().await;
            self.discovery.tell(member, Told::Ready);
        }
    }

    pub(crate) async fn lose_zone(&self, zone: usize, for_ms: u64, rng: &mut Pcg64Mcg) {
        let of = (0..self.members.len()).filter(|&member| self.world.zone_of_member(member) == zone);
        self.kill_members(of.collect(), for_ms, rng).await;
    }

    /// The lines of those drivers to the members of a zone.
    pub(crate) fn lines_to_zone(&self, zone: usize, drivers: &[usize]) -> Vec<Rc<Line>> {
        let within = |member: &usize| self.world.zone_of_member(*member) == zone;
        let of = |&driver: &usize| {
            let members = (0..self.members.len()).filter(within);
            members.map(move |member| self.to_members[driver][member].clone())
        };
        drivers.iter().flat_map(of).collect()
    }

    pub(crate) async fn cut_zone(&self, zone: usize, for_ms: u64) {
        let side = |driver: usize| self.world.zone_of_driver(driver) == zone;
        let mut lines: Vec<Rc<Line>> = Vec::new();
        for (driver, to) in self.to_members.iter().enumerate() {
            let crosses = |member: &usize| (self.world.zone_of_member(*member) == zone) != side(driver);
            lines.extend((0..to.len()).filter(crosses).map(|member| to[member].clone()));
        }
        let between = self.fellows.iter().filter(|((low, high), _)| side(*low) != side(*high));
        lines.extend(between.map(|(_, line)| line.clone()));
        cut_off(lines.into_iter().map(|line| (line, false)).collect(), Way::Both, for_ms).await;
    }
}
