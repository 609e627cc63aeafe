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
    /// Where its gateways listen for links; those of a site without any must come by themselves.
    #[serde(default)]
    pub addresses: Vec<SocketAddr>,
    /// The networks that its gateways may come from.
    #[serde(default)]
    #[schemars(with = "Vec<String>")]
    pub networks: Vec<IpNet>,
    /// Links that are kept to each address; two by default.
    #[schemars(range(min = 1, max = 16))]
    pub links: Option<u32>,
}

/// Requests that cross between sites.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct GatewayConfig {
    /// The name of this site.
    #[schemars(length(min = 1, max = 64))]
    pub site: String,
    /// Where links of other gateways are accepted; without it they are only opened from here.
    pub listen: Option<SocketAddr>,
    /// All other sites.
    pub peers: Vec<PeerSite>,
    /// Where groups are believed to have their primary until an answer tells.
    #[serde(default)]
    pub homes: BTreeMap<u64, String>,
    /// Requests of one request class that another gateway may have under way here; 256 by default.
    #[schemars(range(min = 1))]
    pub credit: Option<u32>,
    /// Links that a request may cross; one by default.
    #[schemars(range(min = 1, max = 8))]
    pub hops: Option<u32>,
    /// The field of a statement's comment that names its session: while a site retires, all that a session asks goes to one
    /// site. Without it each request goes by itself.
    #[schemars(length(min = 1, max = 64))]
    pub session: Option<String>,
    /// A local socket's path, at which `aldermill sites` asks what is believed here.
    pub status: Option<String>,
}

impl GatewayConfig {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), OperatorError> {
        OperatorError::check_name("gateway.site", &self.site)?;
        let mut seen = BTreeSet::from([self.site.as_str()]);
        for (at, peer) in self.peers.iter().enumerate() {
            let path = format!("gateway.peers[{at}]");
            OperatorError::check_name(&format!("{path}.site"), &peer.site)?;
            if !seen.insert(&peer.site) {
                return Err(OperatorError::Duplicate {
                    path: format!("{path}.site"),
                    name: peer.site.clone(),
                });
            }
            if let Some(own) = self.listen
                && let Some(place) = peer.addresses.iter().position(|&address| loops(own, address))
            {
                return Err(OperatorError::OwnAddress(format!("{path}.addresses[{place}]")));
            }
            if peer.addresses.is_empty() && peer.networks.is_empty() {
                return Err(OperatorError::missing(
                    &path,
                    "addresses to go to, or networks to be asked from",
                ));
            }
            OperatorError::check_range(&format!("{path}.links"), peer.links.unwrap_or(1).into(), 1, 16)?;
        }
        self.session.as_ref().map_or(Ok(()), |name| OperatorError::check_name("gateway.session", name))?;
        let homeless = self.homes.iter().find(|(_, site)| !seen.contains(site.as_str()));
        if let Some((group, site)) = homeless {
            return Err(OperatorError::UnknownSite {
                path: format!("gateway.homes.{group}"),
                site: site.clone(),
            });
        }
        OperatorError::check_range("gateway.credit", self.credit.unwrap_or(1).into(), 1, u32::MAX.into())?;
        OperatorError::check_range("gateway.hops", self.hops.unwrap_or(1).into(), 1, 8)
    }
}

fn loops(own: SocketAddr, address: SocketAddr) -> bool {
    own == address || own.port() == address.port() && own.ip().is_unspecified() && address.ip().is_loopback()
}
