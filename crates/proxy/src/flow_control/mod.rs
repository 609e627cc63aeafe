//! The books on room and pace as the actors share them: asked here, and what they return carried out at once.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::{Actions, Ask, Bounds, Claim, Pace, Peer, TooMany, Way, Why};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::lifecycle::clock::{UnstalledClock, duration};

/// Those who were cut off are told in the log by so much time together.
const TALLY: Duration = Duration::from_secs(1);

/// That one peer is to be closed without another byte.
#[derive(Default)]
struct Cut {
    why: Cell<Option<Why>>,
    told: Notify,
}

struct Books {
    pace: Pace,
    /// Claims that wait: a sender dropped is a claim refused.
    waiting: HashMap<Claim, oneshot::Sender<()>>,
    peers: HashMap<Peer, (Rc<Cut>, IpAddr)>,
    wake_at: Option<Instant>,
    /// Cut off since the last line on it: how many for what, and the last one's address.
    tally: BTreeMap<Why, usize>,
    last_cut: Option<IpAddr>,
    told_at: Option<Instant>,
}

pub struct FlowControl {
    unstalled_clock: UnstalledClock,
    log: Logger,
    books: RefCell<Books>,
    changed: Notify,
}

impl FlowControl {
    pub fn new(unstalled_clock: UnstalledClock, log: Logger, bounds: Bounds) -> Rc<FlowControl> {
        let books = Books {
            pace: Pace::start(bounds),
            waiting: HashMap::new(),
            peers: HashMap::new(),
            wake_at: None,
            tally: BTreeMap::new(),
            last_cut: None,
            told_at: None,
        };
        Rc::new(FlowControl { unstalled_clock, log, books: RefCell::new(books), changed: Notify::new() })
    }

    /// Wakes the books when they ask for it, and tells the log whom they cut off.
    pub async fn run(self: Rc<FlowControl>) {
        loop {
            let wake_at = self.books.borrow().wake_at;
            let tell_at = self.tell_at();
            let at = wake_at.into_iter().chain(tell_at).min();
            tokio::select! {
                () = self.changed.notified() => {}
                () = sleep_until(at.unwrap_or_else(Instant::now)), if at.is_some() => {
                    let now = Instant::now();
                    if wake_at.is_some_and(|at| now >= at) {
                        self.with(|pace, now| ((), pace.wake(now)));
                    }
                    if tell_at.is_some_and(|at| now >= at) {
                        self.tell(now);
                    }
                }
            }
        }
    }

    pub fn bounds(&self) -> Bounds {
        *self.books.borrow().pace.bounds()
    }

    pub fn retry_after(&self) -> i64 {
        self.books.borrow().pace.come_back()
    }

    pub fn update_limits(&self, bounds: Bounds) {
        self.with(|pace, now| ((), pace.rebound(now, bounds)));
    }

    pub fn stop(&self) {
        self.with(|pace, now| ((), pace.stop(now)));
    }

    /// Somebody's place is wanted; whether one was found who is to give it up.
    pub fn shed_one_connection(&self) -> bool {
        self.with(|pace, now| {
            let actions = pace.slot_wanted(now);
            (actions.cut.iter().any(|(_, why)| *why == Why::Slot), actions)
        })
    }

    pub fn register(self: &Rc<FlowControl>, from: IpAddr) -> Result<ConnectionGuard, TooMany> {
        let now = self.unstalled_clock.now();
        let mut books = self.books.borrow_mut();
        let peer = books.pace.meet(now, from)?;
        let cut = Rc::<Cut>::default();
        books.peers.insert(peer, (cut.clone(), from));
        Ok(ConnectionGuard { flow_control: self.clone(), peer, cut })
    }

    /// Room on behalf of a peer, once it is there; `None` where it is refused.
    pub async fn reserve(
        self: &Rc<FlowControl>,
        peer: Peer,
        bytes: usize,
        best: bool,
        until: Instant,
    ) -> Option<BufferReservation> {
        let until = self.unstalled_clock.at(until);
        let (claim, granted, waits) = self.with(|pace, now| {
            let (claim, actions) = peer.asks(pace, now, Ask { bytes: bytes as u64, best, until });
            let (granted, refused) = (actions.granted.contains(&claim), actions.refused.contains(&claim));
            ((claim, granted, !granted && !refused), actions)
        });
        let room = BufferReservation { flow_control: self.clone(), claim: Some(claim) };
        if waits {
            let (sender, answer) = oneshot::channel();
            self.books.borrow_mut().waiting.insert(claim, sender);
            return answer.await.is_ok().then_some(room);
        }
        granted.then_some(room)
    }

    /// Room on behalf of a peer, if it is there now.
    pub fn try_reserve(
        self: &Rc<FlowControl>,
        peer: Peer,
        bytes: usize,
        best: bool,
    ) -> Option<BufferReservation> {
        let claim = self.with(|pace, now| {
            let (claim, actions) = peer.asks(pace, now, Ask { bytes: bytes as u64, best, until: now });
            (actions.granted.contains(&claim).then_some(claim), actions)
        });
        claim.map(|claim| BufferReservation { flow_control: self.clone(), claim: Some(claim) })
    }

