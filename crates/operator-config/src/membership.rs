use std::net::SocketAddr;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// Another driver of the fleet, or a place where one may be.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeedPeer {
    /// Its name, as its configuration gives it. One that is named is always sent to at this address, whatever it says of
    /// itself.
    pub name: Option<String>,
    pub address: SocketAddr,
}

/// Drivers that know of one another. Off by default. Read at the start only.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MembershipConfig {
    /// The fleet's name, the same at all its drivers.
    #[schemars(length(min = 1, max = 64))]
    pub fleet: String,
    /// Where datagrams of the others are taken.
    pub listen: SocketAddr,
    /// Where the others reach this one; `listen` by default. Needed where that names no address.
    pub address: Option<SocketAddr>,
    /// The networks that others may come from.
    #[schemars(with = "Vec<String>", length(min = 1))]
    pub networks: Vec<IpNet>,
    /// Some of the others, to begin with; those that they know are found.
    #[serde(default)]
    pub peers: Vec<SeedPeer>,
    /// A local socket's path, at which `aldermill peers` asks what is known here.
    pub status: Option<String>,
}

impl MembershipConfig {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        OperatorError::check_name("membership.fleet", &self.fleet)?;
        if self.networks.is_empty() {
            return Err(OperatorError::missing("membership.networks", "those that other drivers come from"));
        }
        let reached = self.address.unwrap_or(self.listen);
        if reached.ip().is_unspecified() || reached.port() == 0 {
            return Err(OperatorError::missing(
                "membership.address",
                "as membership.listen does not say where this driver is",
            ));
        }
        for (at, peer) in self.peers.iter().enumerate() {
            let path = format!("membership.peers[{at}]");
            peer.name
                .as_ref()
                .map_or(Ok(()), |name| OperatorError::check_name(&format!("{path}.name"), name))?;
            if peer.address.port() == 0 || peer.address.ip().is_unspecified() {
                return Err(OperatorError::UnusableAddress(format!("{path}.address")));
            }
        }
        Ok(())
    }
}
