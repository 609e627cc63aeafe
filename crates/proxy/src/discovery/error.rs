//! Why a watch on discovery ended.

use std::io;
use std::time::Duration;

use aldermill_wire::Malformed;
use thiserror::Error;

use crate::system::SocketErrorKind;

/// Why a watch on discovery ended. Whatever it was, the last endpoint list stays in force and the proxy watches again.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// Discovery responded, and nothing more came.
    #[error("discovery sent nothing for {0:?}; look at its agent and at the network in between")]
    SilenceTimeout(Duration),
    /// Not a byte came since the connection was opened.
    #[error("no connection, or no response on it, within {0:?}; look at discovery's agent and its load")]
    NoResponse(Duration),
    /// A system call on the connection failed.
    #[error("the connection failed: {0}; see that discovery's agent runs and that its address is right")]
    Connection(#[from] io::Error),
    /// Discovery closed the connection.
    #[error("discovery closed the connection; its log may say why")]
    Closed,
    /// Discovery ended its response, which is to go on for as long as the connection stands.
    #[error("discovery ended its response; it has to support watches (stream=1)")]
    ResponseEnded,
    /// Discovery answered with another HTTP status than 200.
    #[error("HTTP status {0}; discovery does not serve the endpoint list, see its log")]
    Status(u16),
    /// The response is not what HTTP allows, or exceeds a limit on its size.
    #[error("the response cannot be parsed: {0}; see what listens at discovery's address")]
    Malformed(Malformed),
    /// An update ended in the middle.
    #[error("an endpoint list was cut off in the middle; the whole list is fetched again")]
    Truncated,
    /// An update is not of the form of an endpoint list.
    #[error(
        "an endpoint list is not in its form: {0}; the whole list is fetched again, see discovery's version"
    )]
    InvalidList(serde_json::Error),
    /// Changes came that do not follow on the list that is held.
    #[error(
        "changes up to revision {received} do not follow on the list held; the whole list is fetched again"
    )]
    RevisionGap {
        /// The revision that the changes lead to.
        received: u64,
    },
}

impl WatchError {
    /// Whether this machine could open no connection, so that nothing is known of discovery.
    pub(super) fn is_local_failure(&self) -> bool {
        matches!(self, WatchError::Connection(error) if SocketErrorKind::of(error) == SocketErrorKind::Local)
    }

    /// Whether discovery was silent. It has been waited for then, so that the next watch starts at once.
    pub(super) fn is_timeout(&self) -> bool {
        matches!(self, WatchError::SilenceTimeout(_) | WatchError::NoResponse(_))
    }

    /// Whether it is unknown what the list at discovery holds beyond the one held here, so that the whole list has to be
    /// fetched.
    pub(super) fn invalidates_revision(&self) -> bool {
        matches!(self, WatchError::Truncated | WatchError::InvalidList(_) | WatchError::RevisionGap { .. })
    }
}
