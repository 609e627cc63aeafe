//! The section `warm_start`: state that outlives a restart.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// Keeps state over a restart. Off by default: it needs a disk that outlives the process.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WarmStartConfig {
    /// The path of a data directory that no other process uses; created if it is not there.
    #[schemars(length(min = 1))]
    pub folder: String,
}

impl WarmStartConfig {
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        if self.folder.is_empty() {
            let reason = "a data directory that no other process uses";
            return Err(OperatorError::missing("warm_start.folder", reason));
        }
        Ok(())
    }
}
