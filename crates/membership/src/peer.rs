//! Identity of a proxy in the membership protocol.

use std::net::SocketAddr;
use std::rc::Rc;

/// Identity of one instance of a proxy. After a restart the proxy is another peer, which replaces the earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    /// Name from the proxy's configuration, unique in the fleet. Empty for an unknown proxy that listens at the address of
    /// a seed.
    pub name: Rc<str>,
    /// Start number of the instance: its start time in microseconds since the Unix epoch, or a number above that of an
    /// earlier instance whose clock was ahead. Of two instances of one name, the one with the higher number is valid.
    pub start: u64,
    /// Number of times that this instance has rejoined after the others had declared it dead. The SWIM incarnation number
    /// is separate: it refutes a suspicion before the proxy is declared dead, and is encoded next to the peer in a
    /// datagram.
    pub rejoins: u16,
    /// Address at which the proxy claims to listen.
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
