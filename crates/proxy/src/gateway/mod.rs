//! Links to other sites' gateways: who may come, who is gone to, and the actor of each link.

mod handshake;
mod link;

use std::cell::Cell;
use std::net::IpAddr;
use std::rc::Rc;

use aldermill_operator_config::{GatewayConfig, IpNet};
use aldermill_site_link::{Identity, LinkConfig};
use thiserror::Error;
use tokio::io::AsyncWriteExt;
use tokio::sync::oneshot;
use tokio::task::spawn_local;

pub use handshake::{accept, start};

use crate::cli::status;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{DispatcherMessage, LinkId};
use crate::system::Acceptor;

/// Why a gateway that greets may not be there.
#[derive(Debug, Error)]
pub enum Unwelcome {
    #[error("site {0:?} is none of this gateway's peers, name it in `gateway.peers`")]
    Stranger(String),
    #[error("site {is:?} where site {wanted:?} was expected, see the addresses in `gateway.peers`")]
    Other { is: String, wanted: String },
    #[error("{from} is in none of the networks of site {site:?}, see `gateway.peers`")]
    Elsewhere { from: IpAddr, site: String },
}

/// What the actors of links share.
pub struct LinkRegistry {
    pub own: Identity,
    pub peers: Vec<Allowed>,
    pub bounds: LinkConfig,
    next: Cell<LinkId>,
}

/// Another site, and the networks that its gateways may come from.
pub struct Allowed {
    pub site: String,
    networks: Vec<IpNet>,
}

impl LinkRegistry {
    pub fn new(own: Identity, gateway: &GatewayConfig, bounds: LinkConfig) -> Rc<LinkRegistry> {
        let peers = gateway.peers.iter();
        let peers = peers.map(|peer| Allowed { site: peer.site.clone(), networks: peer.networks.clone() });
        Rc::new(LinkRegistry { own, peers: peers.collect(), bounds, next: Cell::new(0) })
    }

    fn next_id(&self) -> LinkId {
        self.next.replace(self.next.get() + 1)
    }

    /// Whether one of some site may come from there at all.
    fn admits(&self, from: IpAddr) -> bool {
        self.peers.iter().any(|peer| peer.networks.iter().any(|network| network.contains(&from)))
    }

    /// Whether who greets so may be there: at an address that was gone to, or from one of its site's networks.
    fn is_welcome(&self, greeted: &Identity, from: IpAddr, gone_to: Option<&str>) -> Result<(), Unwelcome> {
        let Some(peer) = self.peers.iter().find(|peer| peer.site == greeted.site) else {
            return Err(Unwelcome::Stranger(greeted.site.clone()));
        };
        match gone_to {
            Some(site) if site == peer.site => Ok(()),
            Some(site) => Err(Unwelcome::Other { is: greeted.site.clone(), wanted: site.to_owned() }),
            None if peer.networks.iter().any(|network| network.contains(&from)) => Ok(()),
            None => Err(Unwelcome::Elsewhere { from, site: greeted.site.clone() }),
        }
    }
}

/// Says what is believed of sites and links to everybody who connects to the socket at that path.
pub async fn serve(context: Rc<ProcessContext>, path: String) {
    let Some(listener) = status::listen(&path, &context.log) else { return };
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    loop {
        let mut stream = acceptor.next().await;
        let (sender, answer) = oneshot::channel();
        if context.dispatcher.send(DispatcherMessage::DescribeSites(sender)).await.is_err() {
            return;
        }
        let Ok(text) = answer.await else { continue };
        // Whoever asked and does not read keeps nobody waiting.
        spawn_local(async move {
            let _ = stream.write_all(text.as_bytes()).await;
        });
    }
}
