//! Inbound links, i.e. links that peer gateways open.

use std::net::SocketAddr;
use std::rc::Rc;

use slog::warn;
use tokio::net::TcpListener;
use tokio::task::JoinSet;

use super::LinkRegistry;
use super::errors::ConnectionRejection;
use super::link::LinkConnection;
use crate::lifecycle::process_context::ProcessContext;
use crate::system::Acceptor;

/// Accepts links from the networks of the peers. Never returns.
pub async fn accept_links(context: Rc<ProcessContext>, registry: Rc<LinkRegistry>, listener: TcpListener) {
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = links.join_next() => {}
            (stream, from) = acceptor.next() => {
                if let Err(reason) = check_admission(&context, &registry, links.len(), from) {
                    warn!(context.log, "link rejected"; "peer" => %from, "reason" => %reason);
                    continue;
                }
                if let Some(connection) = LinkConnection::register(&context, &registry, stream, from, None) {
                    links.spawn_local(connection.run());
                }
            }
        }
    }
}

/// Checks whether a connection from the address `from` may become a link while `open_links` inbound links are
/// open.
fn check_admission(
    context: &ProcessContext,
    registry: &LinkRegistry,
    open_links: usize,
    from: SocketAddr,
) -> Result<(), ConnectionRejection> {
    if !registry.is_peer_address(from.ip()) {
        return Err(ConnectionRejection::UnknownNetwork);
    }
    if open_links >= context.limits.links.inbound {
        return Err(ConnectionRejection::TooManyLinks(open_links));
    }
    Ok(())
}
