//! Every decision on room and pace.

use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::addresses::Addresses;
use crate::handles::{Claim, Peer};
use crate::room::{Entry, Room};
use crate::turnover::Turnover;
use crate::{Actions, Ask, Bounds, Meter, Micros, Pressure, TooMany, Way, Why};

impl Peer {
    /// Asks for room; the answer comes in this or a later `Actions`, by the time that the ask names.
    pub fn asks(self, pace: &mut Pace, now: Micros, ask: Ask) -> (Claim, Actions) {
        let address = pace.peers.get(&self).and_then(|account| account.address);
        let ask = Ask { until: ask.until.min(now + pace.bounds.patience), ..ask };
        let claim = pace.room.wait(now, self, address, ask, pace.bounds.reading.rate);
        (claim, pace.settle(now))
    }

    /// From now on something waits for the peer to move.
    pub fn owes(self, pace: &mut Pace, now: Micros, way: Way) -> Actions {
        let least = pace.bounds.least(way);
        if let Some(account) = pace.peers.get_mut(&self) {
            if account.way != Some(way) {
                account.meter.under(least, now);
                account.way = Some(way);
            }
            account.meter.owes(now);
        }
        pace.settle(now)
    }

    /// The peer took or gave so many bytes. Never a reason to do anything.
    pub fn moved(self, pace: &mut Pace, now: Micros, bytes: u64) {
        if let Some(account) = pace.peers.get_mut(&self) {
            account.meter.moved(now, bytes);
        }
    }

    /// Nothing waits for it any more.
    pub fn rests(self, pace: &mut Pace, now: Micros) {
        if let Some(account) = pace.peers.get_mut(&self) {
            account.meter.rests(now);
        }
    }

    /// The connection is closed. What it held is given back by its claims.
    pub fn left(self, pace: &mut Pace, now: Micros) -> Actions {
        if let Some(Account { address: Some(address), .. }) = pace.peers.remove(&self) {
            pace.addresses.left(now, address);
        }
        pace.settle(now)
    }
}

impl Claim {
    /// No more than so much of it is needed from now on.
    pub fn shrinks(self, pace: &mut Pace, now: Micros, bytes: u64) -> Actions {
        let entry = pace.room.entry(self).copied();
        let less = pace.room.shrink(self, bytes);
        pace.turnover.freed(now, less);
        if let Some(entry) = entry {
            pace.return_to(now, &entry, less);
        }
        pace.settle(now)
    }

    /// Nothing of it is needed any more, granted or not.
    pub fn given_back(self, pace: &mut Pace, now: Micros) -> Actions {
        if let Some((entry, true)) = pace.room.remove(self) {
            pace.turnover.freed(now, entry.ask.bytes);
            pace.return_to(now, &entry, entry.ask.bytes);
        }
        pace.settle(now)
    }

    /// Its connection is closed and the system may still hold that much unread: closed is not gone.
    pub fn lingers(self, pace: &mut Pace, now: Micros) -> Actions {
        let until = now + pace.bounds.lingering;
        if let Some(entry) = pace.room.linger(self, until) {
            pace.return_to(now, &entry, entry.ask.bytes);
        }
        pace.settle(now)
    }
}

#[derive(Debug)]
struct Account {
    address: Option<IpAddr>,
    /// What its claims hold.
    held: u64,
    meter: Meter,
    way: Option<Way>,
    cut: Option<Why>,
}

/// The books on room and pace.
#[derive(Debug)]
pub struct Pace {
    bounds: Bounds,
    room: Room,
    /// In the order in which they came, so that the same events have the same outcome.
    peers: BTreeMap<Peer, Account>,
    addresses: Addresses,
    next: u64,
    short: bool,
    turnover: Turnover,
    /// Once the program is to end: until when answers may still be read.
    stopping: Option<Micros>,
}

impl Pace {
    pub fn start(bounds: Bounds) -> Pace {
        Pace {
            bounds,
            room: Room::default(),
            peers: BTreeMap::new(),
            addresses: Addresses::default(),
            next: 0,
            short: false,
            turnover: Turnover::start(bounds.room, 0),
            stopping: None,
        }
    }

