//! Every decision on room and pace.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::addresses::AddressTable;
use crate::buffer_budget::{BufferBudget, Entry};
use crate::drain_rate::DrainRate;
use crate::{
    Actions, ConnectionLimitReached, Disconnect, DisconnectReason, FlowLimits, Micros, PeerId,
    PressureChange, PressureThresholds, ProgressMeter, ReservationId, ReservationRequest, Transfer,
};

#[derive(Debug)]
struct Account {
    address: Option<IpAddr>,
    /// What its claims hold.
    held: u64,
    meter: ProgressMeter,
    transfer: Option<Transfer>,
    disconnected: Option<DisconnectReason>,
}

/// The books on room and pace.
#[derive(Debug)]
pub struct FlowController {
    limits: FlowLimits,
    budget: BufferBudget,
    /// In the order in which they came, so that the same events have the same outcome.
    peers: BTreeMap<PeerId, Account>,
    addresses: AddressTable,
    next: u64,
    under_pressure: bool,
    drain_rate: DrainRate,
    /// Once the program is to end: until when answers may still be read.
    stopping: Option<Micros>,
}

impl FlowController {
    pub fn new(limits: FlowLimits) -> FlowController {
        FlowController {
            limits,
            budget: BufferBudget::default(),
            peers: BTreeMap::new(),
            addresses: AddressTable::default(),
            next: 0,
            under_pressure: false,
            drain_rate: DrainRate::start(limits.budget, 0),
            stopping: None,
        }
    }

    /// All that is granted, and what closed connections left behind.
    pub fn used(&self) -> u64 {
        self.budget.used()
    }

    pub fn limits(&self) -> &FlowLimits {
        &self.limits
    }

    /// A connection is there. `from` is its address, where addresses tell clients apart.
    pub fn register(&mut self, now: Micros, from: IpAddr) -> Result<PeerId, ConnectionLimitReached> {
        let address = self.limits.per_address.map(|_| from);
        if let (Some(most), Some(address)) = (self.limits.per_address, address) {
            if self.addresses.connections(address) >= most.connections {
                return Err(ConnectionLimitReached::PerAddress);
            }
            // Protects the others from a peer that comes again as soon as it is cut. Harms a quick peer that has
            // its address in common with a slow one, while room is short.
            if self.under_pressure && self.addresses.recently_disconnected(now, address) {
                return Err(ConnectionLimitReached::RecentlyDisconnected);
            }
            self.addresses.register(address);
        }
        let peer = PeerId(self.next);
        self.next += 1;
        let meter = ProgressMeter::new(now, self.limits.from_client);
        self.peers.insert(peer, Account { address, held: 0, meter, transfer: None, disconnected: None });
        Ok(peer)
    }

    /// Asks for buffer space; the answer comes in this or a later `Actions`, by the deadline of the request.
    pub fn reserve(&mut self, now: Micros, request: ReservationRequest) -> (ReservationId, Actions) {
        let address = self.peers.get(&request.owner.peer).and_then(|account| account.address);
        let deadline = request.deadline.min(now + self.limits.reservation_timeout);
        let request = ReservationRequest { deadline, ..request };
        let reservation = self.budget.wait(now, address, request, self.limits.to_client.rate);
        (reservation, self.settle(now))
    }

    /// From now on something waits for the peer to move.
    pub fn start_metering(&mut self, now: Micros, peer: PeerId, transfer: Transfer) -> Actions {
        let minimum = self.limits.minimum_rate(transfer);
        if let Some(account) = self.peers.get_mut(&peer) {
            if account.transfer != Some(transfer) {
                account.meter.set_minimum_rate(now, minimum);
                account.transfer = Some(transfer);
            }
            account.meter.start(now);
        }
        self.settle(now)
    }

    /// The peer took or gave so many bytes. Never a reason to do anything.
    pub fn record_progress(&mut self, now: Micros, peer: PeerId, bytes: u64) {
        if let Some(account) = self.peers.get_mut(&peer) {
            account.meter.record_progress(now, bytes);
        }
    }

    /// Nothing waits for it any more.
    pub fn stop_metering(&mut self, now: Micros, peer: PeerId) {
        if let Some(account) = self.peers.get_mut(&peer) {
            account.meter.stop(now);
        }
    }

