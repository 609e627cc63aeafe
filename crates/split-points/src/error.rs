//! Why a received summary can't be read.

use thiserror::Error;

/// A summary that is not well-formed. The receiver skips it; where it is seen again and again, a proxy of another version is
/// at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It ends in the middle of a field.
    #[error("a key summary is truncated; check that all proxies run versions that know each other")]
    Truncated,
    /// A key of this many bytes, more than [`MAX_KEY_BYTES`](crate::MAX_KEY_BYTES).
    #[error("a key of {0} bytes exceeds the longest that is summarized; check the reporting proxy's version")]
    KeyTooLong(usize),
    /// A cost, error or weight that is not finite, or below zero.
    #[error("a cost is not finite, or negative; check the reporting proxy's version")]
    InvalidCost,
}
