//! What happened at members, clients, discovery and processes, in its order.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Instant;

use serde::Serialize;

/// Microseconds from the start of the run.
pub type At = i64;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum How {
    Honoured,
    Denied,
    BrokenOff,
    /// Any other error.
    Wrong,
    /// The connection ended without a whole answer, after the statement was written.
    Lost,
    /// Nobody took the connection.
    Unreached,
    /// Nothing had come when the client left at its limit.
    Nothing,
    /// Something came behind the answer.
    Twice,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Told {
    Ready,
    Draining,
    Gone,
}

/// Tasks, members, drivers and tries are numbers.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A try of a client's task: `first` is when its first try was made, `after` when its session's last write
    /// took effect, where it must see that.
    Asked {
        id: u64,
        driver: usize,
        offering: usize,
        group: usize,
        wait: At,
        first: At,
        after: Option<At>,
    },
    /// The session that a try is of, where there are several sites.
    Bound {
        id: u64,
        session: usize,
    },
    Answered {
        id: u64,
        driver: usize,
        how: How,
    },
    /// A launch came whole to a member.
    Reached {
        id: u64,
        driver: usize,
        member: usize,
    },
    /// A member began it, its data being so old.
    Ran {
        id: u64,
        member: usize,
        age: At,
    },
    /// It is no longer there.
    Over {
        id: u64,
        driver: usize,
        member: usize,
    },
    Connected {
        driver: usize,
        member: usize,
    },
    Probed {
        driver: usize,
        member: usize,
    },
    Listed {
        driver: usize,
    },
    /// Its configuration names another place for the list, and it was told to read that.
    Moved {
        driver: usize,
    },
    /// Nobody was there when it asked for the list.
    Knocked {
        driver: usize,
    },
    /// Discovery has heard of a member, whoever is told.
    Learnt {
        member: usize,
        told: Told,
    },
    /// From now on discovery can be reached and says what it has, or not.
    Discovery {
        reached: bool,
    },
    Said {
        driver: usize,
        member: usize,
        told: Told,
    },
    Fell {
        member: usize,
    },
    Stood {
        driver: usize,
    },
    WentOn {
        driver: usize,
    },
    Killed {
        driver: usize,
    },
    /// It had been told to end, and had not when its time was over.
    KilledLate {
        driver: usize,
    },
    Ended {
        driver: usize,
        well: bool,
    },
    Started {
        driver: usize,
    },
    Fault {
        text: String,
    },
    /// A client asked for this key, where keys are not its session's.
    Keyed {
        group: usize,
        offering: usize,
        key: String,
    },
    /// A driver said that it holds a duty; it was asked at that time, and this is when it answered.
    Holds {
        driver: usize,
        duty: String,
        term: u64,
        asked: At,
    },
    /// The highest that a driver has taken of a decree.
    Decreed {
        driver: usize,
        about: String,
        place: (u64, u64),
        says: String,
    },
    /// All that was done is over.
    Calm,
    /// A driver's process was ready to run and was given no processor for so long, since it was last looked at.
    Unscheduled {
        driver: usize,
        by: At,
    },
    /// This process itself had no turn for so long.
    Late {
        by: At,
    },
}

pub struct History {
    start: Instant,
    events: RefCell<Vec<(At, Event)>>,
}

impl Default for History {
    fn default() -> History {
        History { start: Instant::now(), events: RefCell::default() }
    }
}

impl History {
    pub fn now(&self) -> At {
        self.start.elapsed().as_micros() as At
    }

    pub fn note(&self, event: Event) {
        self.events.borrow_mut().push((self.now(), event));
    }

    /// The newest event of which this says something.
    pub fn last_of<T>(&self, of: impl Fn(&(At, Event)) -> Option<T>) -> Option<T> {
        self.events.borrow().iter().rev().find_map(of)
    }

    pub fn take(&self) -> Vec<(At, Event)> {
        self.events.take()
    }
}

/// One try, as it went.
#[derive(Clone, Debug)]
pub struct Try {
    pub driver: usize,
    pub offering: usize,
    pub asked: At,
    pub wait: At,
    pub first: At,
    pub after: Option<At>,
    pub answered: Option<(At, How)>,
    /// Where launches of it came, and when.
    pub reached: Vec<(At, usize)>,
    pub ran: Vec<(At, usize, At)>,
    pub over: Vec<(At, usize)>,
}

pub fn tries(events: &[(At, Event)]) -> HashMap<u64, Try> {
    let mut tries: HashMap<u64, Try> = HashMap::new();
    for (at, event) in events {
        let at = *at;
        match *event {
            Event::Asked { id, driver, offering, wait, first, after, .. } => {
                let (answered, reached, ran, over) = (None, Vec::new(), Vec::new(), Vec::new());
                let asked = at;
                let one = Try { driver, offering, asked, wait, first, after, answered, reached, ran, over };
                tries.insert(id, one);
            }
            Event::Answered { id, how, .. } => {
                if let Some(one) = tries.get_mut(&id) {
                    // What came second is what counts against the driver.
                    one.answered = Some((at, how));
                }
            }
            Event::Reached { id, member, .. } => {
                tries.entry(id).and_modify(|one| one.reached.push((at, member)));
            }
            Event::Ran { id, member, age } => {
                tries.entry(id).and_modify(|one| one.ran.push((at, member, age)));
            }
            Event::Over { id, member, .. } => {
                tries.entry(id).and_modify(|one| one.over.push((at, member)));
            }
            _ => {}
        }
    }
    tries
}
