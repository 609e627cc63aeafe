//! A client connection as flow control knows it: measured while it is waited for, and told when it is disconnected.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use aldermill_flow_control::{
    DisconnectReason, PeerId, Priority, ReservationOwner, ReservationRequest, Transfer,
};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{BufferReservation, FlowControl};
use crate::lifecycle::clock::duration;

/// Tells the actor of one connection to close it without another byte.
#[derive(Default)]
pub(super) struct DisconnectSignal {
    reason: Cell<Option<DisconnectReason>>,
    changed: Notify,
}

impl DisconnectSignal {
    pub(super) fn set(&self, reason: DisconnectReason) {
        self.reason.set(Some(reason));
        self.changed.notify_one();
    }
}

/// A registered connection; unregistered when dropped.
pub struct ConnectionGuard {
    flow_control: Rc<FlowControl>,
    /// Names the connection in reservations that others make for it.
    pub peer: PeerId,
    signal: Rc<DisconnectSignal>,
}

impl ConnectionGuard {
    pub(super) fn new(
        flow_control: Rc<FlowControl>,
        peer: PeerId,
        signal: Rc<DisconnectSignal>,
    ) -> ConnectionGuard {
        ConnectionGuard { flow_control, peer, signal }
    }

    /// The peer is waited for from now on, and must keep up with the minimum rate of this transfer.
    pub fn start_metering(&self, transfer: Transfer) {
        self.flow_control
            .with_controller(|controller, now| ((), controller.start_metering(now, self.peer, transfer)));
    }

    /// The peer read or sent this many bytes.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.flow_control.unstalled_clock.now();
        self.flow_control.state.borrow_mut().controller.record_progress(now, self.peer, bytes as u64);
    }

    /// The peer is waited for no longer.
    pub fn stop_metering(&self) {
        let now = self.flow_control.unstalled_clock.now();
        self.flow_control.state.borrow_mut().controller.stop_metering(now, self.peer);
    }

    /// Resolves once the peer is to be disconnected. Cancel safe.
    pub async fn disconnected(&self) {
        while !self.is_disconnected() {
            self.signal.changed.notified().await;
        }
    }

    /// Whether the peer is to be disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.signal.reason.get().is_some()
    }

    /// Buffer space for this peer, once it is granted; `None` where it is rejected, at `until` at the latest.
    pub async fn reserve(
        &self,
        bytes: usize,
        priority: Priority,
        until: Instant,
    ) -> Option<BufferReservation> {
        let owner = ReservationOwner { peer: self.peer, priority };
        self.flow_control.reserve(owner, bytes, until).await
    }

    /// Whether this many unread bytes may be left with the system when the connection is closed. If so they stay in use for
    /// [`ConnectionGuard::linger_timeout`]; if not the connection is to be reset, so that the system keeps nothing.
    pub fn try_reserve_lingering(&self, bytes: usize) -> bool {
        self.flow_control.with_controller(|controller, now| {
            let owner = ReservationOwner { peer: self.peer, priority: Priority::Normal };
            let request = ReservationRequest { owner, bytes: bytes as u64, deadline: now };
            let (reservation, actions) = controller.reserve(now, request);
            let granted = actions.granted.contains(&reservation);
            if granted {
                // Its actions are not carried out, only those of the reservation above.
                let _ = controller.linger(now, reservation);
            }
            (granted, actions)
        })
    }

    /// How long the system may keep what a closed connection left unread.
    pub fn linger_timeout(&self) -> Duration {
        duration(self.flow_control.limits().linger_timeout)
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.flow_control.state.borrow_mut().connections.remove(&self.peer);
        self.flow_control.with_controller(|controller, now| ((), controller.unregister(now, self.peer)));
    }
}