    /// The connection is closed. What it held is given back by its reservations.
    pub fn unregister(&mut self, now: Micros, peer: PeerId) -> Actions {
        if let Some(Account { address: Some(address), .. }) = self.peers.remove(&peer) {
            self.addresses.unregister(now, address);
        }
        self.settle(now)
    }

    /// No more than so much of it is needed from now on.
    pub fn shrink(&mut self, now: Micros, reservation: ReservationId, bytes: u64) -> Actions {
        let entry = self.budget.entry(reservation).copied();
        let less = self.budget.shrink(reservation, bytes);
        self.drain_rate.record_freed(now, less);
        if let Some(entry) = entry {
            self.return_to(now, &entry, less);
        }
        self.settle(now)
    }

    /// Nothing of it is needed any more, granted or not.
    pub fn release(&mut self, now: Micros, reservation: ReservationId) -> Actions {
        if let Some((entry, true)) = self.budget.remove(reservation) {
            self.drain_rate.record_freed(now, entry.request.bytes);
            self.return_to(now, &entry, entry.request.bytes);
        }
        self.settle(now)
    }

    /// Its connection is closed and the system may still hold that much unread: closed is not gone.
    pub fn linger(&mut self, now: Micros, reservation: ReservationId) -> Actions {
        let until = now + self.limits.linger;
        if let Some(entry) = self.budget.linger(reservation, until) {
            self.return_to(now, &entry, entry.request.bytes);
        }
        self.settle(now)
    }

    /// A new connection wants a place and there is none: who is to give up theirs, if anybody.
    pub fn shed_one_connection(&mut self, now: Micros) -> Actions {
        let mut actions = self.settle(now);
        if let Some(peer) = self.behind(now).first().map(|&(_, peer)| peer) {
            self.disconnect(now, peer, DisconnectReason::ConnectionSlot, &mut actions);
        }
        actions
    }

    pub fn wake(&mut self, now: Micros) -> Actions {
        self.settle(now)
    }

    /// The operator's limits have changed. What is granted beyond them stays until it is given back; those who
    /// are behind give way for it.
    pub fn update_limits(&mut self, now: Micros, limits: FlowLimits) -> Actions {
        self.limits = limits;
        for account in self.peers.values_mut() {
            account
                .meter
                .set_minimum_rate(now, limits.minimum_rate(account.transfer.unwrap_or(Transfer::FromPeer)));
        }
        self.settle(now)
    }

    /// The program is to end: nobody is waited for any longer than for the usual readers.
    pub fn shut_down(&mut self, now: Micros) -> Actions {
        self.stopping.get_or_insert(now + self.limits.shutdown_grace);
        self.settle(now)
    }

    fn return_to(&mut self, now: Micros, entry: &Entry, bytes: u64) {
        if let Some(account) = self.peers.get_mut(&entry.request.owner.peer) {
            account.held -= bytes;
        }
        if let Some(address) = entry.address {
            self.addresses.release(now, address, bytes);
        }
    }

    /// Grants what fits, refuses what has waited for long enough, and cuts off those who must give way.
    fn settle(&mut self, now: Micros) -> Actions {
        let mut actions = Actions::default();
        self.budget.expire(now);
        let waiting: Vec<(ReservationId, Entry)> =
            self.budget.waiting().map(|(reservation, entry)| (reservation, *entry)).collect();
        // What waits for nothing but that others give way: by anybody's room, and by what the best paid keep.
        let (mut wanted, mut wanted_plain) = (0, 0);
        for (reservation, entry) in waiting {
            if self.fits(&entry) {
                self.budget.grant(reservation);
                self.account_for(&entry);
                actions.granted.push(reservation);
                continue;
            }
            let parted = self
                .peers
                .get(&entry.request.owner.peer)
                .is_none_or(|account| account.disconnected.is_some());
            let blacklisted = self.under_pressure
                && entry.address.is_some_and(|from| self.addresses.recently_disconnected(now, from));
            if parted || blacklisted || !self.could_fit(&entry) || now >= entry.request.deadline {
                self.budget.remove(reservation);
                actions.rejected.push(reservation);
            } else if self.fits_its_peer(&entry) && self.is_fair(&entry) {
                wanted += entry.request.bytes;
                wanted_plain +=
                    if entry.request.owner.priority.is_highest() { 0 } else { entry.request.bytes };
            }
        }
        let used = self.budget.used();
        let lacking_plain = if wanted_plain > 0 { used + wanted_plain } else { 0 };
        let lacking = (used + wanted).saturating_sub(self.limits.budget);
        let lacking = lacking.max(lacking_plain.saturating_sub(self.open_to(false)));
        let lacking = self.free_budget(now, lacking, &mut actions);
        self.reject_hopeless(now, lacking, &mut actions);
        self.disconnect_too_slow(now, &mut actions);
        self.update_pressure(now, &mut actions);
        actions.wake_at = self.due(now);
        actions
    }

