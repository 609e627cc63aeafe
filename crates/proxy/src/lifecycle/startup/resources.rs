//! What is opened before the first actor starts.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use aldermill_operator_config::CoordinationConfig;
use slog::{Logger, info};
use slog_async::AsyncGuard;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::flow_control::FlowControl;
use crate::lifecycle::clock::{self, Clock, UnstalledClock};
use crate::lifecycle::configuration::Configuration;
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::logging::ProcessLog;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{DispatcherMessage, ListUpdate};
use crate::system;

/// A proxy that is being started: its resources are open, and none of its actors runs.
pub struct Startup {
    /// What was read from the files; each actor takes its part.
    pub(super) configuration: Configuration,
    /// What all actors share.
    pub(super) context: Rc<ProcessContext>,
    /// Where clients are accepted.
    pub(super) listener: TcpListener,
    /// What one actor each receives.
    pub(super) channels: Channels,
    /// Writes the last log lines when it is dropped.
    pub(super) log_guard: AsyncGuard,
}

/// The channel ends that belong to one actor each.
pub(super) struct Channels {
    /// For the reload actor.
    pub(super) reload: ReloadChannels,
    /// For the dispatcher.
    pub(super) dispatcher: DispatcherChannels,
    /// For the discovery watch.
    pub(super) discovery: DiscoveryChannels,
    /// What a reload says of coordination, for the membership actor.
    pub(super) coordination: watch::Receiver<Option<CoordinationConfig>>,
    /// Tells all actors until when new connections are accepted, once the process is to stop.
    pub(super) stop: watch::Sender<Option<Instant>>,
}

/// Where the reload actor sends what has changed.
pub(super) struct ReloadChannels {
    /// The address of discovery, for the discovery watch.
    pub(super) discovery: watch::Sender<SocketAddr>,
    /// The section on coordination, for the membership actor.
    pub(super) coordination: watch::Sender<Option<CoordinationConfig>>,
}

/// What the dispatcher receives, and whom it notifies.
pub(super) struct DispatcherChannels {
    /// Its mailbox.
    pub(super) messages: mpsc::Receiver<DispatcherMessage>,
    /// Endpoint lists, and changes to them.
    pub(super) list_updates: mpsc::Receiver<ListUpdate>,
    /// Set once there is an endpoint list.
    pub(super) ready: watch::Sender<bool>,
    /// Asks for the endpoint list; `None` where the watch asks by itself.
    pub(super) list_requests: Option<mpsc::Sender<()>>,
}

/// What the discovery watch sends and receives.
pub(super) struct DiscoveryChannels {
    /// Endpoint lists, and changes to them, for the dispatcher.
    pub(super) list_updates: mpsc::Sender<ListUpdate>,
    /// The dispatcher's requests for the endpoint list; `None` where the watch asks by itself.
    pub(super) list_requests: Option<mpsc::Receiver<()>>,
}

/// The channel ends that all actors share.
struct SharedChannels {
    discovery: watch::Receiver<SocketAddr>,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    ready: watch::Receiver<bool>,
    stopping: watch::Receiver<Option<Instant>>,
}

impl Startup {
    /// Opens the resources. The log says `serving` once the clients' socket is open: from then on the system accepts them.
    ///
    /// # Errors
    ///
    /// Nobody can listen at the configured address.
    pub fn open(configuration: Configuration) -> Result<Startup, ProgramError> {
        let ProcessLog { logger, guard } = ProcessLog::start(&configuration.limits);
        let suspension =
            configuration.operator.suspension.then_some(clock::suspended_time as clock::SuspensionClock);
        let clock = Clock::start(clock::unix_now, suspension);
        let unstalled_clock = UnstalledClock::start(clock);
        let flow_control =
            FlowControl::new(unstalled_clock.clone(), logger.clone(), configuration.flow_limits);
        let listener = listen(&configuration)?;
        let (channels, shared) = open_channels(&configuration);
        let context = Rc::new(ProcessContext {
            clock,
            unstalled_clock,
            limits: configuration.limits.clone(),
            log: logger,
            discovery: shared.discovery,
            dispatcher: shared.dispatcher,
            ready: shared.ready,
            stopping: shared.stopping,
            flow_control,
            highest_priority_classes: configuration.settings.highest_priority_classes().into_iter().collect(),
            member_connection_permits: Arc::new(Semaphore::new(configuration.limits.connections.members)),
            waiting_for_permit: Cell::new(0),
        });
        log_serving(&context.log, &configuration, &listener);
        Ok(Startup { configuration, context, listener, channels, log_guard: guard })
    }
}

fn listen(configuration: &Configuration) -> Result<TcpListener, ProgramError> {
    let address = configuration.listen;
    let limits = &configuration.limits;
    system::listen(address, limits.queues.listen_backlog, limits.buffers.client_socket_buffer)
        .map_err(|source| ProgramError::Listen { field: "listen", address, source })
}

fn open_channels(configuration: &Configuration) -> (Channels, SharedChannels) {
    let queues = &configuration.limits.queues;
    let (discovery_changes, discovery) = watch::channel(configuration.discovery);
    let (coordination_changes, coordination) = watch::channel(None);
    let (dispatcher, messages) = mpsc::channel(queues.dispatcher);
    let (list_updates, received_list_updates) = mpsc::channel(queues.list_updates);
    let (has_list, ready) = watch::channel(false);
    let (stop, stopping) = watch::channel(None);
    let on_request = configuration.settings.router_config.list_requires_subscription;
    let (list_requests, received_list_requests) = mpsc::channel(1);
    let channels = Channels {
        reload: ReloadChannels { discovery: discovery_changes, coordination: coordination_changes },
        dispatcher: DispatcherChannels {
            messages,
            list_updates: received_list_updates,
            ready: has_list,
            list_requests: on_request.then_some(list_requests),
        },
        discovery: DiscoveryChannels {
            list_updates,
            list_requests: on_request.then_some(received_list_requests),
        },
        coordination,
        stop,
    };
    (channels, SharedChannels { discovery, dispatcher, ready, stopping })
}

fn log_serving(log: &Logger, configuration: &Configuration, listener: &TcpListener) {
    // Port 0 is configured where the system is to choose.
    let address = listener.local_addr().unwrap_or(configuration.listen);
    info!(log, "serving"; "name" => &configuration.name, "listen" => %address,
        "version" => env!("CARGO_PKG_VERSION"));
}
