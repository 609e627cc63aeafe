//! Links that this gateway opens, and opens again after they ended.

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

/// Links to each address of a peer, where the operator names no figure.
const DEFAULT_LINKS_PER_ADDRESS: u32 = 2;
/// A link that was up this long after the attempt to open it began shows that its address can be reached: on a line that
/// breaks often the next attempt is as good as the last.
const STABLE_AFTER: Duration = Duration::from_millis(100);

/// Starts to maintain links to the addresses of all peers, each with a seed of its own for its waits.
pub fn maintain_links(
    context: &Rc<ProcessContext>,
    registry: &Rc<LinkRegistry>,
    peers: &[PeerSite],
    seed: u64,
) {
    let mut number = 0;
    for peer in peers {
        let links = peer.links.unwrap_or(DEFAULT_LINKS_PER_ADDRESS);
        for &address in &peer.addresses {
            for _ in 0..links {
                let seed = seed.wrapping_add(number);
                let link =
                    OutboundLink::new(context.clone(), registry.clone(), peer.site.clone(), address, seed);
                spawn_local(link.maintain());
                number += 1;
            }
        }
    }
}

/// One link to an address.
struct OutboundLink {
    context: Rc<ProcessContext>,
    registry: Rc<LinkRegistry>,
    /// The site that the configuration names for the address.
    site: String,
    address: SocketAddr,
    rng: Pcg64Mcg,
    /// The longest wait before the next attempt.
    retry_wait: Duration,
    /// Whether it is logged that nobody can be reached there.
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
        let retry_wait = context.limits.links.retry.initial;
        let rng = Pcg64Mcg::seed_from_u64(seed);
        OutboundLink { context, registry, site, address, rng, retry_wait, is_unreachable: false }
    }

    /// Opens the link again whenever it has ended, until this process shuts down. The wait before that is random, so that
    /// many gateways do not come back at once, and longer after each attempt that failed.
    async fn maintain(mut self) {
        let RetryBackoff { initial, max } = self.context.limits.links.retry;
        loop {
            let may_retry_soon = self.open_and_run().await;
            if may_retry_soon {
                self.retry_wait = initial;
            }
            if self.context.stopping.borrow().is_some() {
                return;
            }
            let max_wait_ms = self.retry_wait.as_millis() as u64;
            let wait_ms = self.rng.random_range(max_wait_ms / 2..=max_wait_ms);
            sleep(Duration::from_millis(wait_ms)).await;
            self.retry_wait = (self.retry_wait * 2).min(max);
        }
    }

    /// One link from its opening to its end; whether nothing speaks against another attempt soon.
    async fn open_and_run(&mut self) -> bool {
        let since = Instant::now();
        match self.connect().await {
            Ok(stream) => {
                self.log_reachable();
                let was_up = self.run_link(stream).await;
                was_up && since.elapsed().as_millis() >= STABLE_AFTER.as_millis()
            }
            Err(error) => {
                self.log_unreachable(&error);
                // Nothing left this machine, so nothing is known of the other side.
                matches!(&error, ConnectError::Io(error) if SocketErrorKind::of(error) == SocketErrorKind::Local)
            }
        }
    }

    async fn connect(&self) -> Result<TcpStream, ConnectError> {
        let connect_timeout = self.context.limits.member.connect_timeout;
        let connected = timeout(connect_timeout, system::connect(self.address, None)).await;
        Ok(connected.map_err(|_| ConnectError::TimedOut)??)
    }

    /// Runs the link until it ends; whether it was ever up.
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
