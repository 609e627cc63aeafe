//! Starts the actors, each in its own function.

use std::rc::Rc;

use aldermill_operator_config::{CoordinationConfig, LeaseKind};
use aldermill_routing::Micros;
use aldermill_settings::Settings;
use aldermill_site_drain::Plan;
use aldermill_stall_detection::start_jitter;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinHandle, spawn_local};

use super::gateway;
use super::resources::{DiscoveryChannels, DispatcherChannels, ReloadChannels, Startup};
use crate::client;
use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::watch::{Watcher, WatcherConfig};
use crate::dispatcher::{Dispatcher, DispatcherParts, GatewayPart, Observations, WarmState};
use crate::lifecycle::clock::duration;
use crate::lifecycle::configuration::{Configuration, ConfigurationFiles};
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::immutable_fields::ImmutableFields;
use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::reload::ReloadActor;
use crate::lifecycle::shutdown::RunningProxy;
use crate::membership::{CoordinationSetup, MembershipActor, MembershipSetup};
use crate::messages::ListUpdate;
use crate::persistence::{self, DataDirectory, Persistence};

/// Number of bits by which the configured seed is rotated left to obtain the seed of the membership actor.
/// Every user of random numbers has its own rotation, and so its own seed.
const MEMBERSHIP_SEED_ROTATION: u32 = 16;
/// Number of bits by which the configured seed is rotated left to obtain the seed of the observations.
const OBSERVATIONS_SEED_ROTATION: u32 = 24;
/// Number of bits by which the configured seed is rotated left to obtain the seed of the discovery watch.
const DISCOVERY_SEED_ROTATION: u32 = 32;

/// The data directory and the state that an earlier start saved in it.
pub(super) struct PersistedState {
    /// The data directory; `None` if the operator's file has no `warm_start` section.
    pub(super) directory: Option<Rc<DataDirectory>>,
    /// The part of the saved state that is passed to the dispatcher; empty without a data directory.
    pub(super) warm_state: WarmState,
}

/// The task of the membership actor, and the information that the dispatcher needs from it before the first
/// request.
#[derive(Default)]
struct StartedMembership {
    /// The task of the membership actor; `None` if the operator's file has no `membership` section.
    task: Option<JoinHandle<()>>,
    /// Site drain plans that an earlier start saved.
    site_drains: Vec<Plan>,
}

impl Startup {
    /// Starts all actors, in the order that the documentation of the `startup` module lists.
    ///
    /// # Errors
    ///
    /// Returns an error if the proxy cannot listen at a configured address, or if the lease protocol cannot
    /// work with the configuration.
    pub async fn spawn_actors(
        self,
        files: ConfigurationFiles,
        hangup: Signal,
    ) -> Result<RunningProxy, ProgramError> {
        let Startup { mut configuration, context, listener, channels, log_guard } = self;
        let immutable = std::mem::take(&mut configuration.immutable);
        spawn_local(context.flow_control.clone().run());
        spawn_reload(&context, channels.reload, files, immutable, hangup);
        let mut persisted = open_data_directory(&context, &configuration).await;
        let revision =
            send_first_list(&mut configuration, &persisted.warm_state, &channels.discovery.list_updates)
                .await;
        let gateway_part = gateway::start(&context, &mut configuration, &mut persisted)?;
        let observations = start_observations(&context, &configuration);
        let reloads = channels.coordination;
        let is_gateway = gateway_part.is_some();
        let membership =
            spawn_membership(&context, &mut configuration, persisted.directory, reloads, is_gateway).await?;
        let watch = create_discovery_watch(&context, &configuration, channels.discovery, revision);
        let inputs = DispatcherInputs {
            gateway_part,
            warm_state: persisted.warm_state,
            observations,
            site_drains: membership.site_drains,
        };
        let dispatcher = spawn_dispatcher(&context, configuration, channels.dispatcher, inputs);
        spawn_local(watch.run());
        let listener = spawn_listener(&context, listener);
        let membership = membership.task;
        Ok(RunningProxy { context, stop: channels.stop, listener, dispatcher, membership, log_guard })
    }
}

/// Starts the reload actor, which reloads the configuration files on SIGHUP.
fn spawn_reload(
    context: &ProcessContext,
    channels: ReloadChannels,
    files: ConfigurationFiles,
    immutable: ImmutableFields,
    hangup: Signal,
) {
    let reload = ReloadActor {
        files,
        immutable,
        discovery: channels.discovery,
        flow_control: context.flow_control.clone(),
        dispatcher: context.dispatcher.clone(),
        coordination: channels.coordination,
        log: context.log.clone(),
    };
    spawn_local(reload.run(hangup));
}

/// Opens the data directory, if one is configured, and reads the state that an earlier start saved.
async fn open_data_directory(context: &ProcessContext, configuration: &Configuration) -> PersistedState {
    let Some(warm_start) = &configuration.operator.warm_start else {
        return PersistedState {
            directory: None,
            warm_state: WarmState { restored: Default::default(), snapshots: None },
        };
    };
    let Persistence { directory, restored, snapshots } = persistence::start(
        warm_start,
        &configuration.name,
        configuration.memory,
        context.clock,
        &context.log,
    )
    .await;
    let warm_state = WarmState { restored: restored.snapshot, snapshots: Some(snapshots) };
    PersistedState { directory: Some(directory), warm_state }
}

