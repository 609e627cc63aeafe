use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// Settings of another shape, under which a sample of the decisions is made a second time and only counted.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct ShadowConfig {
    /// A file with such settings, in the form of the configuration's `settings`.
    pub settings: String,
    /// One in so many decisions is compared; ten by default.
    #[schemars(range(min = 1))]
    pub one_in: Option<u32>,
    /// Seconds between two lines in the log; sixty by default.
    #[schemars(range(min = 1))]
    pub every_s: Option<u32>,
}

impl ShadowConfig {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        for (field, value) in [("shadow.one_in", self.one_in), ("shadow.every_s", self.every_s)] {
            OperatorError::check_range(field, value.unwrap_or(1).into(), 1, u32::MAX.into())?;
        }
        Ok(())
    }
}
