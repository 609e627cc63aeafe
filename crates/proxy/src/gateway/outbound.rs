//! Outbound links, i.e. links that this gateway opens, and reopens after they have ended.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_operator_config::PeerSite;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use super::LinkRegistry;
use super::errors::ConnectError;
use super::link::LinkConnection;
use crate::lifecycle::limits::RetryBackoff;
use crate::lifecycle::process_context::ProcessContext;
use crate::system::{self, SocketErrorKind};

/// Number of links to each address of a peer, unless the operator configures one.
const DEFAULT_LINKS_PER_ADDRESS: u32 = 2;
/// Minimum time from the start of an attempt to the end of its link for which the backoff is reset. A link
/// that was still up after this time shows that the address is reachable: over a network path that breaks
/// often, the next attempt is as likely to succeed as the last.
const MIN_STABLE_DURATION: Duration = Duration::from_millis(100);

/// Starts a task for each link to each address of all peers. Each link gets its own seed for its random
/// waits, derived from `seed`.
pub fn maintain_links(
    context: &Rc<ProcessContext>,
    registry: &Rc<LinkRegistry>,
    peers: &[PeerSite],
    seed: u64,
) {
    let mut link_index = 0;
    for peer in peers {
        let links = peer.links.unwrap_or(DEFAULT_LINKS_PER_ADDRESS);
        for &address in &peer.addresses {
            for _ in 0..links {
                let seed = seed.wrapping_add(link_index);
                let link =
                    OutboundLink::new(context.clone(), registry.clone(), peer.site.clone(), address, seed);
                spawn_local(link.maintain());
                link_index += 1;
            }
        }
    }
}

/// One link to a configured address.
struct OutboundLink {
    context: Rc<ProcessContext>,
    registry: Rc<LinkRegistry>,
    /// Site that the configuration names for the address.
    site: String,
    address: SocketAddr,
    rng: Pcg64Mcg,
    /// Maximum wait before the next attempt.
    backoff: Duration,
    /// Whether it has been logged that the address is unreachable.
    is_unreachable: bool,
}

impl OutboundLink {
    fn new(
        context: Rc<ProcessContext>,
        registry: Rc<LinkRegistry>,
        site: String,
        address: SocketAddr,
        seed: u64,
    ) -> OutboundLink {
        let backoff = context.limits.links.retry.initial;
        let rng = Pcg64Mcg::seed_from_u64(seed);
        OutboundLink { context, registry, site, address, rng, backoff, is_unreachable: false }
    }

    /// Opens the link, and reopens it whenever it has ended, until the process shuts down. The wait between
    /// two attempts is random, from half of the backoff to all of it, so that many gateways do not reconnect
    /// at once. The backoff doubles with each attempt, up to the configured maximum, unless the attempt
    /// resets it.
    async fn maintain(mut self) {
        let RetryBackoff { initial, max } = self.context.limits.links.retry;
        loop {
            let reset_backoff = self.open_and_run().await;
            if reset_backoff {
                self.backoff = initial;
            }
            if self.context.stopping.borrow().is_some() {
                return;
            }
            let backoff_ms = self.backoff.as_millis() as u64;
            let wait_ms = self.rng.random_range(backoff_ms / 2..=backoff_ms);
            sleep(Duration::from_millis(wait_ms)).await;
            self.backoff = (self.backoff * 2).min(max);
        }
    }

    /// Opens the link and runs it until it ends. Returns whether the backoff is to be reset: after a link
    /// that shows that the address is reachable, and after an error on this machine.
    async fn open_and_run(&mut self) -> bool {
        let started_at = Instant::now();
        match self.connect().await {
            Ok(stream) => {
                self.log_reachable();
                let was_up = self.run_link(stream).await;
                was_up && started_at.elapsed().as_millis() >= MIN_STABLE_DURATION.as_millis()
            }
            Err(error) => {
                self.log_unreachable(&error);
                // After a local error no packet was sent, so it says nothing about the peer gateway.
                matches!(&error, ConnectError::Io(error) if SocketErrorKind::of(error) == SocketErrorKind::Local)
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream, ConnectError> {
        let connect_timeout = self.context.limits.member.connect_timeout;
        let connected = timeout(connect_timeout, system::connect(self.address, None)).await;
        Ok(connected.map_err(|_| ConnectError::TimedOut)??)
    }

    /// Runs the link until it ends. Returns whether it was ever up.
    async fn run_link(&self, stream: TcpStream) -> bool {
        let connection = LinkConnection::register(
            &self.context,
            &self.registry,
            stream,
            self.address,
            Some(self.site.clone()),
        );
        match connection {
            Some(connection) => connection.run().await,
            None => false,
        }
    }

    fn log_reachable(&mut self) {
        if std::mem::take(&mut self.is_unreachable) {
            info!(self.context.log, "peer gateway reachable again"; "site" => &self.site, "peer" => %self.address);
        }
    }

    fn log_unreachable(&mut self, error: &ConnectError) {
        if !std::mem::replace(&mut self.is_unreachable, true) {
            warn!(self.context.log, "peer gateway unreachable"; "site" => &self.site, "peer" => %self.address,
                "error" => %error);
        }
    }
}
