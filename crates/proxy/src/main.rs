//! aldermill: a proxy before groups of databases, each a primary and its replicas.

mod cli;
mod client;
mod coordination;
mod discovery;
mod dispatcher;
mod flow_control;
mod gateway;
mod lifecycle;
mod member;
mod membership;
mod messages;
mod persistence;
mod shadow;
mod system;

use std::cell::Cell;
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;

use aldermill_operator_config::{GatewayConfig, LeaseKind, Operator};
use aldermill_settings::Decoded;
use aldermill_site_link::{Identity, LinkLimits};
use aldermill_stall_detection::start_jitter;
use bpaf::Bpaf;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::{Drain, Logger, info, o};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot, watch as notice};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, timeout};

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::watch::{Watch, WatchConfig};
use crate::dispatcher::{Dispatcher, DispatcherParts, GatewayPart, Observations, Opening, WarmState};
use crate::flow_control::FlowControl;
use crate::gateway::LinkRegistry;
use crate::lifecycle::clock::{Clock, UnstalledClock, duration};
use crate::lifecycle::configuration::{Files, Start};
use crate::lifecycle::errors::ProgramError;
use crate::lifecycle::limits::Limits;
use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::reload::Reload;
use crate::membership::{CoordinationStart, MembershipActor, MembershipStart};
use crate::messages::{DispatcherMessage, ListUpdate};
use crate::persistence::{DataDirectory, Persistence};

/// A proxy before groups of databases, each a primary and its replicas
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
enum Command {
    /// Serve clients until told to stop by SIGTERM or SIGINT
    #[bpaf(command)]
    Serve {
        /// The configuration
        #[bpaf(long, argument("FILE"), env("GW_CONFIG"))]
        config: String,
        /// The operator's own file
        #[bpaf(long, argument("FILE"), env("ALDERMILL_OPERATOR"))]
        operator: Option<String>,
    },
    /// Read a configuration and say what was understood, or what is wrong
    #[bpaf(command)]
    Check {
        /// The configuration
        #[bpaf(long, argument("FILE"), env("GW_CONFIG"))]
        config: String,
        /// The operator's own file
        #[bpaf(long, argument("FILE"), env("ALDERMILL_OPERATOR"))]
        operator: Option<String>,
    },
    /// Say what a running gateway believes of sites and links, as JSON
    #[bpaf(command)]
    Sites {
        /// The status socket that the operator's own file names
        #[bpaf(positional("SOCKET"))]
        socket: String,
    },
    /// Say which other drivers a running one knows of
    #[bpaf(command)]
    Fellows {
        /// As the JSON object that the driver gives
        #[bpaf(long)]
        json: bool,
        /// The status socket that the operator's own file names
        #[bpaf(positional("SOCKET"))]
        socket: String,
    },
    /// Look at what a driver keeps over a restart, or compact it
    #[bpaf(command)]
    Store {
        #[bpaf(external(folder_work))]
        work: FolderWork,
    },
    /// Print the JSON schema of the operator's own file
    #[bpaf(command)]
    Schema,
    /// Print the version
    #[bpaf(command)]
    Version,
}

#[derive(Clone, Debug, Bpaf)]
enum FolderWork {
    /// Say whether all of it can be read; exit code 1 where something is damaged
    #[bpaf(command)]
    Check {
        #[bpaf(positional("FOLDER"))]
        folder: String,
    },
    /// Print every record as a line of JSON
    #[bpaf(command)]
    Dump {
        #[bpaf(positional("FOLDER"))]
        folder: String,
    },
    /// Write what is live to one segment; no driver may have the folder open
    #[bpaf(command)]
    Compact {
        #[bpaf(positional("FOLDER"))]
        folder: String,
    },
}

