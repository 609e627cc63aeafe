//! Flow control: one [`FlowController`] for all actors, which carry out at once what it decides.
//!
//! The decisions are in `aldermill_flow_control`, which has no clock and does no I/O. Here its clock is unstalled time, a
//! reservation is a value that is released when dropped ([`BufferReservation`]), and a disconnect reaches the actor of the
//! connection through its [`ConnectionGuard`]. [`FlowControl::run`] wakes the controller when that is due.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;

use aldermill_flow_control::{
    Actions, ConnectionLimitReached, Disconnect, DisconnectReason, FlowController, FlowLimits, PeerId,
    PressureChange, ReservationId, ReservationOwner, ReservationRequest,
};
use aldermill_routing::Micros;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::lifecycle::clock::UnstalledClock;

mod buffer_reservation;
mod connection_guard;
mod disconnect_log;

pub use buffer_reservation::BufferReservation;
pub use connection_guard::ConnectionGuard;

use connection_guard::DisconnectSignal;
use disconnect_log::DisconnectLog;

/// Flow control as the actors share it.
pub struct FlowControl {
    unstalled_clock: UnstalledClock,
    log: Logger,
    /// Never borrowed over an await.
    state: RefCell<State>,
    /// Tells [`FlowControl::run`] that it may have to wake earlier.
    schedule_changed: Notify,
}

struct State {
    controller: FlowController,
    /// Reservations that wait. Granted ones are sent a message; dropping the sender rejects one.
    waiters: HashMap<ReservationId, oneshot::Sender<()>>,
    connections: HashMap<PeerId, ConnectionEntry>,
    /// When the controller is to be woken.
    wake_at: Option<Instant>,
    disconnect_log: DisconnectLog,
}

/// A registered connection.
struct ConnectionEntry {
    signal: Rc<DisconnectSignal>,
    address: IpAddr,
}

/// What became of a reservation at once.
enum ReservationOutcome {
    Granted,
    Rejected,
    Waiting,
}

impl FlowControl {
    /// Flow control without connections; [`FlowControl::run`] must be started as well.
    pub fn new(unstalled_clock: UnstalledClock, log: Logger, limits: FlowLimits) -> Rc<FlowControl> {
        let state = State {
            controller: FlowController::new(limits),
            waiters: HashMap::new(),
            connections: HashMap::new(),
            wake_at: None,
            disconnect_log: DisconnectLog::default(),
        };
        Rc::new(FlowControl {
            unstalled_clock,
            log,
            state: RefCell::new(state),
            schedule_changed: Notify::new(),
        })
    }

    /// Wakes the controller when that is due, and logs disconnects. Never returns.
    pub async fn run(self: Rc<FlowControl>) {
        loop {
            let wake_at = self.state.borrow().wake_at;
            let log_at = self.state.borrow().disconnect_log.due_at();
            let next = wake_at.into_iter().chain(log_at).min();
            tokio::select! {
                () = self.schedule_changed.notified() => {}
                () = sleep_until(next.unwrap_or_else(Instant::now)), if next.is_some() => {
                    let now = Instant::now();
                    if wake_at.is_some_and(|at| now >= at) {
                        self.with_controller(|controller, now| ((), controller.wake(now)));
                    }
                    if log_at.is_some_and(|at| now >= at) {
                        self.state.borrow_mut().disconnect_log.write(now, &self.log);
                    }
                }
            }
        }
    }

    /// The limits in force.
    pub fn limits(&self) -> FlowLimits {
        *self.state.borrow().controller.limits()
    }

    /// How long a client is to wait before it retries what was rejected for lack of buffer space.
    pub fn retry_after(&self) -> Micros {
        self.state.borrow().controller.retry_after()
    }

    /// Puts other limits in force. What was granted beyond them stays until it is released.
    pub fn update_limits(&self, limits: FlowLimits) {
        self.with_controller(|controller, now| ((), controller.update_limits(now, limits)));
    }

    /// The proxy shuts down: slow peers are disconnected now, the others once the grace of the limits is over.
    pub fn shut_down(&self) {
        self.with_controller(|controller, now| ((), controller.shut_down(now)));
    }

    /// A new client found no connection slot: disconnects one slow peer. Returns whether there was one.
    pub fn shed_one_connection(&self) -> bool {
        self.with_controller(|controller, now| {
            let actions = controller.shed_one_connection(now);
            let is_shed = |disconnect: &Disconnect| disconnect.reason == DisconnectReason::ConnectionSlot;
            (actions.disconnect.iter().any(is_shed), actions)
        })
    }

