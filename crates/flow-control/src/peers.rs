//! The connected peers: what each has reserved, and whether it keeps up with its minimum rate.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::IpAddr;

use crate::addresses::AddressTable;
use crate::buffer_budget::Reservation;
use crate::{Micros, MinimumRate, PeerId, ProgressMeter, Transfer};

/// The account of one connection.
#[derive(Debug)]
pub(crate) struct PeerAccount {
    /// The client address; `None` if [`FlowLimits::per_address`](crate::FlowLimits::per_address) was not set when the
    /// peer connected.
    pub(crate) address: Option<IpAddr>,
    /// Bytes of the peer's granted reservations.
    pub(crate) reserved: u64,
    /// Measures the peer against its minimum rate.
    pub(crate) meter: ProgressMeter,
    /// The transfer that the meter measures; `None` until the meter is first started.
    pub(crate) transfer: Option<Transfer>,
    /// Whether the caller was told to disconnect the peer and has not unregistered it yet.
    disconnecting: bool,
}

/// A peer behind its minimum rate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SlowPeer {
    /// The peer.
    pub(crate) peer: PeerId,
    /// Bytes of the peer's granted reservations.
    pub(crate) reserved: u64,
}

/// The accounts of all peers, and the usage of each client address.
#[derive(Debug, Default)]
pub(crate) struct PeerTable {
    /// Ordered by id, i.e. by time of registration, so that the same events have the same results.
    accounts: BTreeMap<PeerId, PeerAccount>,
    /// What the peers of each client address use together.
    pub(crate) addresses: AddressTable,
    next_id: u64,
    /// Number of peers that have any bytes reserved.
    holders: u64,
    /// Bytes of the granted reservations of peers that are being disconnected.
    reserved_by_disconnecting: u64,
}

impl PeerTable {
    /// Adds a peer. `address` is set only if [`FlowLimits::per_address`](crate::FlowLimits::per_address) is.
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

    /// Removes a peer, and its connection from the usage of its address.
    pub(crate) fn unregister(&mut self, now: Micros, peer: PeerId) {
        let Some(account) = self.accounts.remove(&peer) else { return };
        self.holders -= u64::from(account.reserved > 0);
        if account.disconnecting {
            self.reserved_by_disconnecting -= account.reserved;
        }
        if let Some(address) = account.address {
            self.addresses.unregister(now, address);
        }
    }

    /// The account of a peer; `None` if the peer is unknown.
    pub(crate) fn get_mut(&mut self, peer: PeerId) -> Option<&mut PeerAccount> {
        self.accounts.get_mut(&peer)
    }

    /// The accounts of all peers, including those that are being disconnected.
    pub(crate) fn accounts_mut(&mut self) -> impl Iterator<Item = &mut PeerAccount> {
        self.accounts.values_mut()
    }

    /// Peers that are not being disconnected, in order of registration.
    pub(crate) fn connected(&self) -> impl Iterator<Item = (PeerId, &PeerAccount)> {
        let connected = self.accounts.iter().filter(|(_, account)| !account.disconnecting);
        connected.map(|(&peer, account)| (peer, account))
    }

    /// Whether the peer is registered and is not being disconnected.
    pub(crate) fn is_connected(&self, peer: PeerId) -> bool {
        self.accounts.get(&peer).is_some_and(|account| !account.disconnecting)
    }

    /// The address of a peer; `None` if the peer is unknown or its address was not recorded.
    pub(crate) fn address(&self, peer: PeerId) -> Option<IpAddr> {
        self.accounts.get(&peer)?.address
    }

    /// Bytes of the peer's granted reservations; zero if the peer is unknown.
    pub(crate) fn reserved(&self, peer: PeerId) -> u64 {
        self.accounts.get(&peer).map_or(0, |account| account.reserved)
    }

    /// Number of peers that have any bytes reserved.
    pub(crate) fn holder_count(&self) -> u64 {
        self.holders
    }

    /// Bytes that will be freed when the peers that are being disconnected are gone.
    pub(crate) fn reserved_by_disconnecting(&self) -> u64 {
        self.reserved_by_disconnecting
    }

    /// Peers behind their minimum rate. Those with the most bytes reserved come first, and among equals those that
    /// have been slow for longest.
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

    /// Marks a peer as being disconnected. Before `recent_disconnect_until` this counts as a recent disconnect of its
    /// address.
    pub(crate) fn mark_disconnecting(&mut self, peer: PeerId, recent_disconnect_until: Micros) {
        let Some(account) = self.accounts.get_mut(&peer) else { return };
        if !std::mem::replace(&mut account.disconnecting, true) {
            self.reserved_by_disconnecting += account.reserved;
        }
        if let Some(address) = account.address {
            self.addresses.record_disconnect(address, recent_disconnect_until);
        }
    }

    /// Charges a granted reservation to its peer and address.
    pub(crate) fn charge(&mut self, reservation: &Reservation) {
        if let Some(account) = self.accounts.get_mut(&reservation.peer()) {
            self.holders += u64::from(account.reserved == 0 && reservation.bytes() > 0);
            account.reserved += reservation.bytes();
            if account.disconnecting {
                self.reserved_by_disconnecting += reservation.bytes();
            }
        }
        if let Some(address) = reservation.address {
            self.addresses.reserve(address, reservation.bytes());
        }
    }

    /// Takes `bytes` of a charged reservation back from its peer and address.
    pub(crate) fn refund(&mut self, now: Micros, reservation: &Reservation, bytes: u64) {
        if let Some(account) = self.accounts.get_mut(&reservation.peer()) {
            let had_reserved = account.reserved > 0;
            account.reserved -= bytes;
            self.holders -= u64::from(had_reserved && account.reserved == 0);
            if account.disconnecting {
                self.reserved_by_disconnecting -= bytes;
            }
        }
        if let Some(address) = reservation.address {
            self.addresses.release(now, address, bytes);
        }
    }
}
