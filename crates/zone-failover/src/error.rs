//! The error of decoding a received report or directive.

use thiserror::Error;

/// The reason why a payload cannot be decoded.
///
/// The receiver skips the payload. If the error recurs, a proxy of another version is probably running.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The payload ends within a field.
    #[error("zone report or directive is truncated; check that all proxies run compatible versions")]
    Truncated,
    /// The level byte has a value that this version does not know.
    #[error("unknown failover level {0}; check whether the lease holder runs a newer version")]
    UnknownLevel(u8),
    /// A share exceeds the whole; the value is in thousandths.
    #[error("share of {0} thousandths exceeds the maximum of 1000; check the version of the lease holder")]
    ShareTooLarge(u16),
}
