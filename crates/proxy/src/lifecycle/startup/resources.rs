//! Opens the resources that must exist before the first actor starts.

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

use crate::client::PipelineMemory;
use crate::flow_control::FlowControl;
use crate::lifecycle::clock::{self, Clock, UnstalledClock};
use crate::lifecycle::configuration::Configuration;
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::logging::ProcessLog;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{DispatcherMessage, ListUpdate};
use crate::system;

/// A proxy that is being started: its resources are open, but none of its actors runs yet.
pub struct Startup {
    /// The configuration as read from the files. Each actor takes the part that it needs.
    pub(super) configuration: Configuration,
    /// The context that all actors share.
    pub(super) context: Rc<ProcessContext>,
    /// The listening socket for clients.
    pub(super) listener: TcpListener,
    /// The channel ends that each belong to a single actor.
    pub(super) channels: Channels,
    /// Flushes the remaining log lines when dropped.
    pub(super) log_guard: AsyncGuard,
}

/// The channel ends that each belong to a single actor or, in the case of `stop`, to the running proxy.
pub(super) struct Channels {
    /// Channel ends of the reload actor.
    pub(super) reload: ReloadChannels,
    /// Channel ends of the dispatcher.
    pub(super) dispatcher: DispatcherChannels,
    /// Channel ends of the discovery watch.
    pub(super) discovery: DiscoveryChannels,
    /// Receives the reloaded `coordination` section, for the membership actor; the value is `None` until the
    /// first reload, and if the operator's file has no such section.
    pub(super) coordination: watch::Receiver<Option<CoordinationConfig>>,
    /// Notifies all actors of a shutdown: `None` until it begins, then the instant until which new
    /// connections are accepted.
    pub(super) stop: watch::Sender<Option<Instant>>,
}

/// The channels on which the reload actor publishes changes.
pub(super) struct ReloadChannels {
    /// Sends the address of discovery to the discovery watch.
    pub(super) discovery: watch::Sender<SocketAddr>,
    /// Sends the `coordination` section to the membership actor.
    pub(super) coordination: watch::Sender<Option<CoordinationConfig>>,
}

/// The channel ends of the dispatcher.
pub(super) struct DispatcherChannels {
    /// The receiving end of the dispatcher's mailbox.
    pub(super) messages: mpsc::Receiver<DispatcherMessage>,
    /// Receives endpoint lists and changes to them.
    pub(super) list_updates: mpsc::Receiver<ListUpdate>,
    /// Set to `true` once an endpoint list is available.
    pub(super) ready: watch::Sender<bool>,
    /// Sends requests for the endpoint list; `None` if the discovery watch requests the list on its own.
    pub(super) list_requests: Option<mpsc::Sender<()>>,
}

/// The channel ends of the discovery watch.
pub(super) struct DiscoveryChannels {
    /// Sends endpoint lists and changes to them to the dispatcher.
    pub(super) list_updates: mpsc::Sender<ListUpdate>,
    /// Receives the dispatcher's requests for the endpoint list; `None` if the watch requests the list on its
    /// own.
    pub(super) list_requests: Option<mpsc::Receiver<()>>,
}

/// The channel ends that all actors share through [`ProcessContext`].
struct SharedChannels {
    discovery: watch::Receiver<SocketAddr>,
    dispatcher: mpsc::Sender<DispatcherMessage>,
    ready: watch::Receiver<bool>,
    stopping: watch::Receiver<Option<Instant>>,
}

impl Startup {
    /// Opens the resources. Logs `serving` once the listening socket for clients is open, because from then
    /// on the operating system accepts their connections.
    ///
    /// # Errors
    ///
    /// Returns [`ProgramError::Listen`] if the proxy cannot listen at the configured address.
    pub fn open(configuration: Configuration) -> Result<Startup, ProgramError> {
        let ProcessLog { logger, guard } = ProcessLog::start(&configuration.limits);
        let suspension =
            configuration.operator.suspension.then_some(clock::suspended_time as clock::SuspensionClock);
        let clock = Clock::start(clock::unix_now, suspension);
        let unstalled_clock = UnstalledClock::start(clock);
        let flow_control =
            FlowControl::new(unstalled_clock.clone(), logger.clone(), configuration.flow_limits);
        let listener = listen_for_clients(&configuration)?;
        let (channels, shared) = open_channels(&configuration);
        let buffers = &configuration.limits.buffers;
        let pipeline_memory =
            PipelineMemory::new(buffers.pipeline_memory, buffers.small_message, logger.clone());
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
            pipeline_memory,
            highest_priority_classes: configuration.settings.highest_priority_classes().into_iter().collect(),
            member_connection_permits: Arc::new(Semaphore::new(configuration.limits.connections.members)),
            waiting_for_permit: Cell::new(0),
        });
        log_serving(&context.log, &configuration, &listener);
        Ok(Startup { configuration, context, listener, channels, log_guard: guard })
    }
}

fn listen_for_clients(configuration: &Configuration) -> Result<TcpListener, ProgramError> {
    let address = configuration.listen;
    let limits = &configuration.limits;
    system::listen(address, limits.queues.listen_backlog, limits.buffers.client_socket_buffer)
        .map_err(|source| ProgramError::Listen { field: "listen", address, source })
}

fn open_channels(configuration: &Configuration) -> (Channels, SharedChannels) {
    let queues = &configuration.limits.queues;
    let (discovery_sender, discovery) = watch::channel(configuration.discovery);
    let (coordination_sender, coordination) = watch::channel(None);
    let (dispatcher, messages) = mpsc::channel(queues.dispatcher);
    let (list_updates, received_list_updates) = mpsc::channel(queues.list_updates);
    let (ready_sender, ready) = watch::channel(false);
    let (stop, stopping) = watch::channel(None);
    let list_on_request = configuration.settings.router_config.list_requires_subscription;
    let (list_requests, received_list_requests) = mpsc::channel(1);
    let channels = Channels {
        reload: ReloadChannels { discovery: discovery_sender, coordination: coordination_sender },
        dispatcher: DispatcherChannels {
            messages,
            list_updates: received_list_updates,
            ready: ready_sender,
            list_requests: list_on_request.then_some(list_requests),
        },
        discovery: DiscoveryChannels {
            list_updates,
            list_requests: list_on_request.then_some(received_list_requests),
        },
        coordination,
        stop,
    };
    (channels, SharedChannels { discovery, dispatcher, ready, stopping })
}

fn log_serving(log: &Logger, configuration: &Configuration, listener: &TcpListener) {
    // With a configured port of 0 the system chooses the port, so the actual address is logged.
    let address = listener.local_addr().unwrap_or(configuration.listen);
    info!(log, "serving"; "name" => &configuration.name, "listen" => %address,
        "version" => env!("CARGO_PKG_VERSION"));
}
