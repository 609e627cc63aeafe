//! The operator's own file: what one installation wants otherwise than the program's defaults, in JSON.
//!
//! Every field may be left out. Unknown fields and wrong values are named by their path. The schema is made from
//! the types below.

mod coordination;
mod error;
mod gateway;
mod membership;
mod shadow;
mod slow_peers;
mod warm_start;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

pub use coordination::{CoordinationConfig, DrainOrder, LeaseKind, SiteDrainConfig};
pub use error::OperatorError;
pub use gateway::{GatewayConfig, PeerSite};
pub use ipnet::IpNet;
pub use membership::{MembershipConfig, SeedPeer};
pub use shadow::ShadowConfig;
pub use slow_peers::{AddressLimits, MinimumRate, ShortageLevel, SlowPeersConfig};
pub use warm_start::WarmStartConfig;

/// The operator's own file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Where the schema of this file is; for editors, not read.
    #[serde(rename = "$schema", default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<String>,
    /// What may wait for clients and members that move slowly, and when they are cut off.
    #[serde(default)]
    pub slow_peers: SlowPeersConfig,
    /// Requests that cross between sites. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewayConfig>,
    /// Settings of another shape that are only watched. Off by default.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "trial")]
    pub shadow: Option<ShadowConfig>,
    /// What is kept over a restart. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "warm")]
    pub warm_start: Option<WarmStartConfig>,
    /// Whether time in which the machine is suspended counts as time. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub suspension: bool,
    /// Drivers that know of one another. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "fellows")]
    pub membership: Option<MembershipConfig>,
    /// What drivers decide in common. Off by default; needs `membership`. Read at the start only, but for `cuts` and `site_drain`.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "council")]
    pub coordination: Option<CoordinationConfig>,
}

impl Operator {
    /// Reads the text of such a file; what is wrong is said with the field's path.
    pub fn parse(text: &str) -> Result<Operator, OperatorError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let read = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            OperatorError::Format { path, reason: error.into_inner().to_string() }
        })?;
        reader
            .end()
            .map_err(|error| OperatorError::Format { path: "end".to_owned(), reason: error.to_string() })?;
        let read: Operator = read;
        read.gateway.as_ref().map_or(Ok(()), GatewayConfig::check)?;
        read.shadow.as_ref().map_or(Ok(()), ShadowConfig::check)?;
        read.warm_start.as_ref().map_or(Ok(()), WarmStartConfig::check)?;
        read.membership.as_ref().map_or(Ok(()), MembershipConfig::check)?;
        read.coordination.as_ref().map_or(Ok(()), CoordinationConfig::check)?;
        if read.coordination.is_some() && read.membership.is_none() {
            return Err(OperatorError::missing(
                "membership",
                "as proxies that coordinate speak to each other over it",
            ));
        }
        Ok(read)
    }

    /// The schema of such a file.
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}
