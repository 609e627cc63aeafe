//! The section `shadow`: other settings that are evaluated beside those in force.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// Evaluates other settings beside those in force: a sample of the decisions is made a second time under them, and the
/// differences are only counted.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShadowConfig {
    /// The path of a file with those settings, in the form of the configuration's `settings`.
    pub settings: String,
    /// Of so many decisions one is compared; ten by default.
    #[schemars(range(min = 1))]
    pub one_in: Option<u32>,
    /// Seconds between two lines in the log; sixty by default.
    #[schemars(range(min = 1))]
    pub every_s: Option<u32>,
}

impl ShadowConfig {
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        for (path, value) in [("shadow.one_in", self.one_in), ("shadow.every_s", self.every_s)] {
            OperatorError::check_range(path, value.unwrap_or(1).into(), 1, u32::MAX.into())?;
        }
        Ok(())
    }
}
