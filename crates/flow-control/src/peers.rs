//! The connected peers: what each has reserved, and whether it keeps up with its minimum rate.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::addresses::AddressTable;
use crate::buffer_budget::Reservation;
use crate::{Micros, MinimumRate, PeerId, ProgressMeter, Transfer};

/// One connection.
#[derive(Debug)]
pub(crate) struct PeerAccount {
    /// Its address, where addresses tell clients apart.
    pub(crate) address: Option<IpAddr>,
    /// Bytes of its granted reservations.
    pub(crate) reserved: u64,
    pub(crate) meter: ProgressMeter,
    /// What the meter measures; `None` until it was first started.
    pub(crate) transfer: Option<Transfer>,
    /// The caller was told to disconnect it and has not unregistered it yet.
    disconnecting: bool,
}

/// A peer behind its minimum rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowPeer {
    pub(crate) peer: PeerId,
    /// Bytes of its granted reservations.
    pub(crate) reserved: u64,
}

/// All peers, and what those of one address have together.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// Ordered by arrival, so that the same events have the same outcome.
    accounts: BTreeMap<PeerId, PeerAccount>,
    pub(crate) addresses: AddressTable,
    next_id: u64,
}

impl PeerTable {
    /// Adds a peer. `address` is set where addresses tell clients apart.
    pub(crate) fn register(&mut self, now: Micros, address: Option<IpAddr>, minimum: MinimumRate) -> PeerId {
        if let Some(address) = address {
            self.addresses.register(address);
        }
        let peer = PeerId(self.next_id);
        self.next_id += 1;
        let account = PeerAccount {
            address,
            reserved: 0,
            meter: ProgressMeter::new(now, minimum),
            transfer: None,
            disconnecting: false,
        };
        self.accounts.insert(peer, account);
        peer
    }

    pub(crate) fn unregister(&mut self, now: Micros, peer: PeerId) {
        let address = self.accounts.remove(&peer).and_then(|account| account.address);
        if let Some(address) = address {
            self.addresses.unregister(now, address);
        }
    }

    pub(crate) fn get_mut(&mut self, peer: PeerId) -> Option<&mut PeerAccount> {
        self.accounts.get_mut(&peer)
    }

    /// All peers, those that are being disconnected included.
    pub(crate) fn accounts_mut(&mut self) -> impl Iterator<Item = &mut PeerAccount> {
        self.accounts.values_mut()
    }

    /// Peers that are not being disconnected, in the order in which they came.
    pub(crate) fn connected(&self) -> impl Iterator<Item = (PeerId, &PeerAccount)> {
        let connected = self.accounts.iter().filter(|(_, account)| !account.disconnecting);
        connected.map(|(&peer, account)| (peer, account))
    }

    pub(crate) fn is_connected(&self, peer: PeerId) -> bool {
        self.accounts.get(&peer).is_some_and(|account| !account.disconnecting)
    }

    pub(crate) fn address(&self, peer: PeerId) -> Option<IpAddr> {
        self.accounts.get(&peer)?.address
    }

    /// Bytes of the peer's granted reservations; none of one that is unknown.
    pub(crate) fn reserved(&self, peer: PeerId) -> u64 {
        self.accounts.get(&peer).map_or(0, |account| account.reserved)
    }

    /// How many peers have anything reserved.
    pub(crate) fn holder_count(&self) -> u64 {
        self.accounts.values().filter(|account| account.reserved > 0).count() as u64
    }

    /// Bytes that come back once the peers that are being disconnected are gone.
    pub(crate) fn reserved_by_disconnecting(&self) -> u64 {
        let disconnecting = self.accounts.values().filter(|account| account.disconnecting);
        disconnecting.map(|account| account.reserved).sum()
    }

    /// Peers behind their minimum rate: those with most reserved first, among equals those behind for longest.
    pub(crate) fn slow_peers(&self, now: Micros) -> Vec<SlowPeer> {
        let mut slow_peers: Vec<(Reverse<u64>, Micros, PeerId)> = self
            .connected()
            .filter_map(|(peer, account)| {
                Some((Reverse(account.reserved), account.meter.slow_since(now)?, peer))
            })
            .collect();
        slow_peers.sort_unstable();
        slow_peers.into_iter().map(|(Reverse(reserved), _, peer)| SlowPeer { peer, reserved }).collect()
    }

    /// Marks a peer as being disconnected, and its address as one whose client was, until then.
    pub(crate) fn mark_disconnecting(&mut self, peer: PeerId, recent_disconnect_until: Micros) {
        let Some(account) = self.accounts.get_mut(&peer) else { return };
        account.disconnecting = true;
        if let Some(address) = account.address {
            self.addresses.record_disconnect(address, recent_disconnect_until);
        }
    }

    /// Counts a reservation that was granted.
    pub(crate) fn charge(&mut self, reservation: &Reservation) {
        if let Some(account) = self.accounts.get_mut(&reservation.peer()) {
            account.reserved += reservation.bytes();
        }
        if let Some(address) = reservation.address {
            self.addresses.reserve(address, reservation.bytes());
        }
    }

    /// Takes back this much of a reservation that was charged.
    pub(crate) fn refund(&mut self, now: Micros, reservation: &Reservation, bytes: u64) {
        if let Some(account) = self.accounts.get_mut(&reservation.peer()) {
            account.reserved -= bytes;
        }
        if let Some(address) = reservation.address {
            self.addresses.release(now, address, bytes);
        }
    }
}
