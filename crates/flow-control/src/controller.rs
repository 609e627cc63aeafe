//! The controller: accounts for peers and reservations, and decides after each event who is served and who gives way.

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
/// Every method that changes something may grant, reject or disconnect, and returns that as [`Actions`]. An id of a peer or
/// reservation that is gone is ignored: a late call does no harm.
#[derive(Debug)]
pub struct FlowController {
    limits: FlowLimits,
    budget: BufferBudget,
    peers: PeerTable,
    pressure: Pressure,
    /// Set once the proxy shuts down: until when responses may still be read.
    shutdown_deadline: Option<Micros>,
}

/// Bytes that wait for nothing but that others free space.
#[derive(Clone, Copy, Debug, Default)]
struct Demand {
    /// Of all priorities.
    total: u64,
    /// Of those that may not use the priority reserve.
    normal: u64,
}

impl FlowController {
    /// A controller without peers.
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

    /// Bytes of the budget in use: what is granted, and what closed connections left with the system.
    #[must_use]
    pub fn used(&self) -> u64 {
        self.budget.used()
    }

    /// The limits in force.
    #[must_use]
    pub fn limits(&self) -> &FlowLimits {
        &self.limits
    }

    /// How long a client is to wait before it retries what was rejected for lack of buffer space: those who hold it have
    /// freed it by then, or are behind and can be disconnected.
    #[must_use]
    pub fn retry_after(&self) -> Micros {
        self.limits.to_client.start_allowance
    }

    /// Accepts a connection from this address.
    ///
    /// # Errors
    ///
    /// Where [`FlowLimits::per_address`] is set: the address has all its connections, or one of its clients was just
    /// disconnected and space is short. The second keeps a client from returning at once after it was disconnected; the cost
    /// is borne by a quick client that shares the address of a slow one.
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

    /// The connection is closed. Its reservations are released on their own, by [`FlowController::release`] or
    /// [`FlowController::linger`].
    pub fn unregister(&mut self, now: Micros, peer: PeerId) -> Actions {
        self.peers.unregister(now, peer);
        self.evaluate(now)
    }

    /// Asks for buffer space. The reservation is among the granted or rejected ones of these or later actions, at the latest
    /// after [`FlowLimits::reservation_timeout`].
    pub fn reserve(&mut self, now: Micros, request: ReservationRequest) -> (ReservationId, Actions) {
        let deadline = request.deadline.min(now + self.limits.reservation_timeout);
        let request = ReservationRequest { deadline, ..request };
        let address = self.peers.address(request.owner.peer);
        let rate = self.limits.to_client.bytes_per_second;
        let reservation = self.budget.enqueue(now, address, request, rate);
        (reservation, self.evaluate(now))
    }

    /// No more than `bytes` of a granted reservation are needed from now on.
    pub fn shrink(&mut self, now: Micros, reservation: ReservationId, bytes: u64) -> Actions {
        let before = self.budget.get(reservation).copied();
        let freed = self.budget.shrink(reservation, bytes);
        self.pressure.record_freed(now, freed);
        if let Some(before) = before {
            self.peers.refund(now, &before, freed);
        }
        self.evaluate(now)
    }

    /// A reservation is needed no longer, granted or waiting.
    pub fn release(&mut self, now: Micros, reservation: ReservationId) -> Actions {
        let removed = self.budget.remove(reservation);
        if let Some(removed) = removed.filter(Reservation::is_granted) {
            self.pressure.record_freed(now, removed.bytes());
            self.peers.refund(now, &removed, removed.bytes());
        }
        self.evaluate(now)
    }

    /// The connection of a granted reservation is closed, and the system may hold its bytes unread for
    /// [`FlowLimits::linger_timeout`]: they stay in use for that long, though no peer is charged for them.
    pub fn linger(&mut self, now: Micros, reservation: ReservationId) -> Actions {
        let until = now + self.limits.linger_timeout;
        if let Some(left) = self.budget.linger(reservation, until) {
            self.peers.refund(now, &left, left.bytes());
        }
        self.evaluate(now)
    }

    /// The peer is waited for from now on, and measured against the minimum rate of this transfer.
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

    /// The peer read or sent this many bytes. Never a reason to act: whoever waits is woken when the peer would have fallen
    /// behind without them.
    pub fn record_progress(&mut self, now: Micros, peer: PeerId, bytes: u64) {
        if let Some(account) = self.peers.get_mut(peer) {
            account.meter.record_progress(now, bytes);
        }
    }

    /// The peer is waited for no longer.
    pub fn stop_metering(&mut self, now: Micros, peer: PeerId) {
        if let Some(account) = self.peers.get_mut(peer) {
            account.meter.stop(now);
        }
    }

    /// A new client found no connection slot: disconnects the peer behind its rate that has most reserved, if there is one.
    pub fn shed_one_connection(&mut self, now: Micros) -> Actions {
        let mut actions = self.evaluate(now);
        if let Some(slow_peer) = self.peers.slow_peers(now).first() {
            self.disconnect(now, slow_peer.peer, DisconnectReason::ConnectionSlot, &mut actions);
        }
        actions
    }

    /// Does what is due; to be called at [`Actions::wake_at`].
    pub fn wake(&mut self, now: Micros) -> Actions {
        self.evaluate(now)
    }

