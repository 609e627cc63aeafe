//! Reasons why shadow settings cannot be evaluated.

use std::io;

use aldermill_settings::SettingsError;
use thiserror::Error;

/// Reason why the settings for a shadow evaluation cannot be used.
#[derive(Debug, Error)]
pub enum ShadowError {
    /// The file cannot be read.
    #[error("{path}: {error}; check that the file exists and is readable")]
    File {
        /// Path of the file, from the operator's file.
        path: String,
        /// Error that the system reported.
        error: io::Error,
    },
    /// The text of the file is not valid as the configuration's `settings`.
    #[error("{path}: settings: {error}")]
    Settings {
        /// Path of the file, from the operator's file.
        path: String,
        /// Field that is invalid, and the reason.
        error: SettingsError,
    },
    /// The settings have other request classes or zones than those in force, so decisions under them cannot
    /// be compared with those that were made.
    #[error(
        "{path}: {field}: names differ from those in force; only settings of the same deployment can be evaluated"
    )]
    DeploymentMismatch {
        /// Path of the file, from the operator's file.
        path: String,
        /// Field of the settings that differs.
        field: &'static str,
    },
}
