//! Why a link is rejected, cannot be opened, or ends.

use std::io;
use std::net::IpAddr;

use aldermill_site_link::LinkError;
use thiserror::Error;

/// Why a connection is closed before anything is read from it.
#[derive(Debug, Error)]
pub(super) enum ConnectionRejection {
    /// It does not come from a network where any peer's gateways are.
    #[error("in none of the peers' networks, see `gateway.peers`")]
    UnknownNetwork,
    /// As many links as this are open already.
    #[error("too many links, {0} are open; the most are a share of `limits.sockets`")]
    TooManyLinks(usize),
}

/// Why the gateway on the other side of a link is not allowed there. Sent to it when the link is closed.
#[derive(Debug, Error)]
pub(super) enum PeerRejection {
    /// It is of a site, called so, that is not configured here.
    #[error("site {0:?} is none of this gateway's peers, name it in `gateway.peers`")]
    UnknownSite(String),
    /// A configured address leads to another site than the configuration says.
    #[error("site {actual:?} where site {expected:?} was expected, see the addresses in `gateway.peers`")]
    SiteMismatch {
        /// What the gateway at that address says.
        actual: String,
        /// What the configuration says.
        expected: String,
    },
    /// It comes from a network where the gateways of its site are not.
    #[error("{from} is in none of the networks of site {site:?}, see `gateway.peers`")]
    NetworkMismatch {
        /// Where it comes from.
        from: IpAddr,
        /// What site it claims to be of.
        site: String,
    },
}

/// Why no connection could be opened to a peer's address.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// Neither a connection nor an error within `limits.member.connect_timeout`.
    #[error("no connection in time")]
    TimedOut,
    /// The system reports an error.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Why a link ended. Logged; an operator acts where many links end, as `docs/gateway.md` says.
#[derive(Debug, Error)]
pub(super) enum LinkCloseReason {
    /// The other side closed the connection.
    #[error("closed")]
    ClosedByPeer,
    /// The dispatcher dropped the link, which is of an earlier incarnation of that gateway.
    #[error("not wanted")]
    Dropped,
    /// The dispatcher is gone: this process ends.
    #[error("stopped")]
    ShuttingDown,
    /// The other side read too slowly while buffer space was needed.
    #[error("too slow")]
    TooSlow,
    /// The connection broke.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The other side was silent, or sent what the protocol does not allow, or closed the link with a reason.
    #[error("{0}")]
    Protocol(LinkError),
    /// The other side is not allowed here.
    #[error("{0}")]
    Rejected(#[from] PeerRejection),
}

impl From<LinkError> for LinkCloseReason {
    fn from(error: LinkError) -> LinkCloseReason {
        LinkCloseReason::Protocol(error)
    }
}