fn main() -> ExitCode {
    let done = match command().run() {
        Command::Serve { config, operator } => serve(Files { config, operator }),
        Command::Check { config, operator } => {
            read(&Files { config, operator }).map(|start| describe(&start))
        }
        Command::Sites { socket } => cli::status::ask(&socket).map(|text| print!("{text}")),
        Command::Fellows { json, socket } => {
            membership::status::query(&socket, json).map(|text| print!("{text}"))
        }
        Command::Store { work: FolderWork::Check { folder } } => persistence::maintenance::check(&folder)
            .and_then(|sound| sound.then_some(()).ok_or_else(|| ProgramError::Damaged(folder.clone()))),
        Command::Store { work: FolderWork::Dump { folder } } => persistence::maintenance::dump(&folder),
        Command::Store { work: FolderWork::Compact { folder } } => persistence::maintenance::compact(&folder),
        Command::Schema => {
            print!("{}", Operator::schema());
            Ok(())
        }
        Command::Version => {
            println!("aldermill {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("aldermill: {why}");
            ExitCode::FAILURE
        }
    }
}

fn read(files: &Files) -> Result<Start, ProgramError> {
    Start::read(files, |name| std::env::var(name).ok().filter(|value| !value.is_empty()))
}

fn describe(start: &Start) {
    let limits = &start.limits;
    println!("driver {} listens on {}, discovery at {}", start.name, start.listen, start.discovery);
    let known = start.known.as_ref().map_or(0, |known| known.endpoints.len());
    println!("{known} members known, {} offerings", start.decoded.terms.classes.len());
    println!(
        "connections: {} from clients, {} to members",
        limits.connections.clients, limits.connections.members
    );
    let (room, connection) = (start.bounds.budget / 1024, start.bounds.per_connection / 1024);
    println!("room for what waits: {room} KiB, {connection} KiB for one connection");
}

fn logger(limits: &Limits) -> (Logger, slog_async::AsyncGuard) {
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let format = slog_term::FullFormat::new(decorator).use_utc_timestamp().build().fuse();
    // A reader that stands still costs lines, never time.
    let (drain, guard) = slog_async::Async::new(format)
        .chan_size(limits.queues.log_lines)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build_with_guard();
    (Logger::root(drain.fuse(), o!()), guard)
}

fn serve(files: Files) -> Result<(), ProgramError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|why| ProgramError::System { what: "runtime", why })?;
    runtime.block_on(LocalSet::new().run_until(async {
        // Before anything else: from here on none of them ends the program by itself.
        let heard = |kind| signal(kind).map_err(|why| ProgramError::System { what: "signals", why });
        let ends = [heard(SignalKind::terminate())?, heard(SignalKind::interrupt())?];
        let hangup = heard(SignalKind::hangup())?;
        run(read(&files)?, files, ends, hangup).await
    }))
}

/// Starts the actors and stays until the listener has served its last client.
async fn run(start: Start, files: Files, ends: [Signal; 2], hangup: Signal) -> Result<(), ProgramError> {
    let Start {
        name,
        listen,
        discovery,
        seed,
        limits,
        bounds,
        gateway,
        trial,
        warm,
        fellows,
        council,
        suspension,
        memory,
        known,
        decoded,
        fixed,
    } = start;
    let (stop_window, stop_guests) = (limits.shutdown.accept_window, limits.shutdown.remote_request_wait);
    let (log, _guard) = logger(&limits);
    let [mut terminate, mut interrupt] = ends;
    let (address, discovery) = notice::channel(discovery);
    let clock = Clock::start(lifecycle::clock::unix_now, suspension.then_some(lifecycle::clock::suspended));
    let unstalled_clock = UnstalledClock::start(clock);
    let flow_control = FlowControl::new(unstalled_clock.clone(), log.clone(), bounds);
    spawn_local(flow_control.clone().run());
    let listener = system::listen(listen, limits.queues.listen_backlog, limits.buffers.client_socket)
        .map_err(|why| ProgramError::Listen { field: "listen", address: listen, why })?;

    let (wanted, reread) = notice::channel(None);
    let (dispatcher, calls) = mpsc::channel(limits.queues.dispatcher);
    spawn_local(
        Reload {
            files,
            fixed,
            discovery: address,
            flow_control: flow_control.clone(),
            dispatcher: dispatcher.clone(),
            council: wanted,
            log: log.clone(),
        }
        .run(hangup),
    );
    let (list_update, list_updates) = mpsc::channel(limits.queues.list_updates);
    let (ready, seen_ready) = notice::channel(false);
    let (stop, stopping) = notice::channel(None);
    let member_room = Arc::new(Semaphore::new(limits.connections.members));
    let room = bounds.budget as usize;
    let (on_request, drivers) = (decoded.terms.list_on_request, decoded.terms.drivers);
    let zone = decoded.terms.zone;
    let longest_timeout = decoded.terms.classes.iter().map(|class| class.timeout).max().unwrap_or(0);
    let grace = decoded.drain_grace;
    let (request, requests) = mpsc::channel(1);
    let context = Rc::new(ProcessContext {
        clock,
        unstalled_clock,
        limits,
        log: log.clone(),
        discovery,
        dispatcher,
        ready: seen_ready,
        stopping,
        flow_control: flow_control.clone(),
        best_paid: decoded.best_paid().into_iter().collect(),
        member_room,
        waiting_for_room: Cell::new(0),
    });
    let address = listener.local_addr().unwrap_or(listen);
    info!(log, "serving"; "name" => &name, "listen" => %address, "version" => env!("CARGO_PKG_VERSION"));

    let persistence = match &warm {
        Some(warm) => Some(persistence::start(warm, &name, memory, clock, &log).await),
        None => None,
    };
    let (data_directory, mut restored, snapshots) = match persistence {
        Some(Persistence { directory, restored, snapshots }) => (Some(directory), restored, Some(snapshots)),
        None => Default::default(),
    };
    // Of two lists the one of the later revision is the later one.
    let restored_list = EndpointList::from_snapshot(&restored.snapshot);
    let known = known.into_iter().chain(restored_list).max_by_key(|list| list.revision);
    let revision = known.as_ref().map(|known| known.revision);
    if let Some(mut known) = known {
        known.complete = true;
        let _ = list_update.send(ListUpdate::Received(known)).await;
    }
    let gateway_part = match gateway {
        Some(mut gateway) => {
            gateway.homes.extend(std::mem::take(&mut restored.snapshot.home_sites));
            Some(open_gateway(&context, &decoded, gateway, &name, seed, room, data_directory.clone()).await?)
        }
        None => None,
    };
    let warm_state = WarmState { restored: restored.snapshot, snapshots };
    let observations = council.as_ref().map(|council| {
        let splits = council.leases.contains(&LeaseKind::SplitPoints);
        Observations::start(clock.now(), seed.rotate_left(24), splits)
    });
    let mut bound = Vec::new();
    if let Some(config) = fellows {
        let coordination = council.map(|config| CoordinationStart {
            config,
            directory: data_directory,
            zone,
            longest_timeout,
            reloads: reread,
        });
        let start = MembershipStart {
            config,
            name: name.clone(),
            configured_fleet_size: drivers,
            spans_sites: gateway_part.is_some(),
            coordination,
            seed: seed.rotate_left(16),
        };
        let mut membership_actor = MembershipActor::open(context.clone(), start).await?;
        bound = membership_actor.restored_drain_plans();
        spawn_local(membership_actor.run());
    }
    let mut dispatcher = Dispatcher::new(DispatcherParts {
        context: context.clone(),
        decoded,
        seed,
        gateway_part,
        shadow: trial,
        warm_state,
        observations,
        ready,
        list_wanted: on_request.then_some(request),
    });
    dispatcher.follow_site_drains(bound);
    let deciding = spawn_local(dispatcher.run(list_updates, calls));
    let requests = on_request.then_some(requests);
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(32));
    let first = duration(start_jitter::start_delay(&name, drivers, grace, &mut rng));
    spawn_local(
        Watch::new(context.clone(), list_update, WatchConfig { requests, revision, start_delay: first, rng })
            .run(),
    );
    let serving = spawn_local(client::listener::run(context.clone(), listener));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        ended = deciding => return Err(ProgramError::Ended(format!("the router's actor ({ended:?})"))),
    }
    stop.send_replace(Some(Instant::now() + stop_window));
    flow_control.stop();
    serving.await.map_err(|error| ProgramError::Ended(format!("the listener ({error})")))?;
    // What other sites sent has its answer, too, before the end.
    let (asked, done) = oneshot::channel();
    if context.dispatcher.send(DispatcherMessage::AwaitRemoteRequests(asked)).await.is_ok() {
        let _ = timeout(stop_guests, done).await;
    }
    info!(log, "stopped");
    Ok(())
}

