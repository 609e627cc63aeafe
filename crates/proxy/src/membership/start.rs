//! Parameters of the membership actor, and the opening of its sockets.

use std::rc::Rc;

use aldermill_leases::Incarnation;
use aldermill_membership::{Config, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress};
use aldermill_operator_config::{CoordinationConfig, MembershipConfig};
use slog::info;
use tokio::sync::watch;

use super::actor::{ActorParts, MembershipActor};
use super::coordination_runner::{CoordinationRunner, call_time};
use super::status_socket::StatusSocket;
use crate::coordination::{Coordination, CoordinationParts};
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::process_context::ProcessContext;
use crate::persistence::DataDirectory;
use crate::system::{self, DatagramSocket};

/// Parameters of the membership actor.
pub struct MembershipSetup {
    /// The operator's section `membership`.
    pub config: MembershipConfig,
    /// This proxy's name, unique in the fleet.
    pub name: String,
    /// Fleet size in the settings.
    pub configured_fleet_size: usize,
    /// Whether the fleet may span several sites. The number of proxies at this site is then unknown, so that
    /// capacity is divided by the configured fleet size.
    pub spans_sites: bool,
    /// Parameters of coordination; `None` if the operator's file has no section `coordination`.
    pub coordination: Option<CoordinationSetup>,
    /// Seed of the random numbers of membership and coordination.
    pub seed: u64,
}

/// Parameters of coordination.
pub struct CoordinationSetup {
    /// The operator's section `coordination`.
    pub config: CoordinationConfig,
    /// Data directory for terms and drain plans; `None` if they are not stored.
    pub directory: Option<Rc<DataDirectory>>,
    /// This proxy's zone.
    pub zone: usize,
    /// Longest timeout of all request classes, in microseconds.
    pub longest_timeout: Micros,
    /// The operator's section `coordination`, updated when it is reloaded on SIGHUP.
    pub reloads: watch::Receiver<Option<CoordinationConfig>>,
}

impl MembershipActor {
    /// Opens the sockets, joins the fleet, and starts this proxy's part in coordination.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be bound to the configured address, or if the configuration of the leases
    /// is invalid.
    pub async fn open(
        context: Rc<ProcessContext>,
        setup: MembershipSetup,
    ) -> Result<MembershipActor, ProgramError> {
        let MembershipSetup { config, name, configured_fleet_size, spans_sites, coordination, seed } = setup;
        let socket = open_socket(&context, &config).await?;
        let local = LocalPeer {
            fleet: config.fleet,
            name,
            address: config.address.unwrap_or(config.listen),
            start: context.clock.wall().max(1) as u64,
        };
        info!(context.log, "membership started";
            "fleet" => &local.fleet, "listen" => %config.listen, "address" => %local.address);
        let status_socket = config.status.and_then(|path| StatusSocket::open(&path, &context.log));
        let now = context.unstalled_clock.now();
        let coordination =
            coordination.map(|setup| open_coordination(&context, setup, &local, seed)).transpose()?;
        let seeds = config.peers.into_iter();
        let membership_config = Config {
            local,
            seeds: seeds.map(|peer| SeedAddress { name: peer.name, address: peer.address }).collect(),
            networks: config.networks,
            periods: ProtocolPeriods::for_fleet_size(configured_fleet_size),
            fleet_size: configured_fleet_size,
        };
        let (membership, actions) = Membership::start(now, membership_config, seed);
        let parts = ActorParts {
            context,
            socket,
            status_socket,
            membership,
            configured_fleet_size,
            spans_sites,
            coordination,
        };
        let mut actor = MembershipActor::new(parts);
        actor.carry_out(actions).await;
        Ok(actor)
    }
}

async fn open_socket(
    context: &ProcessContext,
    config: &MembershipConfig,
) -> Result<DatagramSocket, ProgramError> {
    let address = config.listen;
    let socket = system::bind_datagrams(address).await.map_err(|source| ProgramError::Listen {
        field: "membership.listen",
        address,
        source,
    })?;
    Ok(DatagramSocket::new(socket, context.log.clone()))
}

fn open_coordination(
    context: &ProcessContext,
    setup: CoordinationSetup,
    local: &LocalPeer,
    seed: u64,
) -> Result<CoordinationRunner, ProgramError> {
    let parts = CoordinationParts {
        config: setup.config,
        incarnation: Incarnation { name: local.name.clone(), start: local.start },
        directory: setup.directory,
        zone: setup.zone,
        longest_timeout: setup.longest_timeout,
    };
    let at = call_time(context);
    let (coordination, write_outcomes) =
        Coordination::open(parts, at, seed.rotate_left(3), context.log.clone())?;
    Ok(CoordinationRunner::new(coordination, write_outcomes, setup.reloads, context.unstalled_clock.now()))
}
