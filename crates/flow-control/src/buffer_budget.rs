//! The buffer budget: which reservations are granted, which wait, and what closed connections left behind.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::net::IpAddr;

use crate::meter::transfer_time;
use crate::{Micros, PeerId, Priority, ReservationId, ReservationRequest};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReservationState {
    Waiting,
    Granted,
    /// Its connection is closed; the system discards what it left by then.
    Lingering {
        until: Micros,
    },
}

/// One reservation.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Reservation {
    /// Of its owner, where addresses tell clients apart.
    pub(crate) address: Option<IpAddr>,
    /// What was asked for, with the size that it has now.
    pub(crate) request: ReservationRequest,
    state: ReservationState,
    position: QueuePosition,
}

impl Reservation {
    pub(crate) fn is_granted(&self) -> bool {
        self.state == ReservationState::Granted
    }

    pub(crate) fn peer(&self) -> PeerId {
        self.request.owner.peer
    }

    pub(crate) fn priority(&self) -> Priority {
        self.request.owner.priority
    }

    pub(crate) fn bytes(&self) -> u64 {
        self.request.bytes
    }
}

/// The order in which waiting reservations are considered: by priority, then by arrival, a larger one later by the time that
/// its size takes at the clients' minimum rate. So no small one waits behind a large one that came just before.
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
    /// By when the system discards them.
    lingering: BTreeSet<(Micros, ReservationId)>,
    /// Bytes granted and lingering.
    used: u64,
    next_id: u64,
}

impl BufferBudget {
    /// Bytes granted, and bytes that closed connections left with the system.
    pub(crate) fn used(&self) -> u64 {
        self.used
    }

    pub(crate) fn get(&self, id: ReservationId) -> Option<&Reservation> {
        self.reservations.get(&id)
    }

    /// Waiting reservations, in the order of the queue.
    pub(crate) fn waiting(&self) -> impl Iterator<Item = (ReservationId, &Reservation)> {
        self.waiting.iter().filter_map(|position| Some((position.id, self.reservations.get(&position.id)?)))
    }

    pub(crate) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Puts a request into the queue. `bytes_per_second` is the rate by which larger ones are considered later.
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

    /// Grants a waiting reservation; any other stays as it is.
    pub(crate) fn grant(&mut self, id: ReservationId) {
        let Some(reservation) = self.reservations.get_mut(&id) else { return };
        if reservation.state == ReservationState::Waiting {
            reservation.state = ReservationState::Granted;
            self.used += reservation.request.bytes;
            self.waiting.remove(&reservation.position);
        }
    }

    /// Makes a granted reservation no larger than `bytes`; returns how much that frees.
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

    /// Takes a granted reservation from its peer, and keeps it in use until then.
    pub(crate) fn linger(&mut self, id: ReservationId, until: Micros) -> Option<Reservation> {
        let reservation = self.reservations.get_mut(&id).filter(|reservation| reservation.is_granted())?;
        reservation.state = ReservationState::Lingering { until };
        self.lingering.insert((until, id));
        Some(*reservation)
    }

    /// Removes a reservation and frees what it used; returns it in the state that it had.
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

    /// Frees what the system has discarded of closed connections.
    pub(crate) fn expire_lingering(&mut self, now: Micros) {
        while let Some(&(until, id)) = self.lingering.first() {
            if until > now {
                return;
            }
            self.lingering.pop_first();
            self.remove(id);
        }
    }

    /// The next deadline of a waiting reservation, or end of a lingering one.
    pub(crate) fn next_deadline(&self) -> Option<Micros> {
        let waiting_deadline = self.waiting().map(|(_, reservation)| reservation.request.deadline).min();
        let linger_end = self.lingering.first().map(|&(until, _)| until);
        waiting_deadline.into_iter().chain(linger_end).min()
    }
}
