//! The buffer budget: waiting and granted reservations, and what closed connections left in the kernel.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::meter::transfer_time;
use crate::{Micros, PeerId, Priority, ReservationId, ReservationRequest};

/// Whether a reservation waits, is granted, or lingers after its connection was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationState {
    Waiting,
    Granted,
    /// The connection is closed, and the kernel discards the unread bytes at `until`.
    Lingering {
        until: Micros,
    },
}

/// One reservation and its state.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    /// The client address of the owner; `None` if [`FlowLimits::per_address`](crate::FlowLimits::per_address) was not
    /// set when the owner connected, or if the owner was gone when the request was made.
    pub(crate) address: Option<IpAddr>,
    /// The request, with `bytes` reduced to the present size of the reservation.
    pub(crate) request: ReservationRequest,
    state: ReservationState,
    position: QueuePosition,
}

impl Reservation {
    /// Whether the reservation is granted; false once it lingers.
    pub(crate) fn is_granted(&self) -> bool {
        self.state == ReservationState::Granted
    }

    /// The connection that the reservation is charged to.
    pub(crate) fn peer(&self) -> PeerId {
        self.request.owner.peer
    }

    /// The priority of the request that the space is for.
    pub(crate) fn priority(&self) -> Priority {
        self.request.owner.priority
    }

    /// The present size of the reservation in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        self.request.bytes
    }
}

/// Sort key of waiting reservations: priority first, then virtual arrival time. The virtual arrival time is the
/// arrival plus the time that the reservation's bytes take at the clients' minimum rate, so that a small reservation
/// does not wait behind a large one that arrived just before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    priority: Reverse<Priority>,
    virtual_arrival: Micros,
    id: ReservationId,
}

/// All reservations, and how much of the budget they use.
#[derive(Debug, Default)]
pub(crate) struct BufferBudget {
    reservations: HashMap<ReservationId, Reservation>,
    waiting: BTreeSet<QueuePosition>,
    /// Lingering reservations, by the time at which the kernel discards their bytes.
    lingering: BTreeSet<(Micros, ReservationId)>,
    /// Bytes of granted and lingering reservations.
    used: u64,
    next_id: u64,
}

impl BufferBudget {
    /// Bytes of granted reservations, and of those that closed connections left in the kernel.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    /// The reservation with this id, in any state.
    pub(crate) fn get(&self, id: ReservationId) -> Option<&Reservation> {
        self.reservations.get(&id)
    }

    /// Waiting reservations in queue order.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (ReservationId, &Reservation)> {
        self.waiting.iter().filter_map(|position| Some((position.id, self.reservations.get(&position.id)?)))
    }

    /// Whether any reservation waits.
    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Adds a request to the queue. `bytes_per_second` is the rate that determines how much later larger requests are
    /// considered.
    pub(crate) fn enqueue(
        &mut self,
        now: Micros,
        address: Option<IpAddr>,
        request: ReservationRequest,
        bytes_per_second: u64,
    ) -> ReservationId {
        let id = ReservationId(self.next_id);
        self.next_id += 1;
        let position = QueuePosition {
            priority: Reverse(request.owner.priority),
            virtual_arrival: now.saturating_add(transfer_time(request.bytes, bytes_per_second)),
            id,
        };
        let reservation = Reservation { address, request, state: ReservationState::Waiting, position };
        self.reservations.insert(id, reservation);
        self.waiting.insert(position);
        id
    }

    /// Grants a waiting reservation. A reservation in any other state is left unchanged.
    pub(crate) fn grant(&mut self, id: ReservationId) {
        let Some(reservation) = self.reservations.get_mut(&id) else { return };
        if reservation.state == ReservationState::Waiting {
            reservation.state = ReservationState::Granted;
            self.used += reservation.request.bytes;
            self.waiting.remove(&reservation.position);
        }
    }

    /// Reduces a granted reservation to at most `bytes` and returns the number of bytes freed.
    pub(crate) fn shrink(&mut self, id: ReservationId, bytes: u64) -> u64 {
        let Some(reservation) = self.reservations.get_mut(&id).filter(|reservation| reservation.is_granted())
        else {
            return 0;
        };
        let freed = reservation.request.bytes.saturating_sub(bytes);
        reservation.request.bytes -= freed;
        self.used -= freed;
        freed
    }

    /// Makes a granted reservation linger: no peer holds it any more, but its bytes stay in use until `until`.
    /// Returns `None` if it is not granted.
    pub(crate) fn linger(&mut self, id: ReservationId, until: Micros) -> Option<Reservation> {
        let reservation = self.reservations.get_mut(&id).filter(|reservation| reservation.is_granted())?;
        reservation.state = ReservationState::Lingering { until };
        self.lingering.insert((until, id));
        Some(*reservation)
    }

    /// Removes a reservation, frees the bytes that it used, and returns it in its last state.
    pub(crate) fn remove(&mut self, id: ReservationId) -> Option<Reservation> {
        let reservation = self.reservations.remove(&id)?;
        match reservation.state {
            ReservationState::Waiting => {
                self.waiting.remove(&reservation.position);
            }
            ReservationState::Granted => self.used -= reservation.request.bytes,
            ReservationState::Lingering { until } => {
                self.used -= reservation.request.bytes;
                self.lingering.remove(&(until, id));
            }
        }
        Some(reservation)
    }

    /// Removes lingering reservations whose bytes the kernel has discarded.
    pub(crate) fn expire_lingering(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.lingering.first() {
            if until > now {
                return;
            }
            self.lingering.pop_first();
            self.remove(id);
        }
    }

    /// The earliest deadline of a waiting reservation or end of a lingering one.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        let waiting_deadline = self.waiting().map(|(_, reservation)| reservation.request.deadline).min();
        let linger_end = self.lingering.first().map(|&(until, _)| until);
        waiting_deadline.into_iter().chain(linger_end).min()
    }
}
