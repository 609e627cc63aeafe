//! The controller: keeps accounts of peers and reservations, and decides after each event which reservations to grant
//! or reject and which peers to disconnect.

use std::net::IpAddr;

use crate::admission::Admission;
use crate::buffer_budget::{BufferBudget, Reservation};
use crate::peers::{PeerAccount, PeerTable};
use crate::pressure::Pressure;
use crate::{
    Actions, ConnectionLimitReached, Disconnect, DisconnectReason, FlowLimits, Micros, PeerId, Priority,
    ReservationId, ReservationRequest, Transfer,
};

/// Shares the buffer budget among peers, and disconnects slow ones when others need it.
///
/// Every method that returns [`Actions`] may grant, reject or disconnect. Calls with the id of a peer or reservation
/// that no longer exists have no effect, so late calls are harmless.
#[derive(Debug)]
pub struct FlowController {
    limits: FlowLimits,
    budget: BufferBudget,
    peers: PeerTable,
    pressure: Pressure,
    /// End of the grace period for reading responses; `None` until the proxy shuts down.
    shutdown_deadline: Option<Micros>,
}

/// Bytes that eligible waiting reservations ask for but that the budget cannot grant now.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Bytes of reservations of all priorities.
    total: u64,
    /// Bytes of reservations that may not use the priority reserve.
    normal: u64,
}

impl FlowController {
    /// Creates a controller without peers.
    #[must_use]
    pub fn new(limits: FlowLimits) -> FlowController {
        FlowController {
            limits,
            budget: BufferBudget::default(),
            peers: PeerTable::default(),
            pressure: Pressure::new(limits.budget),
            shutdown_deadline: None,
        }
    }

    /// Bytes of the budget in use: granted reservations, and what closed connections left in the kernel.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.budget.used()
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> &FlowLimits {
        &self.limits
    }

    /// Time that a client should wait before it retries a request that was rejected for lack of buffer space. By then
    /// the peers that hold the space have freed it, or are slow and can be disconnected.
    #[must_use]
    pub fn retry_after(&self) -> Micros {
        self.limits.to_client.start_allowance
    }

    /// Whether so many bytes can be reserved without making buffer space short.
    #[must_use]
    pub fn has_spare_space(&self, bytes: u64) -> bool {
        self.budget.used() + bytes <= self.limits.pressure.leave
    }

    /// Accepts a connection from this address.
    ///
    /// # Errors
    ///
    /// Only if [`FlowLimits::per_address`] is set: the address has reached its connection limit, or one of its
    /// clients was disconnected recently and buffer space is short. The second rule keeps a disconnected client from
    /// reconnecting at once. The cost is that a fast client that shares the address with a slow one is rejected as
    /// well.
    pub fn register(&mut self, now: Micros, address: IpAddr) -> Result<PeerId, ConnectionLimitReached> {
        let Some(per_address) = self.limits.per_address else {
            return Ok(self.peers.register(now, None, self.limits.from_client));
        };
        if self.peers.addresses.connections(address) >= per_address.connections {
            return Err(ConnectionLimitReached::PerAddress);
        }
        if self.is_penalized(now, address) {
            return Err(ConnectionLimitReached::RecentlyDisconnected);
        }
        Ok(self.peers.register(now, Some(address), self.limits.from_client))
    }

    /// Removes a peer whose connection is closed. Its reservations are not released by this; call
    /// [`FlowController::release`] or [`FlowController::linger`] for each of them.
    pub fn unregister(&mut self, now: Micros, peer: PeerId) -> Actions {
        self.peers.unregister(now, peer);
        self.evaluate(now)
    }

    /// Requests buffer space. The reservation is granted or rejected by the returned actions or by later ones, at the
    /// latest after [`FlowLimits::reservation_timeout`].
    pub fn reserve(&mut self, now: Micros, request: ReservationRequest) -> (ReservationId, Actions) {
        let deadline = request.deadline.min(now + self.limits.reservation_timeout);
        let request = ReservationRequest { deadline, ..request };
        let address = self.peers.address(request.owner.peer);
        let rate = self.limits.to_client.bytes_per_second;
        let reservation = self.budget.enqueue(now, address, request, rate);
        (reservation, self.evaluate(now))
    }

