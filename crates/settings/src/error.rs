//! Why settings, or a name or report that is checked against them, cannot be used.

use thiserror::Error;

/// What cannot be used: each message begins with the field that the operator, or the sender, is to correct.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The document is no JSON, lacks a key, or has a value of another type.
    #[error("field settings: {0}")]
    Document(#[from] serde_json::Error),
    /// The value is none of those that the field may have, or none that the settings name.
    #[error("field {field}: unknown value {value:?}")]
    UnknownValue {
        /// The key, with its section where one is needed to find it.
        field: &'static str,
        /// The value as it was written.
        value: String,
    },
    /// The number is negative, infinite or not a number.
    #[error("field {field}: {value} is no figure from zero on")]
    NegativeNumber {
        /// The key, with its section where one is needed to find it.
        field: &'static str,
        /// The number as it was read.
        value: f64,
    },
    /// A fleet has at least one router.
    #[error("field balancers: 0 is too few")]
    NoRouters,
    /// A member's load report has a value that is no finite number.
    #[error("field load: bad number {name}:{value:?}")]
    LoadReport {
        /// The report's field.
        name: String,
        /// Its value as the member sent it.
        value: String,
    },
}
