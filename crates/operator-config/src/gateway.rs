//! The section `gateway`: this site, the other sites, and the links between them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::OperatorError;

/// Another site.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct PeerSite {
    /// Its name, as its own gateways give it.
    #[schemars(length(min = 1, max = 64))]
    pub site: String,
    /// Where its gateways listen for links. The gateways of a site without addresses must open the links themselves.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// The networks that its gateways may open links from.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<IpNet>,
    /// Links that are kept open to each address; two by default.
    #[schemars(range(min = 1, max = 16))]
    pub links: Option<u32>,
}

/// Forwards requests between sites. Off by default. Read at the start only.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewayConfig {
    /// The name of this site.
    #[schemars(length(min = 1, max = 64))]
    pub site: String,
    /// Where links of other gateways are accepted; without it links are only opened from here.
    pub listen: Option<SocketAddr>,
    /// All other sites.
    pub peers: Vec<PeerSite>,
    /// By group, the site that is assumed to have the primary until a response tells.
    #[serde(default)]
    pub homes: BTreeMap<u64, String>,
    /// Requests of one request class that another gateway may have in flight here; 256 by default.
    #[schemars(range(min = 1))]
    pub credit: Option<u32>,
    /// Links that a request may be forwarded over, one after the other; one by default.
    #[schemars(range(min = 1, max = 8))]
    pub hops: Option<u32>,
    /// The field of a statement's comment that names its session: while a site drains, all requests of a session go to one
    /// site. Without it each request is assigned by itself.
    #[schemars(length(min = 1, max = 64))]
    pub session: Option<String>,
    /// The path of a local socket at which `aldermill sites` asks what is known here.
    pub status: Option<String>,
}

impl GatewayConfig {
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        OperatorError::check_name("gateway.site", &self.site)?;
        let mut sites = BTreeSet::from([self.site.as_str()]);
        for (index, peer) in self.peers.iter().enumerate() {
            let path = format!("gateway.peers[{index}]");
            OperatorError::check_name(&format!("{path}.site"), &peer.site)?;
            if !sites.insert(&peer.site) {
                return Err(OperatorError::Duplicate {
                    path: format!("{path}.site"),
                    name: peer.site.clone(),
                });
            }
            if let Some(own) = self.listen
                && let Some(index) = peer.addresses.iter().position(|&address| is_own_address(own, address))
            {
                return Err(OperatorError::OwnAddress(format!("{path}.addresses[{index}]")));
            }
            if peer.addresses.is_empty() && peer.networks.is_empty() {
                return Err(OperatorError::missing(
                    &path,
                    "addresses to open links to, or networks to accept them from",
                ));
            }
            OperatorError::check_range(&format!("{path}.links"), peer.links.unwrap_or(1).into(), 1, 16)?;
        }
        self.session.as_ref().map_or(Ok(()), |name| OperatorError::check_name("gateway.session", name))?;
        let unknown_home = self.homes.iter().find(|(_, site)| !sites.contains(site.as_str()));
        if let Some((group, site)) = unknown_home {
            return Err(OperatorError::UnknownSite {
                path: format!("gateway.homes.{group}"),
                site: site.clone(),
            });
        }
        OperatorError::check_range("gateway.credit", self.credit.unwrap_or(1).into(), 1, u32::MAX.into())?;
        OperatorError::check_range("gateway.hops", self.hops.unwrap_or(1).into(), 1, 8)
    }
}

/// Whether a link to `address` would come back to the gateway that listens at `own`.
fn is_own_address(own: SocketAddr, address: SocketAddr) -> bool {
    own == address || own.port() == address.port() && own.ip().is_unspecified() && address.ip().is_loopback()
}