    /// Reduces a granted reservation to at most `bytes`.
    pub fn shrink(&mut self, now: Micros, reservation: ReservationId, bytes: u64) -> Actions {
        let before = self.budget.get(reservation).copied();
        let freed = self.budget.shrink(reservation, bytes);
        self.pressure.record_freed(now, freed);
        if let Some(before) = before {
            self.peers.refund(now, &before, freed);
        }
        self.evaluate(now)
    }

    /// Releases a reservation, whether it waits or is granted.
    pub fn release(&mut self, now: Micros, reservation: ReservationId) -> Actions {
        let removed = self.budget.remove(reservation);
        if let Some(removed) = removed.filter(Reservation::is_granted) {
            self.pressure.record_freed(now, removed.bytes());
            self.peers.refund(now, &removed, removed.bytes());
        }
        self.evaluate(now)
    }

    /// Keeps the bytes of a granted reservation in use for [`FlowLimits::linger_timeout`] after its connection was
    /// closed, because the kernel may hold them unread for that long. They are no longer charged to a peer.
    pub fn linger(&mut self, now: Micros, reservation: ReservationId) -> Actions {
        let until = now + self.limits.linger_timeout;
        if let Some(left) = self.budget.linger(reservation, until) {
            self.peers.refund(now, &left, left.bytes());
        }
        self.evaluate(now)
    }

    /// Starts to measure a peer against the minimum rate of this transfer, because the proxy is waiting for it.
    pub fn start_metering(&mut self, now: Micros, peer: PeerId, transfer: Transfer) -> Actions {
        let minimum = self.limits.minimum_rate(transfer);
        if let Some(account) = self.peers.get_mut(peer) {
            if account.transfer != Some(transfer) {
                account.meter.set_minimum_rate(now, minimum);
                account.transfer = Some(transfer);
            }
            account.meter.start(now);
        }
        self.evaluate(now)
    }

    /// Records that the peer read or sent this many bytes. Progress never requires actions: the wake-up that is
    /// already scheduled is for the time at which the peer would have become slow without it.
    pub fn record_progress(&mut self, now: Micros, peer: PeerId, bytes: u64) {
        if let Some(account) = self.peers.get_mut(peer) {
            account.meter.record_progress(now, bytes);
        }
    }

    /// Stops measuring a peer, because the proxy is no longer waiting for it.
    pub fn stop_metering(&mut self, now: Micros, peer: PeerId) {
        if let Some(account) = self.peers.get_mut(peer) {
            account.meter.stop(now);
        }
    }

    /// Frees a connection slot for a new client: disconnects the slow peer with the most bytes reserved, if any peer
    /// is slow.
    pub fn shed_one_connection(&mut self, now: Micros) -> Actions {
        let mut actions = self.evaluate(now);
        if let Some(slow_peer) = self.peers.slow_peers(now).first() {
            self.disconnect(now, slow_peer.peer, DisconnectReason::ConnectionSlot, &mut actions);
        }
        actions
    }

    /// Carries out what is due at `now`. Call it at [`Actions::wake_at`].
    pub fn wake(&mut self, now: Micros) -> Actions {
        self.evaluate(now)
    }

    /// Replaces the limits. Reservations that exceed the new ones stay granted until they are released, but slow
    /// peers are disconnected to free the excess.
    pub fn update_limits(&mut self, now: Micros, limits: FlowLimits) -> Actions {
        self.limits = limits;
        for account in self.peers.accounts_mut() {
            let transfer = account.transfer.unwrap_or(Transfer::FromPeer);
            account.meter.set_minimum_rate(now, limits.minimum_rate(transfer));
        }
        self.evaluate(now)
    }

    /// Starts the shutdown. Slow peers are disconnected at once, and after [`FlowLimits::shutdown_grace`] every peer
    /// that is being measured.
    pub fn shut_down(&mut self, now: Micros) -> Actions {
        self.shutdown_deadline.get_or_insert(now + self.limits.shutdown_grace);
        self.evaluate(now)
    }

