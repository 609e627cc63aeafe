//! Buffer space that is reserved for an actor.

use std::rc::Rc;

use aldermill_flow_control::ReservationId;

use super::FlowControl;

/// A reservation of buffer space. Dropping it releases the space, or withdraws a reservation that still waits
/// to be granted.
pub struct BufferReservation {
    flow_control: Rc<FlowControl>,
    /// ID of the reservation; `None` once it lingers, as the controller then releases it.
    reservation: Option<ReservationId>,
}

impl BufferReservation {
    pub(super) fn new(flow_control: Rc<FlowControl>, reservation: ReservationId) -> BufferReservation {
        BufferReservation { flow_control, reservation: Some(reservation) }
    }

    /// Reduces the reservation to at most `bytes`.
    pub fn shrink(&self, bytes: usize) {
        if let Some(reservation) = self.reservation {
            self.flow_control
                .with_controller(|controller, now| ((), controller.shrink(now, reservation, bytes as u64)));
        }
    }

    /// Keeps the space in use for
    /// [`FlowLimits::linger_timeout`](aldermill_flow_control::FlowLimits::linger_timeout), because the
    /// connection is being closed and the kernel may keep as many unread bytes until then.
    pub fn linger(mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.flow_control.with_controller(|controller, now| ((), controller.linger(now, reservation)));
        }
    }
}

impl Drop for BufferReservation {
    fn drop(&mut self) {
        if let Some(reservation) = self.reservation.take() {
            self.flow_control.state.borrow_mut().waiters.remove(&reservation);
            self.flow_control.with_controller(|controller, now| ((), controller.release(now, reservation)));
        }
    }
}
