//! Registration of a connection with flow control, which measures the peer while the proxy waits for it and
//! signals when to disconnect it.

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

/// Signals the actor of one connection to close it without sending another byte.
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

/// A connection that is registered with flow control. Dropping the guard unregisters it.
pub struct ConnectionGuard {
    flow_control: Rc<FlowControl>,
    /// ID of the connection, for reservations that other actors make on its behalf.
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

    /// Starts to measure the peer against the minimum rate of this transfer, because the proxy is waiting for
    /// it.
    pub fn start_metering(&self, transfer: Transfer) {
        self.flow_control
            .with_controller(|controller, now| ((), controller.start_metering(now, self.peer, transfer)));
    }

    /// Records that the peer read or sent this many bytes.
    pub fn record_progress(&self, bytes: usize) {
        let now = self.flow_control.unstalled_clock.now();
        self.flow_control.state.borrow_mut().controller.record_progress(now, self.peer, bytes as u64);
    }

    /// Stops measuring the peer, because the proxy is no longer waiting for it.
    pub fn stop_metering(&self) {
        let now = self.flow_control.unstalled_clock.now();
        self.flow_control.state.borrow_mut().controller.stop_metering(now, self.peer);
    }

    /// Waits until the peer is to be disconnected. Cancel safe.
    pub async fn disconnected(&self) {
        while !self.is_disconnected() {
            self.signal.changed.notified().await;
        }
    }

    /// Returns whether the peer is to be disconnected.
    pub fn is_disconnected(&self) -> bool {
        self.signal.reason.get().is_some()
    }

    /// Waits until buffer space is reserved for this peer. Returns `None` if the reservation is rejected,
    /// which happens at `until` at the latest.
    pub async fn reserve(
        &self,
        bytes: usize,
        priority: Priority,
        until: Instant,
    ) -> Option<BufferReservation> {
        let owner = ReservationOwner { peer: self.peer, priority };
        self.flow_control.reserve(owner, bytes, until).await
    }

    /// Reserves buffer space for the peer without waiting. Returns `None` if it cannot be granted at once.
    pub fn try_reserve(&self, bytes: usize, priority: Priority) -> Option<BufferReservation> {
        let owner = ReservationOwner { peer: self.peer, priority };
        self.flow_control.try_reserve(owner, bytes)
    }

    /// Returns whether so many bytes can be reserved without making buffer space short.
    pub fn has_spare_space(&self, bytes: usize) -> bool {
        self.flow_control.state.borrow().controller.has_spare_space(bytes as u64)
    }

    /// Reserves buffer space for unread bytes that the kernel keeps after the connection is closed, and
    /// returns whether the space was granted. If it was, the space stays in use for
    /// [`ConnectionGuard::linger_timeout`]. If not, the caller must reset the connection, so that the kernel
    /// keeps nothing.
    pub fn try_reserve_lingering(&self, bytes: usize) -> bool {
        self.flow_control.with_controller(|controller, now| {
            let owner = ReservationOwner { peer: self.peer, priority: Priority::Normal };
            let request = ReservationRequest { owner, bytes: bytes as u64, deadline: now };
            let (reservation, actions) = controller.reserve(now, request);
            let granted = actions.granted.contains(&reservation);
            if granted {
                // Only the actions of the reservation above are carried out, not those of this call.
                let _ = controller.linger(now, reservation);
            }
            (granted, actions)
        })
    }

    /// Returns the maximum time that the kernel may keep the unread bytes of a closed connection.
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