    /// Puts other limits in force. What was granted beyond them stays until it is released; peers behind their rate are
    /// disconnected for it.
    pub fn update_limits(&mut self, now: Micros, limits: FlowLimits) -> Actions {
        self.limits = limits;
        for account in self.peers.accounts_mut() {
            let transfer = account.transfer.unwrap_or(Transfer::FromPeer);
            account.meter.set_minimum_rate(now, limits.minimum_rate(transfer));
        }
        self.evaluate(now)
    }

    /// The proxy shuts down: peers behind their rate are disconnected at once, and all that are waited for after
    /// [`FlowLimits::shutdown_grace`].
    pub fn shut_down(&mut self, now: Micros) -> Actions {
        self.shutdown_deadline.get_or_insert(now + self.limits.shutdown_grace);
        self.evaluate(now)
    }

    /// Decides all that follows from the state at `now`. The order matters: what expired is freed before anything is granted,
    /// and peers are disconnected only for space that is still lacking then.
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

    /// Grants what fits and rejects what cannot be waited for; returns what the rest lacks.
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

    fn must_reject(&self, now: Micros, reservation: &Reservation) -> bool {
        !self.peers.is_connected(reservation.peer())
            || reservation.address.is_some_and(|address| self.is_penalized(now, address))
            || !self.admission().can_ever_grant(reservation)
            || now >= reservation.request.deadline
    }

    /// Whether a client of this address was just disconnected, which counts only while space is short.
    fn is_penalized(&self, now: Micros, address: IpAddr) -> bool {
        self.pressure.is_active() && self.peers.addresses.has_recent_disconnect(now, address)
    }

    /// Bytes that must be freed to grant what is demanded; also what exceeds limits that were lowered.
    fn shortfall(&self, demand: Demand) -> u64 {
        let used = self.budget.used();
        let total_shortfall = (used + demand.total).saturating_sub(self.limits.budget);
        if demand.normal == 0 {
            return total_shortfall;
        }
        let available = self.limits.available_to(Priority::Normal);
        total_shortfall.max((used + demand.normal).saturating_sub(available))
    }

    /// Disconnects peers behind their rate until enough is freed, those with most reserved first; returns how much is
    /// lacking even so. What peers hold that are being disconnected already is about to come back, and is counted first.
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

    /// Rejects at once what will not be granted in time at the rate at which space is freed, last in the queue first.
    ///
    /// An attempt that waits for space holds a slot at its member, which other requests need: without this a flood of large
    /// responses takes all of them. The cost: a large response is rejected just before many readers go on.
    fn reject_expected_timeouts(&mut self, now: Micros, shortfall: u64, actions: &mut Actions) {
        let mut shortfall = shortfall;
        while shortfall > 0 && self.pressure.time_to_free(now, shortfall) > self.limits.reservation_timeout {
            let Some((id, reservation)) = self.last_within_peer_limits() else { return };
            self.budget.remove(id);
            actions.rejected.push(id);
            shortfall = shortfall.saturating_sub(reservation.bytes());
        }
    }

    /// The last reservation of the queue that its peer's limits would allow.
    fn last_within_peer_limits(&self) -> Option<(ReservationId, Reservation)> {
        let admission = self.admission();
        let waiting =
            self.budget.waiting().filter(|(_, reservation)| admission.is_within_peer_limits(reservation));
        waiting.last().map(|(id, reservation)| (id, *reservation))
    }

    /// Disconnects peers that have been behind for too long though nobody needs what they hold: machines that vanished would
    /// stay for ever otherwise. A peer that caught up in between is spared.
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

    /// Why a peer is to be disconnected even if nobody needs what it holds; `None` where it is not.
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

    fn disconnect(&mut self, now: Micros, peer: PeerId, reason: DisconnectReason, actions: &mut Actions) {
        self.peers.mark_disconnecting(peer, now + self.limits.max_slow_time);
        actions.disconnect.push(Disconnect { peer, reason });
    }

    fn next_wake(&self, now: Micros) -> Option<Micros> {
        let peer_checks = self.peers.connected().filter_map(|(_, account)| self.next_check(now, account));
        let shutdown = self.shutdown_deadline.filter(|&at| at > now);
        peer_checks.chain(self.budget.next_deadline()).chain(shutdown).min()
    }

    /// When to look at a peer again: one that falls behind may be disconnected at once where others wait for what it holds,
    /// or at shutdown. Of one that was spared though it is behind, the next to happen is that it is overdue.
    fn next_check(&self, now: Micros, account: &PeerAccount) -> Option<Micros> {
        let deadline = account.meter.deadline()?;
        let space_is_needed = self.budget.has_waiting() && account.reserved > 0;
        let may_disconnect_at_once = (space_is_needed || self.shutdown_deadline.is_some()) && deadline >= now;
        Some(if may_disconnect_at_once { deadline + 1 } else { deadline + self.limits.max_slow_time })
    }

    fn admission(&self) -> Admission<'_> {
        Admission { limits: &self.limits, budget: &self.budget, peers: &self.peers }
    }
}

impl Demand {
    fn add(&mut self, reservation: &Reservation) {
        self.total += reservation.bytes();
        if reservation.priority() == Priority::Normal {
            self.normal += reservation.bytes();
        }
    }
}