/// Starts what keeps and accepts links, and the dispatcher's part in it.
async fn open_gateway(
    context: &Rc<ProcessContext>,
    decoded: &Decoded,
    gateway: GatewayConfig,
    name: &str,
    seed: u64,
    room: usize,
    folder: Option<Rc<DataDirectory>>,
) -> Result<GatewayPart, ProgramError> {
    let limits = &context.limits;
    let now = context.clock.now();
    // New with every start: the time of it, which a restart does not share.
    let own =
        Identity { site: gateway.site.clone(), instance: name.to_owned(), incarnation: now.max(1) as u64 };
    let bounds = LinkLimits {
        waiting: (room / 8).max(256 * 1024),
        ..LinkLimits::standard(limits.buffers.statement, limits.buffers.response)
    };
    let yard = LinkRegistry::new(own.clone(), &gateway, bounds);
    if let Some(listen) = gateway.listen {
        let listener = system::listen(listen, limits.queues.listen_backlog, limits.buffers.member_socket)
            .map_err(|why| ProgramError::Listen { field: "gateway.listen", address: listen, why })?;
        let address = listener.local_addr().unwrap_or(listen);
        info!(context.log, "gateway"; "site" => &own.site, "links" => %address);
        spawn_local(gateway::accept_links(context.clone(), yard.clone(), listener));
    }
    gateway::maintain_links(context, &yard, &gateway.peers, seed);
    if let Some(path) = &gateway.status {
        spawn_local(gateway::serve_status(context.clone(), path.clone()));
    }
    let opening = Opening {
        own,
        peers: gateway.peers.iter().map(|peer| peer.site.clone()).collect(),
        homes: gateway.homes.into_iter().collect(),
        hops: gateway.hops.unwrap_or(1) as usize,
        credit: gateway.credit.unwrap_or(256),
        session: gateway.session.clone(),
        fates: limits.links.outcomes_per_sender,
        folder,
    };
    Ok(GatewayPart::new(opening, decoded, seed, now))
}
