use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use ipnet::IpNet;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

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

/// Tasks that cross between sites.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Gateway {
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
    /// Tasks of one offering that another gateway may have under way here; 256 by default.
    #[schemars(range(min = 1))]
    pub credit: Option<u32>,
    /// Links that a task may cross; one by default.
    #[schemars(range(min = 1, max = 8))]
    pub hops: Option<u32>,
    /// A local socket's path, at which `aldermill sites` asks what is believed here.
    pub status: Option<String>,
}

impl Gateway {
    /// What cannot be meant, with its field's path.
    pub(crate) fn check(&self) -> Result<(), String> {
        let named = |path: &str, name: &str| match name.len() {
            1..=64 => Ok(()),
            _ => Err(format!("gateway.{path}: a name of 1 to 64 bytes is needed")),
        };
        named("site", &self.site)?;
        let mut seen = BTreeSet::from([self.site.as_str()]);
        for (at, peer) in self.peers.iter().enumerate() {
            let path = format!("peers[{at}]");
            named(&format!("{path}.site"), &peer.site)?;
            if !seen.insert(&peer.site) {
                return Err(format!("gateway.{path}.site: {:?} is another site's name already", peer.site));
            }
            if let Some(own) = self.listen
                && let Some(place) = peer.addresses.iter().position(|&address| loops(own, address))
            {
                return Err(format!("gateway.{path}.addresses[{place}]: this gateway itself"));
            }
            if peer.addresses.is_empty() && peer.networks.is_empty() {
                return Err(format!("gateway.{path}: addresses or networks are needed"));
            }
            if peer.links.is_some_and(|links| !(1..=16).contains(&links)) {
                return Err(format!("gateway.{path}.links: 1 to 16 are possible"));
            }
        }
        let homeless = self.homes.iter().find(|(_, site)| !seen.contains(site.as_str()));
        if let Some((group, site)) = homeless {
            return Err(format!("gateway.homes.{group}: there is no site {site:?}"));
        }
        if self.credit == Some(0) {
            return Err("gateway.credit: at least 1".to_owned());
        }
        match self.hops {
            Some(hops) if !(1..=8).contains(&hops) => Err("gateway.hops: 1 to 8 are possible".to_owned()),
            _ => Ok(()),
        }
    }
}

fn loops(own: SocketAddr, address: SocketAddr) -> bool {
    own == address || own.port() == address.port() && own.ip().is_unspecified() && address.ip().is_loopback()
}