    /// Accepts a connection from this address.
    pub fn register(
        self: &Rc<FlowControl>,
        address: IpAddr,
    ) -> Result<ConnectionGuard, ConnectionLimitReached> {
        let now = self.unstalled_clock.now();
        let mut state = self.state.borrow_mut();
        let peer = state.controller.register(now, address)?;
        let signal = Rc::<DisconnectSignal>::default();
        state.connections.insert(peer, ConnectionEntry { signal: signal.clone(), address });
        Ok(ConnectionGuard::new(self.clone(), peer, signal))
    }

    /// Buffer space for a peer, once it is granted; `None` where it is rejected, at `until` at the latest.
    pub async fn reserve(
        self: &Rc<FlowControl>,
        owner: ReservationOwner,
        bytes: usize,
        until: Instant,
    ) -> Option<BufferReservation> {
        let deadline = self.unstalled_clock.at(until);
        let request = ReservationRequest { owner, bytes: bytes as u64, deadline };
        let (id, outcome) =
            self.with_controller(|controller, now| request_reservation(controller, now, request));
        let reservation = BufferReservation::new(self.clone(), id);
        match outcome {
            ReservationOutcome::Granted => Some(reservation),
            ReservationOutcome::Rejected => None,
            ReservationOutcome::Waiting => {
                let (sender, answer) = oneshot::channel();
                self.state.borrow_mut().waiters.insert(id, sender);
                answer.await.is_ok().then_some(reservation)
            }
        }
    }

    /// Buffer space for a peer, if it can be granted at once.
    pub fn try_reserve(
        self: &Rc<FlowControl>,
        owner: ReservationOwner,
        bytes: usize,
    ) -> Option<BufferReservation> {
        let (id, outcome) = self.with_controller(|controller, now| {
            let request = ReservationRequest { owner, bytes: bytes as u64, deadline: now };
            request_reservation(controller, now, request)
        });
        matches!(outcome, ReservationOutcome::Granted).then(|| BufferReservation::new(self.clone(), id))
    }

    /// Calls the controller and carries out what it decides.
    fn with_controller<T>(&self, call: impl FnOnce(&mut FlowController, Micros) -> (T, Actions)) -> T {
        let mut state = self.state.borrow_mut();
        let (result, actions) = call(&mut state.controller, self.unstalled_clock.now());
        state.answer_reservations(&actions.granted, &actions.rejected);
        for disconnect in actions.disconnect {
            state.disconnect(disconnect);
        }
        if let Some(pressure) = actions.pressure {
            self.log_pressure(pressure);
        }
        let wake_at = actions.wake_at.map(|at| self.unstalled_clock.instant(at));
        let is_rescheduled = wake_at != state.wake_at;
        state.wake_at = wake_at;
        if is_rescheduled || state.disconnect_log.has_unwritten() {
            self.schedule_changed.notify_one();
        }
        result
    }

    fn log_pressure(&self, pressure: PressureChange) {
        let used_kib = pressure.used / 1024;
        if pressure.under_pressure {
            warn!(self.log, "buffer budget low, slow clients are disconnected";
                "used_kib" => used_kib, "waiting" => pressure.waiting);
        } else {
            info!(self.log, "buffer budget recovered"; "used_kib" => used_kib);
        }
    }
}

impl State {
    fn answer_reservations(&mut self, granted: &[ReservationId], rejected: &[ReservationId]) {
        for id in granted {
            if let Some(waiter) = self.waiters.remove(id) {
                // One that gave up meanwhile has released the reservation, or is about to.
                let _ = waiter.send(());
            }
        }
        for id in rejected {
            self.waiters.remove(id);
        }
    }

    fn disconnect(&mut self, disconnect: Disconnect) {
        self.disconnect_log.record(disconnect.reason);
        if let Some(connection) = self.connections.get(&disconnect.peer) {
            self.disconnect_log.record_address(connection.address);
            connection.signal.set(disconnect.reason);
        }
    }
}

/// Asks for buffer space, and says what became of that at once.
fn request_reservation(
    controller: &mut FlowController,
    now: Micros,
    request: ReservationRequest,
) -> ((ReservationId, ReservationOutcome), Actions) {
    let (id, actions) = controller.reserve(now, request);
    let outcome = if actions.granted.contains(&id) {
        ReservationOutcome::Granted
    } else if actions.rejected.contains(&id) {
        ReservationOutcome::Rejected
    } else {
        ReservationOutcome::Waiting
    };
    ((id, outcome), actions)
}
