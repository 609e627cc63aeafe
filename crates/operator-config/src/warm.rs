use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::Wrong;

/// What is kept over a restart. Off by default: it needs a disk that outlives the process.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Warm {
    /// A folder of this driver's own; made where it is not there.
    #[schemars(length(min = 1))]
    pub folder: String,
}

impl Warm {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), Wrong> {
        let named = !self.folder.is_empty();
        named.then_some(()).ok_or_else(|| Wrong::needed("warm.folder", "a folder of this driver's own"))
    }
}
