//! Starts the links to other sites, and the dispatcher's part in them.

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

/// Sites that a request may come through, where the operator's file does not say.
const DEFAULT_MAX_HOPS: u32 = 1;
/// Requests that another gateway may have under way here, where the operator's file does not say.
const DEFAULT_CREDIT: u32 = 256;
/// What may wait to be written to one link is this part of the buffer budget, and no less than the bytes below.
const LINK_SHARE_OF_BUDGET: usize = 8;
const MIN_LINK_BACKLOG: usize = 256 * 1024;

/// Starts the links, if the operator's file has a gateway; `None` if not. Home sites that a former start saved come before
/// those of the file.
///
/// # Errors
///
/// Nobody can listen for links at the configured address.
pub(super) fn start(
    context: &Rc<ProcessContext>,
    configuration: &mut Configuration,
    persisted: &mut PersistedState,
) -> Result<Option<GatewayPart>, ProgramError> {
    let Some(mut gateway) = configuration.operator.gateway.take() else { return Ok(None) };
    gateway.homes.extend(std::mem::take(&mut persisted.warm_state.restored.home_sites));
    let now = context.clock.now();
    let own = Identity {
        site: gateway.site.clone(),
        instance: configuration.name.clone(),
        // New with every start: the time of it, which a restart does not share.
        incarnation: now.max(1) as u64,
    };
    let registry = LinkRegistry::new(own.clone(), &gateway, link_config(context, configuration));
    accept_links(context, &registry, &gateway)?;
    gateway::maintain_links(context, &registry, &gateway.peers, configuration.seed);
    if let Some(path) = &gateway.status {
        spawn_local(gateway::serve_status(context.clone(), path.clone()));
    }
    let setup = gateway_setup(context, own, gateway, persisted);
    Ok(Some(GatewayPart::new(setup, &configuration.settings, configuration.seed, now)))
}

/// Limits of each link.
fn link_config(context: &ProcessContext, configuration: &Configuration) -> LinkConfig {
    let budget = configuration.flow_limits.budget as usize;
    let buffers = &context.limits.buffers;
    LinkConfig {
        max_queued: (budget / LINK_SHARE_OF_BUDGET).max(MIN_LINK_BACKLOG),
        ..LinkConfig::standard(buffers.max_statement, buffers.max_response)
    }
}

/// Accepts links of other sites, where the operator's file says at which address.
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

/// What the dispatcher's part starts with.
fn gateway_setup(
    context: &ProcessContext,
    own: Identity,
    gateway: GatewayConfig,
    persisted: &PersistedState,
) -> GatewaySetup {
    GatewaySetup {
        identity: own,
        peers: gateway.peers.iter().map(|peer| peer.site.clone()).collect(),
        homes: gateway.homes.into_iter().collect(),
        max_hops: gateway.hops.unwrap_or(DEFAULT_MAX_HOPS) as usize,
        max_credit: gateway.credit.unwrap_or(DEFAULT_CREDIT),
        session_field: gateway.session,
        max_outcomes_per_sender: context.limits.links.outcomes_per_sender,
        directory: persisted.directory.clone(),
    }
}