    /// All that is granted, and what closed connections left behind.
    pub fn used(&self) -> u64 {
        self.room.used()
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    /// A connection is there. `from` is its address, where addresses tell clients apart.
    pub fn meet(&mut self, now: Micros, from: IpAddr) -> Result<Peer, TooMany> {
        let address = self.bounds.address.map(|_| from);
        if let (Some(most), Some(address)) = (self.bounds.address, address) {
            if self.addresses.connections(address) >= most.connections {
                return Err(TooMany::AtAddress);
            }
            // Protects the others from a peer that comes again as soon as it is cut. Harms a quick peer that has
            // its address in common with a slow one, while room is short.
            if self.short && self.addresses.cut_lately(now, address) {
                return Err(TooMany::CutLately);
            }
            self.addresses.met(address);
        }
        let peer = Peer(self.next);
        self.next += 1;
        let meter = Meter::start(self.bounds.sending, now);
        self.peers.insert(peer, Account { address, held: 0, meter, way: None, cut: None });
        Ok(peer)
    }

    /// A new connection wants a place and there is none: who is to give up theirs, if anybody.
    pub fn slot_wanted(&mut self, now: Micros) -> Actions {
        let mut actions = self.settle(now);
        if let Some(peer) = self.behind(now).first().map(|&(_, peer)| peer) {
            self.cut(now, peer, Why::Slot, &mut actions);
        }
        actions
    }

    pub fn wake(&mut self, now: Micros) -> Actions {
        self.settle(now)
    }

    /// The operator's limits have changed. What is granted beyond them stays until it is given back; those who
    /// are behind give way for it.
    pub fn rebound(&mut self, now: Micros, bounds: Bounds) -> Actions {
        self.bounds = bounds;
        for account in self.peers.values_mut() {
            account.meter.under(bounds.least(account.way.unwrap_or(Way::Sending)), now);
        }
        self.settle(now)
    }

    /// The program is to end: nobody is waited for any longer than for the usual readers.
    pub fn stop(&mut self, now: Micros) -> Actions {
        self.stopping.get_or_insert(now + self.bounds.stopping);
        self.settle(now)
    }

    fn return_to(&mut self, now: Micros, entry: &Entry, bytes: u64) {
        if let Some(account) = self.peers.get_mut(&entry.peer) {
            account.held -= bytes;
        }
        if let Some(address) = entry.address {
            self.addresses.gave_back(now, address, bytes);
        }
    }

    /// Grants what fits, refuses what has waited for long enough, and cuts off those who must give way.
    fn settle(&mut self, now: Micros) -> Actions {
        let mut actions = Actions::default();
        self.room.expire(now);
        let waiting: Vec<(Claim, Entry)> =
            self.room.waiting().map(|(claim, entry)| (claim, *entry)).collect();
        // What waits for nothing but that others give way: by anybody's room, and by what the best paid keep.
        let (mut wanted, mut wanted_plain) = (0, 0);
        for (claim, entry) in waiting {
            if self.fits(&entry) {
                self.room.grant(claim);
                self.account_for(&entry);
                actions.granted.push(claim);
                continue;
            }
            let parted = self.peers.get(&entry.peer).is_none_or(|account| account.cut.is_some());
            let blacklisted =
                self.short && entry.address.is_some_and(|from| self.addresses.cut_lately(now, from));
            if parted || blacklisted || !self.could_fit(&entry) || now >= entry.ask.until {
                self.room.remove(claim);
                actions.refused.push(claim);
            } else if self.fits_its_peer(&entry) && self.is_fair(&entry) {
                wanted += entry.ask.bytes;
                wanted_plain += if entry.ask.best { 0 } else { entry.ask.bytes };
            }
        }
        let used = self.room.used();
        let lacking_plain = if wanted_plain > 0 { used + wanted_plain } else { 0 };
        let lacking = (used + wanted).saturating_sub(self.bounds.room);
        let lacking = lacking.max(lacking_plain.saturating_sub(self.open_to(false)));
        let lacking = self.make_room(now, lacking, &mut actions);
        self.refuse_hopeless(now, lacking, &mut actions);
        self.cut_overdue(now, &mut actions);
        self.judge_pressure(now, &mut actions);
        actions.wake_at = self.due(now);
        actions
    }

    /// Those who are behind give way for what is lacking, also where changed limits are exceeded: who holds most
    /// first. Says how much is lacking even so.
    fn make_room(&mut self, now: Micros, lacking: u64, actions: &mut Actions) -> u64 {
        // What those who were cut hold is on its way back.
        let returning: u64 =
            self.peers.values().filter(|account| account.cut.is_some()).map(|account| account.held).sum();
        let mut lacking = lacking.saturating_sub(returning);
        if lacking == 0 {
            return 0;
        }
        for (held, peer) in self.behind(now) {
            if lacking == 0 || held == 0 {
                break;
            }
            self.cut(now, peer, Why::Room, actions);
            lacking = lacking.saturating_sub(held);
        }
        lacking
    }

    /// Protects members from attempts that wait for room which nobody gives back: each holds a place that
    /// others' requests need. Last come are told at once, as far as room does not come free quickly enough.
    /// Should also cover floods of large answers. Harms a large answer just before a pause of many readers
    /// ends.
    fn refuse_hopeless(&mut self, now: Micros, lacking: u64, actions: &mut Actions) {
        let mut lacking = lacking;
        while lacking > 0 && self.turnover.time_for(now, lacking) > self.bounds.patience {
            let last = self.room.waiting().filter(|(_, entry)| self.fits_its_peer(entry)).last();
            let Some((claim, entry)) = last.map(|(claim, entry)| (claim, *entry)) else { return };
            self.room.remove(claim);
            actions.refused.push(claim);
            lacking = lacking.saturating_sub(entry.ask.bytes);
        }
    }

    /// When it is worth while to come again for room that was refused: those who hold it are behind by then, or done.
    pub fn come_back(&self) -> Micros {
        self.bounds.reading.start
    }

    /// What may be granted in all: the best paid have a part to themselves.
    fn open_to(&self, best: bool) -> u64 {
        self.bounds.room.saturating_sub(if best { 0 } else { self.bounds.reserve })
    }

    /// Peers under the least rate, those who hold most first, among equals those who have been so for longest.
    fn behind(&self, now: Micros) -> Vec<(u64, Peer)> {
        let mut behind: Vec<(u64, Micros, Peer)> = self
            .peers
            .iter()
            .filter(|(_, account)| account.cut.is_none())
            .filter_map(|(&peer, account)| Some((account.held, account.meter.behind_since(now)?, peer)))
            .collect();
        behind.sort_by_key(|&(held, since, peer)| (std::cmp::Reverse(held), since, peer));
        behind.into_iter().map(|(held, _, peer)| (held, peer)).collect()
    }

    /// Protects the room and the books from peers that stay under the least rate though nobody asks for what
    /// they hold. Should also cover machines that vanished. Harms nobody who was quick in between.
    fn cut_overdue(&mut self, now: Micros, actions: &mut Actions) {
        let ends = self.stopping.is_some_and(|until| now >= until);
        let late = |account: &Account| -> Option<Why> {
            let behind = account.meter.behind_since(now);
            if self.stopping.is_some() && behind.is_some() || ends && account.meter.is_owing() {
                return Some(Why::Stopping);
            }
            behind.filter(|&since| now - since >= self.bounds.overdue).map(|_| Why::Overdue)
        };
        let uncut = self.peers.iter().filter(|(_, account)| account.cut.is_none());
        let late: Vec<(Peer, Why)> =
            uncut.filter_map(|(&peer, account)| Some((peer, late(account)?))).collect();
        late.into_iter().for_each(|(peer, why)| self.cut(now, peer, why, actions));
    }

    fn cut(&mut self, now: Micros, peer: Peer, why: Why, actions: &mut Actions) {
        let Some(account) = self.peers.get_mut(&peer) else { return };
        account.cut = Some(why);
        if let Some(address) = account.address {
            self.addresses.was_cut(address, now + self.bounds.overdue);
        }
        actions.cut.push((peer, why));
    }

    fn fits(&self, entry: &Entry) -> bool {
        let after = self.room.used() + entry.ask.bytes;
        after <= self.open_to(entry.ask.best) && self.fits_its_peer(entry) && self.is_fair(entry)
    }

    fn fits_its_peer(&self, entry: &Entry) -> bool {
        let Some(account) = self.peers.get(&entry.peer) else { return false };
        let of_address = |from| self.addresses.held(from) + entry.ask.bytes;
        account.cut.is_none()
            && account.held + entry.ask.bytes <= self.bounds.connection
            && match (entry.address, self.bounds.address) {
                (Some(from), Some(most)) => of_address(from) <= most.room,
                _ => true,
            }
    }

    /// Whether it could ever be granted.
    fn could_fit(&self, entry: &Entry) -> bool {
        entry.ask.bytes <= self.open_to(entry.ask.best).min(self.bounds.connection)
    }

    /// Protects those who hold little where room is short: who holds something already gets no more than an equal
    /// part of it all. Should also cover one connection with many statements under way. Harms a single peer with
    /// many large answers at a time when most others want little.
    fn is_fair(&self, entry: &Entry) -> bool {
        let held = self.peers.get(&entry.peer).map_or(0, |account| account.held);
        let after = self.room.used() + entry.ask.bytes;
        if held == 0 || entry.ask.best || after <= self.bounds.short.0 {
            return true;
        }
        let holders = self.peers.values().filter(|account| account.held > 0).count() as u64;
        held + entry.ask.bytes <= self.bounds.room / holders.max(1)
    }

    fn account_for(&mut self, entry: &Entry) {
        if let Some(account) = self.peers.get_mut(&entry.peer) {
            account.held += entry.ask.bytes;
        }
        if let Some(address) = entry.address {
            self.addresses.holds(address, entry.ask.bytes);
        }
    }

    /// Room is short from a level to enter to a lower one to leave, or while anybody waits for it.
    fn judge_pressure(&mut self, now: Micros, actions: &mut Actions) {
        let (enter, leave) = self.bounds.short;
        let used = self.room.used();
        let short = match self.short {
            true => used >= leave || self.room.is_waited_for(),
            false => used > enter,
        };
        if !short {
            self.turnover = Turnover::start(self.bounds.room, now);
        }
        if std::mem::replace(&mut self.short, short) != short {
            actions.pressure = Some(Pressure { short, used, waiting: self.room.waiting().count() });
        }
    }

    fn due(&self, now: Micros) -> Option<Micros> {
        let meters = self.peers.values().filter(|account| account.cut.is_none()).filter_map(|account| {
            let falls = account.meter.due()?;
            let at_once = self.room.is_waited_for() && account.held > 0 || self.stopping.is_some();
            // One that is behind already was passed over: the next to happen to it is that it is overdue.
            Some(if at_once && falls >= now { falls + 1 } else { falls + self.bounds.overdue })
        });
        let stops = self.stopping.filter(|&until| until > now);
        meters.chain(self.room.due()).chain(stops).min()
    }
}
