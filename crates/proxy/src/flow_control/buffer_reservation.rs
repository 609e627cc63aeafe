//! Buffer space that an actor holds.

use std::rc::Rc;

use aldermill_flow_control::ReservationId;

use super::FlowControl;

/// Reserved buffer space; released when dropped, also while it still waits to be granted.
pub struct BufferReservation {
    flow_control: Rc<FlowControl>,
    /// `None` once it lingers.
    reservation: Option<ReservationId>,
}

impl BufferReservation {
    pub(super) fn new(flow_control: Rc<FlowControl>, reservation: ReservationId) -> BufferReservation {
        BufferReservation { flow_control, reservation: Some(reservation) }
    }

    /// No more than this many bytes of it are needed from now on.
    pub fn shrink(&self, bytes: usize) {
        if let Some(reservation) = self.reservation {
            self.flow_control
                .with_controller(|controller, now| ((), controller.shrink(now, reservation, bytes as u64)));
        }
    }

    /// Its connection is being closed, and the system may keep that much unread: it stays in use until the system's time-out.
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
