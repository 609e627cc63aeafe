//! The operator's file: what one installation wants otherwise than the program's defaults, in JSON.
//!
//! - Input: the file's text ([`Operator::parse`]).
//! - Output: its sections as typed values, or the first field that is wrong, by its path ([`OperatorError`]); the JSON
//!   schema, made from the types ([`Operator::schema`]).
//! - Caller: the proxy, at its start and on SIGHUP, and `aldermill check` and `aldermill schema`.
//! - Assumptions: none on the text. Every key may be left out; unknown ones are refused. Whether files and addresses exist
//!   is for the caller to find out.
//!
//! Some keys had other names before. The old names are still read (each is an `alias` below), but the schema and messages
//! have the new ones; a file with both names of one key is refused.
//!
//! ```
//! use aldermill_operator_config::Operator;
//!
//! let operator = Operator::parse(r#"{"warm_start": {"folder": "/var/lib/aldermill"}}"#)?;
//! assert_eq!(operator.warm_start.unwrap().folder, "/var/lib/aldermill");
//!
//! let refusal = Operator::parse(r#"{"warm_start": {"folder": ""}}"#).unwrap_err();
//! assert!(refusal.to_string().starts_with("warm_start.folder: "));
//! # Ok::<(), aldermill_operator_config::OperatorError>(())
//! ```

#![warn(missing_docs)]

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

/// The operator's file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// Where the schema of this file is; for editors, not read.
    #[serde(rename = "$schema", default, skip_serializing_if = "Option::is_none")]
    pub schema: Option<String>,
    /// Buffer space for clients and members that move slowly, and when they are disconnected.
    #[serde(default)]
    pub slow_peers: SlowPeersConfig,
    /// Forwards requests between sites. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub gateway: Option<GatewayConfig>,
    /// Evaluates other settings beside those in force, without acting by them. Off by default.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "trial")]
    pub shadow: Option<ShadowConfig>,
    /// Keeps state over a restart. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "warm")]
    pub warm_start: Option<WarmStartConfig>,
    /// Whether a suspension of the machine counts as a stall. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub suspension: bool,
    /// Gossips with the fleet's other proxies about who is alive. Off by default. Read at the start only.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "fellows")]
    pub membership: Option<MembershipConfig>,
    /// Decides in common with the fleet's other proxies. Off by default; needs `membership`. Read at the start only, but for
    /// `cuts` and `site_drain`.
    #[serde(default, skip_serializing_if = "Option::is_none", alias = "council")]
    pub coordination: Option<CoordinationConfig>,
}

impl Operator {
    /// Reads the text of an operator's file.
    ///
    /// # Errors
    ///
    /// The first field that is wrong, by its path.
    pub fn parse(text: &str) -> Result<Operator, OperatorError> {
        let mut reader = serde_json::Deserializer::from_str(text);
        let operator: Operator = serde_path_to_error::deserialize(&mut reader).map_err(|error| {
            let path = error.path().to_string();
            OperatorError::Format { path, reason: error.into_inner().to_string() }
        })?;
        let trailing = |error: serde_json::Error| OperatorError::Format {
            path: "end".to_owned(),
            reason: error.to_string(),
        };
        reader.end().map_err(trailing)?;
        operator.check()?;
        Ok(operator)
    }

    /// Checks what the form alone does not tell.
    fn check(&self) -> Result<(), OperatorError> {
        self.gateway.as_ref().map_or(Ok(()), GatewayConfig::check)?;
        self.shadow.as_ref().map_or(Ok(()), ShadowConfig::check)?;
        self.warm_start.as_ref().map_or(Ok(()), WarmStartConfig::check)?;
        self.membership.as_ref().map_or(Ok(()), MembershipConfig::check)?;
        self.coordination.as_ref().map_or(Ok(()), CoordinationConfig::check)?;
        if self.coordination.is_some() && self.membership.is_none() {
            return Err(OperatorError::missing("membership", "as coordination sends its messages over it"));
        }
        Ok(())
    }

    /// The JSON schema of the file.
    #[must_use]
    pub fn schema() -> String {
        let schema = schemars::schema_for!(Operator);
        serde_json::to_string_pretty(&schema).unwrap_or_default() + "\n"
    }
}