    /// Applies all rules to the state at `now`. The order matters: expired lingering reservations are freed before
    /// anything is granted, and peers are disconnected only for the space that is still missing after that.
    fn evaluate(&mut self, now: Micros) -> Actions {
        let mut actions = Actions::default();
        self.budget.expire_lingering(now);
        let demand = self.process_queue(now, &mut actions);
        let shortfall = self.shortfall(demand);
        let shortfall = self.disconnect_for_space(now, shortfall, &mut actions);
        self.reject_expected_timeouts(now, shortfall, &mut actions);
        self.disconnect_overdue(now, &mut actions);
        actions.pressure = self.pressure.update(now, &self.limits, &self.budget);
        actions.wake_at = self.next_wake(now);
        actions
    }

    /// Grants the reservations that fit and rejects those that must not wait. Returns the demand of the eligible ones
    /// that keep waiting.
    fn process_queue(&mut self, now: Micros, actions: &mut Actions) -> Demand {
        let mut demand = Demand::default();
        let waiting: Vec<(ReservationId, Reservation)> =
            self.budget.waiting().map(|(id, reservation)| (id, *reservation)).collect();
        for (id, reservation) in waiting {
            if self.admission().can_grant_now(&reservation) {
                self.budget.grant(id);
                self.peers.charge(&reservation);
                actions.granted.push(id);
            } else if self.must_reject(now, &reservation) {
                self.budget.remove(id);
                actions.rejected.push(id);
            } else if self.admission().is_eligible(&reservation) {
                demand.add(&reservation);
            }
        }
        demand
    }

    /// Whether a reservation that cannot be granted now must not wait: its peer is gone or being disconnected, its
    /// address is penalized, it can never be granted, or its deadline has passed.
    fn must_reject(&self, now: Micros, reservation: &Reservation) -> bool {
        !self.peers.is_connected(reservation.peer())
            || reservation.address.is_some_and(|address| self.is_penalized(now, address))
            || !self.admission().can_ever_grant(reservation)
            || now >= reservation.request.deadline
    }

    /// Whether a client of this address was disconnected recently while buffer space is short. Without a shortage a
    /// recent disconnect has no consequences.
    fn is_penalized(&self, now: Micros, address: IpAddr) -> bool {
        self.pressure.is_active() && self.peers.addresses.has_recent_disconnect(now, address)
    }

    /// Bytes that must be freed to satisfy the demand, including what is in use beyond limits that were lowered.
    fn shortfall(&self, demand: Demand) -> u64 {
        let used = self.budget.used();
        let total_shortfall = (used + demand.total).saturating_sub(self.limits.budget);
        if demand.normal == 0 {
            return total_shortfall;
        }
        let available = self.limits.available_to(Priority::Normal);
        total_shortfall.max((used + demand.normal).saturating_sub(available))
    }

    /// Disconnects slow peers, those with the most bytes reserved first, until enough space will be freed. Returns
    /// the bytes that are still missing. Bytes of peers that are already being disconnected will be freed soon and
    /// are subtracted first.
    fn disconnect_for_space(&mut self, now: Micros, shortfall: u64, actions: &mut Actions) -> u64 {
        let mut shortfall = shortfall.saturating_sub(self.peers.reserved_by_disconnecting());
        if shortfall == 0 {
            return 0;
        }
        for slow_peer in self.peers.slow_peers(now) {
            if shortfall == 0 || slow_peer.reserved == 0 {
                break;
            }
            self.disconnect(now, slow_peer.peer, DisconnectReason::BufferSpace, actions);
            shortfall = shortfall.saturating_sub(slow_peer.reserved);
        }
        shortfall
    }

