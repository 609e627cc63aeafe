//! Why the adapter ends before its input does.

use std::io;

use aldermill_settings::SettingsError;
use thiserror::Error;

/// Why a message cannot be dealt with. Each text begins with the message's field, or with the message itself.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The line ends before the field, or leaves out one that must be there.
    #[error("field {0}: missing")]
    Missing(&'static str),
    /// The field is no number of the type that it must have.
    #[error("field {field}: bad number {text:?}")]
    InvalidNumber {
        /// The field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// A time that is infinite or not a number.
    #[error("field {0}: not a finite time")]
    InfiniteTime(&'static str),
    /// A flag that is neither 0 nor 1.
    #[error("field {field}: neither 0 nor 1: {text:?}")]
    InvalidFlag {
        /// The field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// A condition of a member that is not known.
    #[error("field {field}: unknown condition {text:?}")]
    UnknownCondition {
        /// The field.
        field: &'static str,
        /// What stands there.
        text: String,
    },
    /// A code for the end of an attempt that is not known.
    #[error("field {field}: unknown outcome {code}")]
    UnknownOutcome {
        /// The field.
        field: &'static str,
        /// What stands there.
        code: u64,
    },
    /// An endpoint list has fewer lines than announced.
    #[error("field ITEM: a sheet's line is missing here")]
    IncompleteList,
    /// An update names an endpoint list that was not sent.
    #[error("field page: no such sheet")]
    UnknownList,
    /// An update of a kind that is not known.
    #[error("field form: unknown kind of list")]
    UnknownUpdate,
    /// A message that is not known; its first word.
    #[error("field {0}: unknown message")]
    UnknownMessage(String),
    /// The settings cannot be used, or do not know a name that the message has.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Standard input cannot be read.
    #[error("field input: {0}")]
    Input(io::Error),
    /// Standard output cannot be written.
    #[error("field reply: {0}")]
    Output(io::Error),
}