/// Sends the newer of the configured and the saved endpoint list to the dispatcher and returns its revision;
/// `None` if there is neither.
async fn send_first_list(
    configuration: &mut Configuration,
    warm_state: &WarmState,
    list_updates: &mpsc::Sender<ListUpdate>,
) -> Option<u64> {
    let configured = configuration.endpoint_list.take();
    let restored = EndpointList::from_snapshot(&warm_state.restored);
    let mut newest = configured.into_iter().chain(restored).max_by_key(|list| list.revision)?;
    let revision = newest.revision;
    newest.complete = true;
    let _ = list_updates.send(ListUpdate::Received(newest)).await;
    Some(revision)
}

/// Starts the observations of this process on which decisions of the fleet are based; returns `None` if the
/// operator's file has no `coordination` section.
fn start_observations(context: &ProcessContext, configuration: &Configuration) -> Option<Observations> {
    let coordination = configuration.operator.coordination.as_ref()?;
    let has_split_points = coordination.leases.contains(&LeaseKind::SplitPoints);
    let seed = configuration.seed.rotate_left(OBSERVATIONS_SEED_ROTATION);
    Some(Observations::start(context.clock.now(), seed, has_split_points))
}

/// Starts the membership actor, which joins the fleet and takes part in coordination, if the operator's file
/// has the sections `membership` and `coordination`. `is_gateway` means that the fleet may span several
/// sites.
async fn spawn_membership(
    context: &Rc<ProcessContext>,
    configuration: &mut Configuration,
    directory: Option<Rc<DataDirectory>>,
    reloads: watch::Receiver<Option<CoordinationConfig>>,
    is_gateway: bool,
) -> Result<StartedMembership, ProgramError> {
    let Some(config) = configuration.operator.membership.take() else {
        return Ok(StartedMembership::default());
    };
    let coordination = configuration.operator.coordination.take().map(|config| CoordinationSetup {
        config,
        directory,
        zone: configuration.settings.router_config.zone,
        longest_timeout: longest_timeout(&configuration.settings),
        reloads,
    });
    let start = MembershipSetup {
        config,
        name: configuration.name.clone(),
        configured_fleet_size: configuration.settings.router_config.routers,
        spans_sites: is_gateway,
        coordination,
        seed: configuration.seed.rotate_left(MEMBERSHIP_SEED_ROTATION),
    };
    let mut actor = MembershipActor::open(context.clone(), start).await?;
    let site_drains = actor.restored_drain_plans();
    Ok(StartedMembership { task: Some(spawn_local(actor.run())), site_drains })
}

/// Returns the longest timeout of any request class, in microseconds; 0 if there is no class.
fn longest_timeout(settings: &Settings) -> Micros {
    settings.router_config.classes.iter().map(|class| class.timeout).max().unwrap_or(0)
}

/// Values that the earlier steps of startup produce for the dispatcher.
struct DispatcherInputs {
    /// The gateway part; `None` if this process is not a gateway.
    gateway_part: Option<GatewayPart>,
    /// The state that an earlier start saved.
    warm_state: WarmState,
    /// The observations for the fleet's decisions; `None` without coordination.
    observations: Option<Observations>,
    /// Site drain plans that an earlier start saved.
    site_drains: Vec<Plan>,
}

/// Starts the dispatcher, which owns the router. Consumes the rest of the configuration. The saved site drain
/// plans are applied before the dispatcher handles its first request.
fn spawn_dispatcher(
    context: &Rc<ProcessContext>,
    configuration: Configuration,
    channels: DispatcherChannels,
    inputs: DispatcherInputs,
) -> JoinHandle<()> {
    let mut dispatcher = Dispatcher::new(DispatcherParts {
        context: context.clone(),
        settings: configuration.settings,
        seed: configuration.seed,
        gateway_part: inputs.gateway_part,
        shadow: configuration.shadow,
        warm_state: inputs.warm_state,
        observations: inputs.observations,
        ready: channels.ready,
        list_requests: channels.list_requests,
    });
    dispatcher.apply_site_drain_plans(inputs.site_drains);
    spawn_local(dispatcher.run(channels.list_updates, channels.messages))
}

/// Creates the discovery watch. It delays its first request, so that processes that start together do not all
/// query discovery at once. `revision` is that of the endpoint list already sent, `None` if there is none.
fn create_discovery_watch(
    context: &Rc<ProcessContext>,
    configuration: &Configuration,
    channels: DiscoveryChannels,
    revision: Option<u64>,
) -> Watcher {
    let fleet_size = configuration.settings.router_config.routers;
    let drain_grace = configuration.settings.drain_grace;
    let mut rng = Pcg64Mcg::seed_from_u64(configuration.seed.rotate_left(DISCOVERY_SEED_ROTATION));
    let delay = start_jitter::start_delay(&configuration.name, fleet_size, drain_grace, &mut rng);
    let config =
        WatcherConfig { list_requests: channels.list_requests, revision, start_delay: duration(delay), rng };
    Watcher::new(context.clone(), channels.list_updates, config)
}

/// Starts the listener, which accepts clients.
fn spawn_listener(context: &Rc<ProcessContext>, listener: TcpListener) -> JoinHandle<()> {
    spawn_local(client::listener::run(context.clone(), listener))
}
