//! Who comes, and who is gone to.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

use super::LinkRegistry;
use super::link::{Wire, stood};
use crate::lifecycle::limits::RetryInterval;
use crate::lifecycle::process_context::ProcessContext;
use crate::system::{self, Acceptor, Meaning};

/// Takes links in from the networks of the peers, until the driver stops.
pub async fn accept(context: Rc<ProcessContext>, yard: Rc<LinkRegistry>, listener: TcpListener) {
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    let mut links = JoinSet::new();
    loop {
        tokio::select! {
            Some(_) = links.join_next() => {}
            (stream, from) = acceptor.next() => {
                if !yard.admits(from.ip()) {
                    warn!(context.log, "link refused"; "peer" => %from, "why" => "in none of the peers' networks");
                    continue;
                }
                if links.len() >= context.limits.links.inbound {
                    warn!(context.log, "link refused"; "peer" => %from, "why" => "too many links");
                    continue;
                }
                if let Some(wire) = wire(&context, &yard, stream, from, None) {
                    links.spawn_local(async move {
                        let _ = wire.run().await;
                    });
                }
            }
        }
    }
}

/// Keeps a link to that address, for ever. After a break it waits for a time by chance, longer after each attempt
/// that failed: many gateways do not come back at once.
pub async fn keep(
    context: Rc<ProcessContext>,
    yard: Rc<LinkRegistry>,
    site: String,
    address: SocketAddr,
    seed: u64,
) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let RetryInterval { initial: least, max: most } = context.limits.links.retry;
    let mut wait = least;
    let mut silent = false;
    loop {
        let since = Instant::now();
        let opened = timeout(context.limits.member.connect_timeout, system::connect(address, None)).await;
        match opened {
            Ok(Ok(stream)) => {
                if std::mem::take(&mut silent) {
                    info!(context.log, "gateway reached again"; "site" => &site, "peer" => %address);
                }
                let wire = wire(&context, &yard, stream, address, Some(site.clone()));
                let met = match wire {
                    Some(wire) => wire.run().await,
                    None => false,
                };
                if met && stood(since) {
                    wait = least;
                }
            }
            failed => {
                if matches!(&failed, Ok(Err(error)) if Meaning::of(error) == Meaning::Local) {
                    // Nothing left this machine, and nothing is known of the other site.
                    wait = least;
                }
                if !std::mem::replace(&mut silent, true) {
                    let why = match failed {
                        Ok(Err(error)) => error.to_string(),
                        _ => "no connection in time".to_owned(),
                    };
                    warn!(context.log, "gateway out of reach"; "site" => &site, "peer" => %address, "why" => why);
                }
            }
        }
        if context.stopping.borrow().is_some() {
            return;
        }
        let millis = wait.as_millis() as u64;
        sleep(Duration::from_millis(rng.random_range(millis / 2..=millis))).await;
        wait = (wait * 2).min(most);
    }
}

fn wire(
    context: &Rc<ProcessContext>,
    yard: &Rc<LinkRegistry>,
    stream: TcpStream,
    from: SocketAddr,
    gone_to: Option<String>,
) -> Option<Wire> {
    let _ = stream.set_nodelay(true);
    let connection_guard = context.flow_control.register(from.ip()).ok()?;
    Some(Wire { context: context.clone(), yard: yard.clone(), stream, from, gone_to, connection_guard })
}

/// Starts all that keeps links.
pub fn start(
    context: &Rc<ProcessContext>,
    yard: &Rc<LinkRegistry>,
    gone_to: Vec<(String, SocketAddr)>,
    seed: u64,
) {
    for (number, (site, address)) in gone_to.into_iter().enumerate() {
        spawn_local(keep(context.clone(), yard.clone(), site, address, seed.wrapping_add(number as u64)));
    }
}
