//! The books on room and controller as the actors share them: asked here, and what they return carried out at once.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::{
    Actions, ConnectionLimitReached, Disconnect, DisconnectReason, FlowController, FlowLimits, PeerId,
    Priority, ReservationId, ReservationOwner, ReservationRequest, Transfer,
};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::lifecycle::clock::{UnstalledClock, duration};

/// Those who were cut off are told in the log by so much time together.
const DISCONNECT_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// That one peer is to be closed without another byte.
#[derive(Default)]
struct Cut {
    reason: Cell<Option<DisconnectReason>>,
    told: Notify,
}

struct Books {
    controller: FlowController,
    /// Claims that wait: a sender dropped is a reservation refused.
    waiting: HashMap<ReservationId, oneshot::Sender<()>>,
    peers: HashMap<PeerId, (Rc<Cut>, IpAddr)>,
    wake_at: Option<Instant>,
    /// Cut off since the last line on it: how many for what, and the last one's address.
    tally: BTreeMap<DisconnectReason, usize>,
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
    pub fn new(unstalled_clock: UnstalledClock, log: Logger, limits: FlowLimits) -> Rc<FlowControl> {
        let books = Books {
            controller: FlowController::new(limits),
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
                        self.with(|controller, now| ((), controller.wake(now)));
                    }
                    if tell_at.is_some_and(|at| now >= at) {
                        self.tell(now);
                    }
                }
            }
        }
    }

    pub fn limits(&self) -> FlowLimits {
        *self.books.borrow().controller.limits()
    }

    pub fn retry_after(&self) -> i64 {
        self.books.borrow().controller.retry_after()
    }

    pub fn update_limits(&self, limits: FlowLimits) {
        self.with(|controller, now| ((), controller.update_limits(now, limits)));
    }

    pub fn stop(&self) {
        self.with(|controller, now| ((), controller.shut_down(now)));
    }

    /// Somebody's place is wanted; whether one was found who is to give it up.
    pub fn shed_one_connection(&self) -> bool {
        self.with(|controller, now| {
            let actions = controller.shed_one_connection(now);
            (actions.disconnect.iter().any(|cut| cut.reason == DisconnectReason::ConnectionSlot), actions)
        })
    }

    pub fn register(self: &Rc<FlowControl>, from: IpAddr) -> Result<ConnectionGuard, ConnectionLimitReached> {
        let now = self.unstalled_clock.now();
        let mut books = self.books.borrow_mut();
        let peer = books.controller.register(now, from)?;
        let cut = Rc::<Cut>::default();
        books.peers.insert(peer, (cut.clone(), from));
        Ok(ConnectionGuard { flow_control: self.clone(), peer, cut })
    }

    /// Room on behalf of a peer, once it is there; `None` where it is refused.
    pub async fn reserve(
        self: &Rc<FlowControl>,
        owner: ReservationOwner,
        bytes: usize,
        until: Instant,
    ) -> Option<BufferReservation> {
        let deadline = self.unstalled_clock.at(until);
        let (reservation, granted, waits) = self.with(|controller, now| {
            let (reservation, actions) =
                controller.reserve(now, ReservationRequest { owner, bytes: bytes as u64, deadline });
            let (granted, refused) =
                (actions.granted.contains(&reservation), actions.rejected.contains(&reservation));
            ((reservation, granted, !granted && !refused), actions)
        });
        let room = BufferReservation { flow_control: self.clone(), reservation: Some(reservation) };
        if waits {
            let (sender, answer) = oneshot::channel();
            self.books.borrow_mut().waiting.insert(reservation, sender);
            return answer.await.is_ok().then_some(room);
        }
        granted.then_some(room)
    }

    /// Room on behalf of a peer, if it is there now.
    pub fn try_reserve(
        self: &Rc<FlowControl>,
        owner: ReservationOwner,
        bytes: usize,
    ) -> Option<BufferReservation> {
        let reservation = self.with(|controller, now| {
            let request = ReservationRequest { owner, bytes: bytes as u64, deadline: now };
            let (reservation, actions) = controller.reserve(now, request);
            (actions.granted.contains(&reservation).then_some(reservation), actions)
        });
        reservation.map(|reservation| BufferReservation {
            flow_control: self.clone(),
            reservation: Some(reservation),
        })
    }

    /// Asks the books and carries out what they return.
    fn with<T>(&self, ask: impl FnOnce(&mut FlowController, i64) -> (T, Actions)) -> T {
        let mut books = self.books.borrow_mut();
        let (told, actions) = ask(&mut books.controller, self.unstalled_clock.now());
        let Actions { granted, rejected, disconnect, pressure, wake_at } = actions;
        for reservation in granted {
            if let Some(waiter) = books.waiting.remove(&reservation) {
                let _ = waiter.send(());
            }
        }
        for reservation in rejected {
            books.waiting.remove(&reservation);
        }
        for Disconnect { peer, reason } in disconnect {
            *books.tally.entry(reason).or_default() += 1;
            let Some((cut, from)) = books.peers.get(&peer).cloned() else { continue };
            books.last_cut = Some(from);
            cut.reason.set(Some(reason));
            cut.told.notify_one();
        }
        if let Some(pressure) = pressure {
            let kib = pressure.used / 1024;
            if pressure.under_pressure {
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
        let due = books.told_at.map_or_else(Instant::now, |at| at + DISCONNECT_LOG_INTERVAL);
        (!books.tally.is_empty()).then_some(due)
    }

    fn tell(&self, now: Instant) {
        let mut books = self.books.borrow_mut();
        books.told_at = Some(now);
        let tally = std::mem::take(&mut books.tally);
        let of = |reason| tally.get(&reason).copied().unwrap_or(0);
        let last = books.last_cut.map(|from| from.to_string());
        warn!(self.log, "slow clients cut off"; "clients" => tally.values().sum::<usize>(),
            "room_wanted" => of(DisconnectReason::BufferSpace), "place_wanted" => of(DisconnectReason::ConnectionSlot), "overdue" => of(DisconnectReason::TooSlow),
            "stopping" => of(DisconnectReason::Shutdown), "last" => last);
    }
}

/// A client's connection in the books; out of them when dropped.
pub struct ConnectionGuard {
    flow_control: Rc<FlowControl>,
    pub peer: PeerId,
    cut: Rc<Cut>,
}

impl ConnectionGuard {
    pub fn start_metering(&self, transfer: Transfer) {
        self.flow_control.with(|controller, now| ((), controller.start_metering(now, self.peer, transfer)));
    }

    pub fn record_progress(&self, bytes: usize) {
        let now = self.flow_control.unstalled_clock.now();
        self.flow_control.books.borrow_mut().controller.record_progress(now, self.peer, bytes as u64);
    }

    pub fn stop_metering(&self) {
        let now = self.flow_control.unstalled_clock.now();
        self.flow_control.books.borrow_mut().controller.stop_metering(now, self.peer);
    }

    /// Resolves once the peer is to be cut off.
    pub async fn disconnected(&self) {
        while self.cut.reason.get().is_none() {
            self.cut.told.notified().await;
        }
    }

    pub fn is_disconnected(&self) -> bool {
        self.cut.reason.get().is_some()
    }

    pub async fn reserve(
        &self,
        bytes: usize,
        priority: Priority,
        until: Instant,
    ) -> Option<BufferReservation> {
        let owner = ReservationOwner { peer: self.peer, priority };
        self.flow_control.reserve(owner, bytes, until).await
    }

    /// Whether so much may be left with the system once the connection is closed; it then counts for a while.
    pub fn may_leave(&self, bytes: usize) -> bool {
        self.flow_control.with(|controller, now| {
            let owner = ReservationOwner { peer: self.peer, priority: Priority::Normal };
            let request = ReservationRequest { owner, bytes: bytes as u64, deadline: now };
            let (reservation, actions) = controller.reserve(now, request);
            let granted = actions.granted.contains(&reservation);
            if granted {
                controller.linger(now, reservation);
            }
            (granted, actions)
        })
    }

    /// How long the system may keep trying to hand over what is left.
    pub fn lingering(&self) -> Duration {
        duration(self.flow_control.limits().linger)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.flow_control.books.borrow_mut().peers.remove(&self.peer);
        self.flow_control.with(|controller, now| ((), controller.unregister(now, self.peer)));
    }
}

/// Room that is held; given back when dropped.
pub struct BufferReservation {
    flow_control: Rc<FlowControl>,
    reservation: Option<ReservationId>,
}

impl BufferReservation {
    /// No more than so much of it is needed from now on.
    pub fn shrink(&self, bytes: usize) {
        if let Some(reservation) = self.reservation {
            self.flow_control.with(|controller, now| ((), controller.shrink(now, reservation, bytes as u64)));
        }
    }

    /// Its connection is being closed, and the system may keep that much for a while.
    pub fn linger(mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.flow_control.with(|controller, now| ((), controller.linger(now, reservation)));
        }
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.flow_control.books.borrow_mut().waiting.remove(&reservation);
            self.flow_control.with(|controller, now| ((), controller.release(now, reservation)));
        }
    }
}
