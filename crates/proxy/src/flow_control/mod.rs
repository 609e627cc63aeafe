//! Flow control: one [`FlowController`] that all actors share, and whose decisions are carried out at once.
//!
//! The decisions are made in the `aldermill_flow_control` crate, which has no clock and does no I/O. This
//! module passes it unstalled time, represents a reservation as a value that is released when dropped
//! ([`BufferReservation`]), and signals a disconnect to the actor of the connection through its
//! [`ConnectionGuard`]. [`FlowControl::run`] wakes the controller at the scheduled times.

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

/// Flow controller that all actors share, with the waiting reservations and the registered connections.
pub struct FlowControl {
    unstalled_clock: UnstalledClock,
    log: Logger,
    /// Never borrowed across an await point.
    state: RefCell<State>,
    /// Notifies [`FlowControl::run`] that the next scheduled time may have changed.
    schedule_changed: Notify,
}

struct State {
    controller: FlowController,
    /// Waiting reservations. Sending on the channel grants a reservation, and dropping the sender rejects it.
    waiters: HashMap<ReservationId, oneshot::Sender<()>>,
    connections: HashMap<PeerId, ConnectionEntry>,
    /// Time to wake the controller; `None` if nothing is scheduled.
    wake_at: Option<Instant>,
    disconnect_log: DisconnectLog,
}

/// A registered connection.
struct ConnectionEntry {
    signal: Rc<DisconnectSignal>,
    address: IpAddr,
}

/// Result of a request for buffer space at the time of the request.
enum ReservationOutcome {
    Granted,
    Rejected,
    Waiting,
}

impl FlowControl {
    /// Creates flow control without connections. The caller must also start [`FlowControl::run`].
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

    /// Wakes the controller at the scheduled times, and logs disconnects. Never returns.
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

    /// Returns the limits in force.
    pub fn limits(&self) -> FlowLimits {
        *self.state.borrow().controller.limits()
    }

    /// Returns the time that a client should wait before it retries a request that was rejected for lack of
    /// buffer space, in microseconds.
    pub fn retry_after(&self) -> Micros {
        self.state.borrow().controller.retry_after()
    }

    /// Replaces the limits. Reservations that exceed the new limits stay granted until they are released.
    pub fn update_limits(&self, limits: FlowLimits) {
        self.with_controller(|controller, now| ((), controller.update_limits(now, limits)));
    }

    /// Starts the shutdown. Slow peers are disconnected at once, and after [`FlowLimits::shutdown_grace`]
    /// every peer that is being measured.
    pub fn shut_down(&self) {
        self.with_controller(|controller, now| ((), controller.shut_down(now)));
    }

    /// Disconnects one slow peer, because a new client found no connection slot. Returns whether any peer was
    /// slow.
    pub fn shed_one_connection(&self) -> bool {
        self.with_controller(|controller, now| {
            let actions = controller.shed_one_connection(now);
            let is_shed = |disconnect: &Disconnect| disconnect.reason == DisconnectReason::ConnectionSlot;
            (actions.disconnect.iter().any(is_shed), actions)
        })
    }

    /// Registers a connection from this address.
    ///
    /// # Errors
    ///
    /// Fails if limits per address are configured, and the address has reached its connection limit, or one
    /// of its clients was disconnected recently while buffer space is short.
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

    /// Waits until buffer space is reserved for a peer. Returns `None` if the reservation is rejected, which
    /// happens at `until` at the latest.
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

    /// Reserves buffer space for a peer without waiting. Returns `None` if the space cannot be granted at
    /// once.
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

    /// Calls the controller, and carries out the actions that it returns.
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
                // Fails if the receiver has been dropped. The reservation is then released by its own drop.
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

/// Requests buffer space. Returns the ID of the reservation, whether it was granted or rejected at once, and
/// the actions to carry out.
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
