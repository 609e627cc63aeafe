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

use aldermill_operator_config::{GatewayConfig, LeaseKind};
use aldermill_settings::Decoded;
use aldermill_site_link::{Identity, LinkLimits};
use aldermill_stall_detection::apart;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use slog::{Drain, Logger, info, o};
use tokio::signal::unix::Signal;
use tokio::sync::{Semaphore, mpsc, oneshot, watch as notice};
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

use crate::discovery::endpoint_list::EndpointList;
use crate::discovery::watch::Watch;
use crate::dispatcher::{Dispatcher, DispatcherParts, GatewayPart, Observations, Opening, WarmState};
use crate::flow_control::FlowControl;
use crate::gateway::LinkRegistry;
use crate::lifecycle::clock::{Clock, UnstalledClock, duration};
use crate::lifecycle::configuration::{Configuration, ConfigurationFiles};
use crate::lifecycle::errors::{Actor, ProgramError};
use crate::lifecycle::limits::Limits;
use crate::lifecycle::process_context::ProcessContext;
use crate::lifecycle::reload::Reload;
use crate::membership::{CoordinationStart, MembershipActor};
use crate::messages::{DispatcherMessage, ListUpdate};
use crate::persistence::{DataDirectory, Persistence};

fn main() -> ExitCode {
    match cli::command().run().execute() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("aldermill: {error}");
            ExitCode::FAILURE
        }
    }
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

/// Starts the actors and stays until the listener has served its last client.
async fn run(
    start: Configuration,
    files: ConfigurationFiles,
    ends: [Signal; 2],
    hangup: Signal,
) -> Result<(), ProgramError> {
    let Configuration {
        name,
        listen,
        discovery,
        seed,
        limits,
        flow_limits: bounds,
        shadow: trial,
        operator,
        memory,
        endpoint_list: known,
        settings: decoded,
        immutable,
    } = start;
    let aldermill_operator_config::Operator {
        gateway,
        warm_start: warm,
        membership: fellows,
        coordination: council,
        suspension,
        ..
    } = operator;
    let (stop_window, stop_guests) = (limits.shutdown.accept_window, limits.shutdown.remote_request_wait);
    let (log, _guard) = logger(&limits);
    let [mut terminate, mut interrupt] = ends;
    let (address, discovery) = notice::channel(discovery);
    let clock = Clock::start(lifecycle::clock::unix_now, suspension.then_some(lifecycle::clock::suspended));
    let unstalled_clock = UnstalledClock::start(clock);
    let flow_control = FlowControl::new(unstalled_clock.clone(), log.clone(), bounds);
    spawn_local(flow_control.clone().run());
    let listener = system::listen(listen, limits.queues.listen_backlog, limits.buffers.client_socket)
        .map_err(|source| ProgramError::Listen { field: "listen", address: listen, source })?;

    let (wanted, reread) = notice::channel(None);
    let (dispatcher, calls) = mpsc::channel(limits.queues.dispatcher);
    spawn_local(
        Reload {
            files,
            immutable,
            discovery: address,
            flow_control: flow_control.clone(),
            dispatcher: dispatcher.clone(),
            coordination: wanted,
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
    if let Some(terms) = fellows {
        let place = (zone, longest_timeout);
        let wanted =
            council.map(|wanted| CoordinationStart { wanted, folder: data_directory, place, reread });
        let own = (&*name, drivers, gateway_part.is_some());
        let mut company =
            MembershipActor::open(context.clone(), terms, wanted, own, seed.rotate_left(16)).await?;
        bound = company.bound();
        spawn_local(company.run());
    }
    let mut dispatcher = Dispatcher::new(DispatcherParts {
        context: context.clone(),
        decoded,
        seed,
        gateway_part,
        trial,
        warm_state,
        observations,
        ready,
        list_wanted: on_request.then_some(request),
    });
    dispatcher.follow_site_drains(bound);
    let deciding = spawn_local(dispatcher.run(list_updates, calls));
    let requests = on_request.then_some(requests);
    let mut rng = Pcg64Mcg::seed_from_u64(seed.rotate_left(32));
    let first = duration(apart::wait(&name, drivers, grace, &mut rng));
    spawn_local(
        Watch { context: context.clone(), dispatcher: list_update, requests, revision, first, rng }.run(),
    );
    let serving = spawn_local(client::listener::run(context.clone(), listener));

    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        ended = deciding => return Err(match ended {
            Ok(()) => ProgramError::ActorStopped { actor: Actor::Dispatcher },
            Err(source) => ProgramError::ActorFailed { actor: Actor::Dispatcher, source },
        }),
    }
    stop.send_replace(Some(Instant::now() + stop_window));
    flow_control.stop();
    serving.await.map_err(|source| ProgramError::ActorFailed { actor: Actor::Listener, source })?;
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
            .map_err(|source| ProgramError::Listen { field: "gateway.listen", address: listen, source })?;
        let address = listener.local_addr().unwrap_or(listen);
        info!(context.log, "gateway"; "site" => &own.site, "links" => %address);
        spawn_local(gateway::accept(context.clone(), yard.clone(), listener));
    }
    let gone_to = gateway.peers.iter().flat_map(|peer| {
        let links = peer.links.unwrap_or(2) as usize;
        peer.addresses.iter().flat_map(move |&address| vec![(peer.site.clone(), address); links])
    });
    gateway::start(context, &yard, gone_to.collect(), seed);
    if let Some(path) = &gateway.status {
        spawn_local(gateway::serve(context.clone(), path.clone()));
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
