//! The actor that accepts clients until the process is stopping and the last client has its answer.

use std::rc::Rc;

use slog::{info, warn};
use tokio::net::TcpListener;
use tokio::task;
use tokio::time::{Instant, sleep_until};

use super::registry::ConnectionRegistry;
use crate::lifecycle::limits::DescriptorLimits;
use crate::lifecycle::process_context::ProcessContext;
use crate::system::Acceptor;

/// Accepts clients and serves them. Returns once the process was asked to stop and the last client has its
/// answer.
pub async fn run(context: Rc<ProcessContext>, listener: TcpListener) {
    warn_if_descriptors_limited(&context);
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    let mut registry = ConnectionRegistry::new(context.clone());
    accept_until_stopped(&context, &mut acceptor, &mut registry).await;
    let backlog = context.limits.queues.listen_backlog as usize;
    accept_backlog(&mut acceptor, &mut registry, backlog).await;
    drop(acceptor);
    registry.join_all().await;
}

/// Logs a warning if the configuration promises more descriptors than the system allows.
fn warn_if_descriptors_limited(context: &ProcessContext) {
    let DescriptorLimits { configured, allowed } = context.limits.descriptors;
    if allowed < configured {
        warn!(context.log, "the system allows fewer descriptors than limits.sockets, those are shared out; raise ulimit -n";
            "allowed" => allowed, "configured" => configured);
    }
}

/// Accepts clients for some time after the process was asked to stop, because clients whose connections are
/// on the way do not know of the stop.
async fn accept_until_stopped(
    context: &ProcessContext,
    acceptor: &mut Acceptor<TcpListener>,
    registry: &mut ConnectionRegistry,
) {
    let mut stopping = context.stopping.clone();
    let mut accepts_until: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            () = registry.reap() => {}
            Ok(until) = stopping.wait_for(Option::is_some), if accepts_until.is_none() => {
                accepts_until = *until;
                info!(context.log, "stopping"; "clients" => registry.len());
            }
            () = sleep_until(accepts_until.unwrap_or_else(Instant::now)), if accepts_until.is_some() => return,
            (stream, address) = acceptor.next() => {
                registry.admit_or_reject(stream, address.ip());
                // Lets open connections be served in between, however many clients connect at once.
                task::yield_now().await;
            }
        }
    }
}

/// Accepts the connections that the kernel had accepted before the end: at most `backlog`, as clients may go on to
/// connect faster than they are accepted. The kernel is asked for them once more.
async fn accept_backlog(
    acceptor: &mut Acceptor<TcpListener>,
    registry: &mut ConnectionRegistry,
    backlog: usize,
) {
    for _ in 0..backlog {
        task::yield_now().await;
        let Some((stream, address)) = acceptor.next_from_backlog().await else { return };
        registry.reap_ended();
        registry.admit_or_reject(stream, address.ip());
    }
}
