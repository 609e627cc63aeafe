//! Errors from decoding a received key summary.

use thiserror::Error;

/// The reason why a received key summary cannot be decoded. The receiver ignores such a summary. Repeated
/// errors indicate that a proxy of a different version sends the summaries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// The summary ends in the middle of a field.
    #[error("a key summary is truncated; check that all proxies run compatible versions")]
    Truncated,
    /// A key has this length, in bytes, which exceeds [`MAX_KEY_BYTES`](crate::MAX_KEY_BYTES).
    #[error("a key of {0} bytes exceeds the maximum length; check the reporting proxy's version")]
    KeyTooLong(usize),
    /// A cost, error or weight is negative, infinite or not a number.
    #[error("a cost, error or weight is negative or not finite; check the reporting proxy's version")]
    InvalidCost,
}
