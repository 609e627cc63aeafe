use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// What is kept over a restart. Off by default: it needs a disk that outlives the process.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WarmStartConfig {
    /// A folder of this driver's own; made where it is not there.
    #[schemars(length(min = 1))]
    pub folder: String,
}

impl WarmStartConfig {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        let named = !self.folder.is_empty();
        named
            .then_some(())
            .ok_or_else(|| OperatorError::missing("warm_start.folder", "a folder of this driver's own"))
    }
}