    /// Those who are behind give way for what is lacking, also where changed limits are exceeded: who holds most
    /// first. Says how much is lacking even so.
    fn free_budget(&mut self, now: Micros, lacking: u64, actions: &mut Actions) -> u64 {
        // What those who were cut hold is on its way back.
        let returning: u64 = self
            .peers
            .values()
            .filter(|account| account.disconnected.is_some())
            .map(|account| account.held)
            .sum();
        let mut lacking = lacking.saturating_sub(returning);
        if lacking == 0 {
            return 0;
        }
        for (held, peer) in self.behind(now) {
            if lacking == 0 || held == 0 {
                break;
            }
            self.disconnect(now, peer, DisconnectReason::BufferSpace, actions);
            lacking = lacking.saturating_sub(held);
        }
        lacking
    }

    /// Protects members from attempts that wait for room which nobody gives back: each holds a place that
    /// others' requests need. Last come are told at once, as far as room does not come free quickly enough.
    /// Should also cover floods of large answers. Harms a large answer just before a pause of many readers
    /// ends.
    fn reject_hopeless(&mut self, now: Micros, lacking: u64, actions: &mut Actions) {
        let mut lacking = lacking;
        while lacking > 0 && self.drain_rate.time_for(now, lacking) > self.limits.reservation_timeout {
            let last = self.budget.waiting().filter(|(_, entry)| self.fits_its_peer(entry)).last();
            let Some((reservation, entry)) = last.map(|(reservation, entry)| (reservation, *entry)) else {
                return;
            };
            self.budget.remove(reservation);
            actions.rejected.push(reservation);
            lacking = lacking.saturating_sub(entry.request.bytes);
        }
    }

    /// When it is worth while to come again for room that was refused: those who hold it are behind by then, or done.
    pub fn retry_after(&self) -> Micros {
        self.limits.to_client.start
    }

    /// What may be granted in all: the best paid have a part to themselves.
    fn open_to(&self, best: bool) -> u64 {
        self.limits.budget.saturating_sub(if best { 0 } else { self.limits.priority_reserve })
    }

    /// Peers under the least rate, those who hold most first, among equals those who have been so for longest.
    fn behind(&self, now: Micros) -> Vec<(u64, PeerId)> {
        let mut behind: Vec<(u64, Micros, PeerId)> = self
            .peers
            .iter()
            .filter(|(_, account)| account.disconnected.is_none())
            .filter_map(|(&peer, account)| Some((account.held, account.meter.behind_since(now)?, peer)))
            .collect();
        behind.sort_by_key(|&(held, since, peer)| (std::cmp::Reverse(held), since, peer));
        behind.into_iter().map(|(held, _, peer)| (held, peer)).collect()
    }

    /// Protects the room and the books from peers that stay under the least rate though nobody asks for what
    /// they hold. Should also cover machines that vanished. Harms nobody who was quick in between.
    fn disconnect_too_slow(&mut self, now: Micros, actions: &mut Actions) {
        let ends = self.stopping.is_some_and(|until| now >= until);
        let late = |account: &Account| -> Option<DisconnectReason> {
            let behind = account.meter.behind_since(now);
            if self.stopping.is_some() && behind.is_some() || ends && account.meter.is_running() {
                return Some(DisconnectReason::Shutdown);
            }
            behind
                .filter(|&since| now - since >= self.limits.max_time_behind)
                .map(|_| DisconnectReason::TooSlow)
        };
        let uncut = self.peers.iter().filter(|(_, account)| account.disconnected.is_none());
        let late: Vec<(PeerId, DisconnectReason)> =
            uncut.filter_map(|(&peer, account)| Some((peer, late(account)?))).collect();
        late.into_iter().for_each(|(peer, reason)| self.disconnect(now, peer, reason, actions));
    }

