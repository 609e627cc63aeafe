//! Who a proxy is.

use std::net::SocketAddr;
use std::rc::Rc;

/// A proxy of the fleet: its name, and which start of it. A restarted proxy is another peer, and its earlier start is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// The name in its configuration, unique in the fleet. Empty for whoever listens at an address that a seed gave.
    pub name: Rc<str>,
    /// When it started, in microseconds of Unix time, or a number above that of an earlier start whose clock was ahead. Of
    /// two starts of one name the one with the higher number counts.
    pub start: u64,
    /// How often it has rejoined, in this start, after the others had declared it dead. This is not SWIM's incarnation
    /// number, which refutes a suspicion before anybody is declared dead, and stands beside the peer in a datagram.
    pub rejoins: u16,
    /// Where it says that it listens.
    pub address: SocketAddr,
}

impl foca::Identity for Peer {
    type Addr = Rc<str>;

    fn renew(&self) -> Option<Peer> {
        Some(Peer { rejoins: self.rejoins.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Rc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Peer) -> bool {
        (self.start, self.rejoins) > (other.start, other.rejoins)
    }
}