    /// Asks the books and carries out what they return.
    fn with<T>(&self, ask: impl FnOnce(&mut Pace, i64) -> (T, Actions)) -> T {
        let mut books = self.books.borrow_mut();
        let (told, actions) = ask(&mut books.pace, self.unstalled_clock.now());
        let Actions { granted, refused, cut, pressure, wake_at } = actions;
        for claim in granted {
            if let Some(waiter) = books.waiting.remove(&claim) {
                let _ = waiter.send(());
            }
        }
        for claim in refused {
            books.waiting.remove(&claim);
        }
        for (peer, why) in cut {
            *books.tally.entry(why).or_default() += 1;
            let Some((cut, from)) = books.peers.get(&peer).cloned() else { continue };
            books.last_cut = Some(from);
            cut.why.set(Some(why));
            cut.told.notify_one();
        }
        if let Some(pressure) = pressure {
            let kib = pressure.used / 1024;
            if pressure.short {
                warn!(self.log, "room for what waits is short, slow clients give way";
                    "used_kib" => kib, "waiting" => pressure.waiting);
            } else {
                info!(self.log, "room for what waits again"; "used_kib" => kib);
            }
        }
        let wake_at = wake_at.map(|at| self.unstalled_clock.instant(at));
        if wake_at != std::mem::replace(&mut books.wake_at, wake_at) || !books.tally.is_empty() {
            self.changed.notify_one();
        }
        told
    }

    fn tell_at(&self) -> Option<Instant> {
        let books = self.books.borrow();
        let due = books.told_at.map_or_else(Instant::now, |at| at + TALLY);
        (!books.tally.is_empty()).then_some(due)
    }

    fn tell(&self, now: Instant) {
        let mut books = self.books.borrow_mut();
        books.told_at = Some(now);
        let tally = std::mem::take(&mut books.tally);
        let of = |why| tally.get(&why).copied().unwrap_or(0);
        let last = books.last_cut.map(|from| from.to_string());
        warn!(self.log, "slow clients cut off"; "clients" => tally.values().sum::<usize>(),
            "room_wanted" => of(Why::Room), "place_wanted" => of(Why::Slot), "overdue" => of(Why::Overdue),
            "stopping" => of(Why::Stopping), "last" => last);
    }
}

/// A client's connection in the books; out of them when dropped.
pub struct ConnectionGuard {
    flow_control: Rc<FlowControl>,
    pub peer: Peer,
    cut: Rc<Cut>,
}

impl ConnectionGuard {
    pub fn start_metering(&self, way: Way) {
        self.flow_control.with(|pace, now| ((), self.peer.owes(pace, now, way)));
    }

    pub fn record_progress(&self, bytes: usize) {
        self.peer.moved(
            &mut self.flow_control.books.borrow_mut().pace,
            self.flow_control.unstalled_clock.now(),
            bytes as u64,
        );
    }

    pub fn stop_metering(&self) {
        self.peer
            .rests(&mut self.flow_control.books.borrow_mut().pace, self.flow_control.unstalled_clock.now());
    }

    /// Resolves once the peer is to be cut off.
    pub async fn disconnected(&self) {
        while self.cut.why.get().is_none() {
            self.cut.told.notified().await;
        }
    }

    pub fn is_disconnected(&self) -> bool {
        self.cut.why.get().is_some()
    }

    pub async fn reserve(&self, bytes: usize, best: bool, until: Instant) -> Option<BufferReservation> {
        self.flow_control.reserve(self.peer, bytes, best, until).await
    }

    /// Whether so much may be left with the system once the connection is closed; it then counts for a while.
    pub fn may_leave(&self, bytes: usize) -> bool {
        self.flow_control.with(|pace, now| {
            let ask = Ask { bytes: bytes as u64, best: false, until: now };
            let (claim, actions) = self.peer.asks(pace, now, ask);
            let granted = actions.granted.contains(&claim);
            if granted {
                claim.lingers(pace, now);
            }
            (granted, actions)
        })
    }

    /// How long the system may keep trying to hand over what is left.
    pub fn lingering(&self) -> Duration {
        duration(self.flow_control.bounds().lingering)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.flow_control.books.borrow_mut().peers.remove(&self.peer);
        self.flow_control.with(|pace, now| ((), self.peer.left(pace, now)));
    }
}

/// Room that is held; given back when dropped.
pub struct BufferReservation {
    flow_control: Rc<FlowControl>,
    claim: Option<Claim>,
}

impl BufferReservation {
    /// No more than so much of it is needed from now on.
    pub fn shrink(&self, bytes: usize) {
        if let Some(claim) = self.claim {
            self.flow_control.with(|pace, now| ((), claim.shrinks(pace, now, bytes as u64)));
        }
    }

    /// Its connection is being closed, and the system may keep that much for a while.
    pub fn linger(mut self) {
        if let Some(claim) = self.claim.take() {
            self.flow_control.with(|pace, now| ((), claim.lingers(pace, now)));
        }
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if let Some(claim) = self.claim.take() {
            self.flow_control.books.borrow_mut().waiting.remove(&claim);
            self.flow_control.with(|pace, now| ((), claim.given_back(pace, now)));
        }
    }
}