    fn disconnect(&mut self, now: Micros, peer: PeerId, reason: DisconnectReason, actions: &mut Actions) {
        let Some(account) = self.peers.get_mut(&peer) else { return };
        account.disconnected = Some(reason);
        if let Some(address) = account.address {
            self.addresses.record_disconnect(address, now + self.limits.max_time_behind);
        }
        actions.disconnect.push(Disconnect { peer, reason });
    }

    fn fits(&self, entry: &Entry) -> bool {
        let after = self.budget.used() + entry.request.bytes;
        after <= self.open_to(entry.request.owner.priority.is_highest())
            && self.fits_its_peer(entry)
            && self.is_fair(entry)
    }

    fn fits_its_peer(&self, entry: &Entry) -> bool {
        let Some(account) = self.peers.get(&entry.request.owner.peer) else { return false };
        let of_address = |from| self.addresses.reserved(from) + entry.request.bytes;
        account.disconnected.is_none()
            && account.held + entry.request.bytes <= self.limits.per_connection
            && match (entry.address, self.limits.per_address) {
                (Some(from), Some(most)) => of_address(from) <= most.budget,
                _ => true,
            }
    }

    /// Whether it could ever be granted.
    fn could_fit(&self, entry: &Entry) -> bool {
        entry.request.bytes
            <= self.open_to(entry.request.owner.priority.is_highest()).min(self.limits.per_connection)
    }

    /// Protects those who hold little where room is short: who holds something already gets no more than an equal
    /// part of it all. Should also cover one connection with many statements under way. Harms a single peer with
    /// many large answers at a time when most others want little.
    fn is_fair(&self, entry: &Entry) -> bool {
        let held = self.peers.get(&entry.request.owner.peer).map_or(0, |account| account.held);
        let after = self.budget.used() + entry.request.bytes;
        if held == 0 || entry.request.owner.priority.is_highest() || after <= self.limits.pressure.enter {
            return true;
        }
        let holders = self.peers.values().filter(|account| account.held > 0).count() as u64;
        held + entry.request.bytes <= self.limits.budget / holders.max(1)
    }

    fn account_for(&mut self, entry: &Entry) {
        if let Some(account) = self.peers.get_mut(&entry.request.owner.peer) {
            account.held += entry.request.bytes;
        }
        if let Some(address) = entry.address {
            self.addresses.reserve(address, entry.request.bytes);
        }
    }

    /// Room is short from a level to enter to a lower one to leave, or while anybody waits for it.
    fn update_pressure(&mut self, now: Micros, actions: &mut Actions) {
        let PressureThresholds { enter, leave } = self.limits.pressure;
        let used = self.budget.used();
        let under_pressure = match self.under_pressure {
            true => used >= leave || self.budget.has_waiting(),
            false => used > enter,
        };
        if !under_pressure {
            self.drain_rate = DrainRate::start(self.limits.budget, now);
        }
        if std::mem::replace(&mut self.under_pressure, under_pressure) != under_pressure {
            actions.pressure =
                Some(PressureChange { under_pressure, used, waiting: self.budget.waiting().count() });
        }
    }

    fn due(&self, now: Micros) -> Option<Micros> {
        let meters =
            self.peers.values().filter(|account| account.disconnected.is_none()).filter_map(|account| {
                let falls = account.meter.deadline()?;
                let at_once = self.budget.has_waiting() && account.held > 0 || self.stopping.is_some();
                // One that is behind already was passed over: the next to happen to it is that it is overdue.
                Some(if at_once && falls >= now { falls + 1 } else { falls + self.limits.max_time_behind })
            });
        let stops = self.stopping.filter(|&until| until > now);
        meters.chain(self.budget.due()).chain(stops).min()
    }
}
