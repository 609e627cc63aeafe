//! The operator's own file: what one installation wants otherwise than the program's defaults, in JSON.
//!
//! Every field may be left out. Unknown fields and wrong values are named by their path. The schema is made from
//! the types below.

mod council;
mod fellows;
mod gateway;
mod slow_peers;
mod trial;
mod warm;
mod wrong;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use council::{Council, Duty, Pace, Retiring};
pub use fellows::{FellowAt, Fellows};
pub use gateway::{Gateway, PeerSite};
pub use ipnet::IpNet;
pub use slow_peers::{Connections, Level, Rate, SlowPeers};
pub use trial::Trial;
pub use warm::Warm;
pub use wrong::Wrong;

/// The operator's own file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Where the schema of this file is; for editors, not read.
    #[serde(rename = "$schema", default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<String>,
    /// What may wait for clients and members that move slowly, and when they are cut off.
    #[serde(default)]
    pub slow_peers: SlowPeers,
    /// Requests that cross between sites. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gateway: Option<Gateway>,
    /// Settings of another shape that are only watched. Off by default.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub trial: Option<Trial>,
    /// What is kept over a restart. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm: Option<Warm>,
    /// Whether time in which the machine is suspended counts as time. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub suspension: bool,
    /// Drivers that know of one another. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub fellows: Option<Fellows>,
    /// What drivers decide in common. Off by default; needs `fellows`. Read at the start only, but for `cuts` and `retire`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub council: Option<Council>,
}

impl Operator {
    /// Reads the text of such a file; what is wrong is said with the field's path.
    pub fn parse(text: &str) -> Result<Operator, Wrong> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            Wrong::Form { path, why: error.into_inner().to_string() }
        })?;
        reader.end().map_err(|error| Wrong::Form { path: "end".to_owned(), why: error.to_string() })?;
        let read: Operator = read;
        read.gateway.as_ref().map_or(Ok(()), Gateway::check)?;
        read.trial.as_ref().map_or(Ok(()), Trial::check)?;
        read.warm.as_ref().map_or(Ok(()), Warm::check)?;
        read.fellows.as_ref().map_or(Ok(()), Fellows::check)?;
        read.council.as_ref().map_or(Ok(()), Council::check)?;
        if read.council.is_some() && read.fellows.is_none() {
            return Err(Wrong::needed("fellows", "as drivers of a council speak to each other over it"));
        }
        Ok(read)
    }

    /// The schema of such a file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}
