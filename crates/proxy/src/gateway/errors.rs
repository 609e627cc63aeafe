//! Reasons for which links are rejected, cannot be opened, or end.

use std::io;
use std::net::IpAddr;

use aldermill_site_link::LinkError;
use thiserror::Error;

/// Reason for closing an accepted connection before anything is read from it.
#[derive(Debug, Error)]
pub(super) enum ConnectionRejection {
    /// The remote address is in none of the networks that are configured for the peers.
    #[error("the address is in none of the peers' networks, see `gateway.peers`")]
    UnknownNetwork,
    /// The number of open inbound links, given here, has reached its limit.
    #[error("too many links: {0} are open; the maximum is a share of `limits.sockets`")]
    TooManyLinks(usize),
}

/// Reason for rejecting a peer gateway after its greeting. The text is sent to the peer gateway when the link
/// is closed.
#[derive(Debug, Error)]
pub(super) enum PeerRejection {
    /// The peer gateway belongs to a site of this name, which is not configured as a peer.
    #[error("site {0:?} is none of this gateway's peers, name it in `gateway.peers`")]
    UnknownSite(String),
    /// A configured address leads to a gateway of another site than the configuration names.
    #[error("site {actual:?} where site {expected:?} was expected, see the addresses in `gateway.peers`")]
    SiteMismatch {
        /// The site that the gateway at that address names in its greeting.
        actual: String,
        /// The site that the configuration names for the address.
        expected: String,
    },
    /// The peer gateway connects from an address outside the networks that are configured for its site.
    #[error("{from} is in none of the networks of site {site:?}, see `gateway.peers`")]
    NetworkMismatch {
        /// The remote address of the connection.
        from: IpAddr,
        /// The site that the peer gateway names in its greeting.
        site: String,
    },
}

/// Error when opening a connection to a peer's address.
#[derive(Debug, Error)]
pub(super) enum ConnectError {
    /// The attempt neither succeeded nor failed within `limits.member.connect_timeout`.
    #[error("connection attempt timed out")]
    TimedOut,
    /// The system reported an error.
    #[error("{0}")]
    Io(#[from] io::Error),
}

/// Reason for the end of a link. The reason is logged; `docs/gateway.md` says what an operator does if many
/// links end.
#[derive(Debug, Error)]
pub(super) enum LinkCloseReason {
    /// The peer gateway closed the connection without giving a reason.
    #[error("closed")]
    ClosedByPeer,
    /// The dispatcher dropped the link, because it belongs to an earlier incarnation of the peer gateway.
    #[error("not wanted")]
    Dropped,
    /// The dispatcher has ended, because the process is shutting down.
    #[error("stopped")]
    ShuttingDown,
    /// Flow control disconnected the peer gateway, e.g. because it read too slowly while buffer space was
    /// needed.
    #[error("too slow")]
    TooSlow,
    /// The connection failed.
    #[error("{0}")]
    Connection(#[from] io::Error),
    /// The peer gateway was silent for too long, violated the protocol, or closed the link with a reason.
    #[error("{0}")]
    Protocol(LinkError),
    /// The peer gateway was rejected after its greeting.
    #[error("{0}")]
    Rejected(#[from] PeerRejection),
}

impl From<LinkError> for LinkCloseReason {
    fn from(error: LinkError) -> LinkCloseReason {
        LinkCloseReason::Protocol(error)
    }
}
