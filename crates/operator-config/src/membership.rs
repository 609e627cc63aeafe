//! The section `membership`: the fleet's other proxies, and how they are reached.

use std::net::SocketAddr;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// Another proxy of the fleet, or an address where one may be.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct SeedPeer {
    /// Its name, as its configuration gives it. A proxy that is named is always sent to at this address, whatever it says of
    /// itself.
    pub name: Option<String>,
    /// Where it listens for datagrams.
    pub address: SocketAddr,
}

/// Gossips with the fleet's other proxies about who is alive. Off by default. Read at the start only.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct MembershipConfig {
    /// The fleet's name, the same at all its proxies.
    #[schemars(length(min = 1, max = 64))]
    pub fleet: String,
    /// Where this proxy listens for datagrams of the others.
    pub listen: SocketAddr,
    /// Where the others reach this one; `listen` by default. Needed where that names no address.
    pub address: Option<SocketAddr>,
    /// The networks that others may send from.
    #[schemars(with = "Vec<String>", length(min = 1))]
    pub networks: Vec<IpNet>,
    /// Some of the others, to begin with; those that they know are found.
    #[serde(default)]
    pub peers: Vec<SeedPeer>,
    /// The path of a local socket at which `aldermill peers` asks what is known here.
    pub status: Option<String>,
}

impl MembershipConfig {
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        OperatorError::check_name("membership.fleet", &self.fleet)?;
        if self.networks.is_empty() {
            return Err(OperatorError::missing("membership.networks", "those that other proxies send from"));
        }
        if !is_reachable(self.address.unwrap_or(self.listen)) {
            let reason = "as membership.listen does not say where this proxy is";
            return Err(OperatorError::missing("membership.address", reason));
        }
        for (index, peer) in self.peers.iter().enumerate() {
            let path = format!("membership.peers[{index}]");
            if let Some(name) = &peer.name {
                OperatorError::check_name(&format!("{path}.name"), name)?;
            }
            if !is_reachable(peer.address) {
                return Err(OperatorError::UnusableAddress(format!("{path}.address")));
            }
        }
        Ok(())
    }
}

/// Whether somebody else can send to the address.
fn is_reachable(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified()
}