    /// Rejects reservations, from the end of the queue, that cannot be granted within
    /// [`FlowLimits::reservation_timeout`] at the rate at which space is being freed.
    ///
    /// An attempt that waits for space holds a slot at its member, which other requests need. Without this rule a
    /// flood of large responses takes all slots. The cost is that a large response may be rejected just before many
    /// clients continue reading.
    fn reject_expected_timeouts(&mut self, now: Micros, shortfall: u64, actions: &mut Actions) {
        let mut shortfall = shortfall;
        while shortfall > 0 && self.pressure.time_to_free(now, shortfall) > self.limits.reservation_timeout {
            let Some((id, reservation)) = self.last_within_peer_limits() else { return };
            self.budget.remove(id);
            actions.rejected.push(id);
            shortfall = shortfall.saturating_sub(reservation.bytes());
        }
    }

    /// The last reservation in the queue that its peer's own limits allow.
    fn last_within_peer_limits(&self) -> Option<(ReservationId, Reservation)> {
        let admission = self.admission();
        let waiting =
            self.budget.waiting().filter(|(_, reservation)| admission.is_within_peer_limits(reservation));
        waiting.last().map(|(id, reservation)| (id, *reservation))
    }

    /// Disconnects peers that have been slow for too long although nobody needs what they hold. Otherwise the
    /// connections of machines that vanished would stay forever. A peer that catches up before that is kept.
    fn disconnect_overdue(&mut self, now: Micros, actions: &mut Actions) {
        let overdue: Vec<Disconnect> = self
            .peers
            .connected()
            .filter_map(|(peer, account)| Some(Disconnect { peer, reason: self.overdue(now, account)? }))
            .collect();
        for Disconnect { peer, reason } in overdue {
            self.disconnect(now, peer, reason, actions);
        }
    }

    /// Why a peer must be disconnected even if nobody needs what it holds; `None` if it may stay.
    fn overdue(&self, now: Micros, account: &PeerAccount) -> Option<DisconnectReason> {
        let slow_since = account.meter.slow_since(now);
        if let Some(shutdown_deadline) = self.shutdown_deadline {
            let grace_is_over = now >= shutdown_deadline && account.meter.is_running();
            if slow_since.is_some() || grace_is_over {
                return Some(DisconnectReason::Shutdown);
            }
        }
        let too_slow = now - slow_since? >= self.limits.max_slow_time;
        too_slow.then_some(DisconnectReason::TooSlow)
    }

    /// Marks a peer as being disconnected and adds it to the actions. Its address counts as recently disconnected for
    /// [`FlowLimits::max_slow_time`].
    fn disconnect(&mut self, now: Micros, peer: PeerId, reason: DisconnectReason, actions: &mut Actions) {
        self.peers.mark_disconnecting(peer, now + self.limits.max_slow_time);
        actions.disconnect.push(Disconnect { peer, reason });
    }

    /// The next time at which a rule may apply without another event; `None` if there is none.
    fn next_wake(&self, now: Micros) -> Option<Micros> {
        let peer_checks = self.peers.connected().filter_map(|(_, account)| self.next_check(now, account));
        let shutdown = self.shutdown_deadline.filter(|&at| at > now);
        peer_checks.chain(self.budget.next_deadline()).chain(shutdown).min()
    }

    /// When to check a peer again. If others wait for the bytes that it holds, or at shutdown, that is just after it
    /// becomes slow, as it may then be disconnected at once. Otherwise, also for a peer that is slow already and was
    /// kept, it is when the peer has been slow for [`FlowLimits::max_slow_time`]. `None` while the peer is not being
    /// measured.
    fn next_check(&self, now: Micros, account: &PeerAccount) -> Option<Micros> {
        let deadline = account.meter.deadline()?;
        let space_is_needed = self.budget.has_waiting() && account.reserved > 0;
        let may_disconnect_at_once = (space_is_needed || self.shutdown_deadline.is_some()) && deadline >= now;
        Some(if may_disconnect_at_once { deadline + 1 } else { deadline + self.limits.max_slow_time })
    }

    /// The admission rules over the present state.
    fn admission(&self) -> Admission<'_> {
        Admission { limits: &self.limits, budget: &self.budget, peers: &self.peers }
    }
}

impl Demand {
    /// Adds the bytes of a waiting reservation.
    fn add(&mut self, reservation: &Reservation) {
        self.total += reservation.bytes();
        if reservation.priority() == Priority::Normal {
            self.normal += reservation.bytes();
        }
    }
}
