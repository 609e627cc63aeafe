//! Starts the links to other sites and creates the dispatcher's gateway part.

use std::rc::Rc;

use aldermill_operator_config::GatewayConfig;
use aldermill_site_link::{Identity, LinkConfig};
use slog::info;
use tokio::task::spawn_local;

use super::actors::PersistedState;
use crate::dispatcher::{GatewayPart, GatewaySetup};
use crate::gateway::{self, LinkRegistry};
use crate::lifecycle::configuration::Configuration;
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::process_context::ProcessContext;
use crate::system;

/// Default for `gateway.hops`: maximum number of links that a request may be forwarded over.
const DEFAULT_MAX_HOPS: u32 = 1;
/// Default for `gateway.credit`: maximum number of requests of one class that another gateway may have in
/// flight here.
const DEFAULT_CREDIT: u32 = 256;
/// The data that waits to be written to one link may take up the buffer budget divided by this number, but at
/// least [`MIN_LINK_QUEUE_BYTES`].
const LINK_BUDGET_DIVISOR: usize = 8;
/// Lower bound of the limit on the data that waits to be written to one link, in bytes.
const MIN_LINK_QUEUE_BYTES: usize = 256 * 1024;

/// Starts the links to other sites and creates the gateway part; returns `None` if the operator's file has no
/// `gateway` section. Home sites that an earlier start saved take precedence over those of the file.
///
/// # Errors
///
/// Returns [`ProgramError::Listen`] if the proxy cannot listen for links at the configured address.
pub(super) fn start(
    context: &Rc<ProcessContext>,
    configuration: &mut Configuration,
    persisted: &mut PersistedState,
) -> Result<Option<GatewayPart>, ProgramError> {
    let Some(mut gateway) = configuration.operator.gateway.take() else { return Ok(None) };
    gateway.homes.extend(std::mem::take(&mut persisted.warm_state.restored.home_sites));
    let now = context.clock.now();
    let own_identity = Identity {
        site: gateway.site.clone(),
        instance: configuration.name.clone(),
        // The time of the start, which differs after every restart.
        incarnation: now.max(1) as u64,
    };
    let registry = LinkRegistry::new(own_identity.clone(), &gateway, link_config(context, configuration));
    accept_links(context, &registry, &gateway)?;
    gateway::maintain_links(context, &registry, &gateway.peers, configuration.seed);
    if let Some(path) = &gateway.status {
        spawn_local(gateway::serve_status(context.clone(), path.clone()));
    }
    let setup = gateway_setup(context, own_identity, gateway, persisted);
    Ok(Some(GatewayPart::new(setup, &configuration.settings, configuration.seed, now)))
}

/// Returns the limits of each link.
fn link_config(context: &ProcessContext, configuration: &Configuration) -> LinkConfig {
    let budget = configuration.flow_limits.budget as usize;
    let buffers = &context.limits.buffers;
    LinkConfig {
        max_queued: (budget / LINK_BUDGET_DIVISOR).max(MIN_LINK_QUEUE_BYTES),
        ..LinkConfig::standard(buffers.max_statement, buffers.max_response)
    }
}

/// Accepts links of other sites, if the operator's file has `gateway.listen`.
fn accept_links(
    context: &Rc<ProcessContext>,
    registry: &Rc<LinkRegistry>,
    config: &GatewayConfig,
) -> Result<(), ProgramError> {
    let Some(address) = config.listen else { return Ok(()) };
    let limits = &context.limits;
    let listener = system::listen(address, limits.queues.listen_backlog, limits.buffers.member_socket_buffer)
        .map_err(|source| ProgramError::Listen { field: "gateway.listen", address, source })?;
    let address = listener.local_addr().unwrap_or(address);
    info!(context.log, "gateway accepts links"; "site" => &config.site, "links" => %address);
    spawn_local(gateway::accept_links(context.clone(), registry.clone(), listener));
    Ok(())
}

/// Returns the initial values of the dispatcher's gateway part.
fn gateway_setup(
    context: &ProcessContext,
    own_identity: Identity,
    gateway: GatewayConfig,
    persisted: &PersistedState,
) -> GatewaySetup {
    GatewaySetup {
        identity: own_identity,
        peers: gateway.peers.iter().map(|peer| peer.site.clone()).collect(),
        homes: gateway.homes.into_iter().collect(),
        max_hops: gateway.hops.unwrap_or(DEFAULT_MAX_HOPS) as usize,
        max_credit: gateway.credit.unwrap_or(DEFAULT_CREDIT),
        session_field: gateway.session,
        max_outcomes_per_sender: context.limits.links.outcomes_per_sender,
        directory: persisted.directory.clone(),
    }
}
