//! Why other settings cannot be evaluated.

use std::io;

use aldermill_settings::SettingsError;
use thiserror::Error;

/// Why the settings of a shadow evaluation are not used.
#[derive(Debug, Error)]
pub enum ShadowError {
    /// The file cannot be read.
    #[error("{path}: {error}; see that the file is there and may be read")]
    File {
        /// The file that the operator's file names.
        path: String,
        /// What the system says.
        error: io::Error,
    },
    /// The file's text is not in the form of the configuration's `settings`.
    #[error("{path}: settings: {error}")]
    Settings {
        /// The file that the operator's file names.
        path: String,
        /// Which field is wrong, and why.
        error: SettingsError,
    },
    /// Decisions under these settings cannot be compared with those made: they know other request classes or zones.
    #[error(
        "{path}: {field}: other names than those in force; only settings of the same deployment can be evaluated"
    )]
    DeploymentMismatch {
        /// The file that the operator's file names.
        path: String,
        /// The field of the settings that differs.
        field: &'static str,
    },
}
