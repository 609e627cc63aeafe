//! Why a received report or directive can't be read.

use thiserror::Error;

/// A payload that is not well-formed. The receiver skips it; where it is seen again and again, a proxy of another version
/// is at work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum DecodeError {
    /// It ends in the middle of a field.
    #[error(
        "a zone report or directive is truncated; check that all proxies run versions that know each other"
    )]
    Truncated,
    /// The byte for the level has this value.
    #[error("level {0} is unknown to this version; check whether the lease holder runs a newer one")]
    UnknownLevel(u8),
    /// A share has this value, in thousandths.
    #[error("a share of {0} thousandths exceeds the whole; check the version of the lease holder")]
    ShareTooLarge(u16),
}
