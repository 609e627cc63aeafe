use std::net::SocketAddr;
use std::rc::Rc;

/// Who a driver is: its name, and which start of it. A restarted driver is another one, and its old self is gone.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Peer {
    pub name: Rc<str>,
    /// When it started, in microseconds of Unix time; of two starts of one name the later counts.
    pub start: u64,
    /// Raised when the others took it for dead and it was not.
    pub turn: u16,
    /// Where it says that it listens.
    pub address: SocketAddr,
}

impl foca::Identity for Peer {
    type Addr = Rc<str>;

    fn renew(&self) -> Option<Peer> {
        Some(Peer { turn: self.turn.checked_add(1)?, ..self.clone() })
    }

    fn addr(&self) -> Rc<str> {
        self.name.clone()
    }

    fn win_addr_conflict(&self, other: &Peer) -> bool {
        (self.start, self.turn) > (other.start, other.turn)
    }
}
