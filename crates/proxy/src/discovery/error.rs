//! Reasons why a watch on discovery ends.

use std::io;
use std::time::Duration;

use aldermill_wire::Malformed;
use thiserror::Error;

use crate::system::SocketErrorKind;

/// Why a watch on discovery ended. In every case the last endpoint list stays in force, and the proxy watches
/// again.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// Discovery responded, and then made no progress for this long.
    #[error("discovery sent nothing for {0:?}; check its agent and the network path to it")]
    SilenceTimeout(Duration),
    /// No byte arrived within this time, which includes the time to connect.
    #[error("no connection or no response within {0:?}; check discovery's agent and its load")]
    NoResponse(Duration),
    /// A system call on the connection failed.
    #[error("connection failed: {0}; check that discovery's agent is running and its address is correct")]
    Connection(#[from] io::Error),
    /// Discovery closed the connection.
    #[error("discovery closed the connection; check its log for the reason")]
    Closed,
    /// Discovery ended its response, which must continue for as long as the connection is open.
    #[error("discovery ended its response; it must support watches (stream=1)")]
    ResponseEnded,
    /// Discovery responded with an HTTP status other than 200.
    #[error("HTTP status {0}: discovery does not serve the endpoint list; check its log")]
    Status(u16),
    /// The response is not valid HTTP, or exceeds a size limit.
    #[error("invalid response: {0}; check which service listens at discovery's address")]
    Malformed(Malformed),
    /// An update ended before it was complete.
    #[error("endpoint list truncated; the complete list is fetched next")]
    Truncated,
    /// An update is not a valid endpoint list.
    #[error("invalid endpoint list: {0}; the complete list is fetched next, check discovery's version")]
    InvalidList(serde_json::Error),
    /// Changes arrived that do not apply to the list held here.
    #[error(
        "changes up to revision {received} do not apply to the list held; the complete list is fetched next"
    )]
    RevisionGap {
        /// Revision that the changes lead to.
        received: u64,
    },
}

impl WatchError {
    /// Returns whether this machine could not open a connection, so that nothing is known about discovery.
    pub(super) fn is_local_failure(&self) -> bool {
        matches!(self, WatchError::Connection(error) if SocketErrorKind::of(error) == SocketErrorKind::Local)
    }

    /// Returns whether discovery was silent until a timeout. The timeout itself was a wait, so that the next
    /// watch starts at once.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, WatchError::SilenceTimeout(_) | WatchError::NoResponse(_))
    }

    /// Returns whether it is unknown how discovery's list differs from the one held here, so that the
    /// complete list must be fetched.
    pub(super) fn invalidates_revision(&self) -> bool {
        matches!(self, WatchError::Truncated | WatchError::InvalidList(_) | WatchError::RevisionGap { .. })
    }
}
