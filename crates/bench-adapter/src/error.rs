//! Why a line cannot be read.

use aldermill_settings::SettingsError;
use thiserror::Error;

/// A line that cannot be read: its field, and why.
#[derive(Debug, Error)]
pub enum MessageError {
    /// The field cannot be read.
    #[error("field {field}: {reason}")]
    Field {
        /// The field of the line.
        field: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The settings cannot be used, or do not know what the line names.
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

impl MessageError {
    /// An error of a line's field.
    pub fn new(field: &str, reason: &str) -> MessageError {
        MessageError::Field { field: field.to_owned(), reason: reason.to_owned() }
    }
}
