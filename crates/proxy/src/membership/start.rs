//! What the membership actor starts with, and how it opens its sockets.

use std::rc::Rc;

use aldermill_leases::Incarnation;
use aldermill_membership::{Config, LocalPeer, Membership, Micros, ProtocolPeriods, SeedAddress};
use aldermill_operator_config::{CoordinationConfig, MembershipConfig};
use slog::info;
use tokio::sync::watch;

use super::actor::{ActorParts, MembershipActor};
use super::coordination_link::{CoordinationLink, call_time};
use super::status_socket::StatusSocket;
use crate::coordination::{Coordination, CoordinationParts};
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::process_context::ProcessContext;
use crate::persistence::DataDirectory;
use crate::system::{self, DatagramSocket};

/// What the membership actor starts with.
pub struct MembershipStart {
    /// The operator's section `membership`.
    pub config: MembershipConfig,
    /// This proxy's name, unique in the fleet.
    pub name: String,
    /// How many proxies the settings say that there are.
    pub configured_fleet_size: usize,
    /// The fleet may be that of several sites: how many of it are at this one is not known, so capacity is divided by the
    /// configured size.
    pub spans_sites: bool,
    /// What coordination starts with, if the operator's file has that section.
    pub coordination: Option<CoordinationStart>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// What coordination starts with.
pub struct CoordinationStart {
    /// The operator's section `coordination`.
    pub config: CoordinationConfig,
    /// Where terms and drain plans are stored, if anything is.
    pub directory: Option<Rc<DataDirectory>>,
    /// This proxy's zone.
    pub zone: usize,
    /// The longest timeout of all request classes, in microseconds.
    pub longest_timeout: Micros,
    /// The section as it is read again on SIGHUP.
    pub reloads: watch::Receiver<Option<CoordinationConfig>>,
}

impl MembershipActor {
    /// Opens the sockets, joins the fleet, and starts this proxy's part in coordination.
    ///
    /// # Errors
    ///
    /// The address can't be listened at, or the leases' configuration can't work.
    pub async fn open(
        context: Rc<ProcessContext>,
        start: MembershipStart,
    ) -> Result<MembershipActor, ProgramError> {
        let MembershipStart { config, name, configured_fleet_size, spans_sites, coordination, seed } = start;
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
            coordination.map(|start| open_coordination(&context, start, &local, seed)).transpose()?;
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
    start: CoordinationStart,
    local: &LocalPeer,
    seed: u64,
) -> Result<CoordinationLink, ProgramError> {
    let parts = CoordinationParts {
        config: start.config,
        incarnation: Incarnation { name: local.name.clone(), start: local.start },
        directory: start.directory,
        zone: start.zone,
        longest_timeout: start.longest_timeout,
    };
    let at = call_time(context);
    let (coordination, write_outcomes) =
        Coordination::open(parts, at, seed.rotate_left(3), context.log.clone())?;
    Ok(CoordinationLink::new(coordination, write_outcomes, start.reloads, context.unstalled_clock.now()))
}
