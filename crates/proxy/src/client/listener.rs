//! The actor that accepts clients and keeps them within their share of descriptors.

use std::collections::{HashMap, VecDeque};
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use aldermill_wire::Buffer;
use slog::{error, info, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::task::{self, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::{Client, ConnectionState, turn_away};
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::limits::Descriptors;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientId, ClientMessage};
use crate::system::Acceptor;

struct Connection {
    state: Rc<ConnectionState>,
    address: mpsc::Sender<ClientMessage>,
}

/// Serves until the driver is to stop and the last client has its answer.
pub async fn run(context: Rc<ProcessContext>, listener: TcpListener) {
    let mut stopping = context.stopping.clone();
    tell_of_few_descriptors(&context);
    let mut acceptor = Acceptor::new(listener, context.log.clone());
    let mut registry = ConnectionRegistry::new(context);
    let mut closes_at: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            Some(left) = registry.clients.join_next_with_id() => registry.left(left),
            Some(_) = registry.turned_away.join_next() => {}
            Ok(window) = stopping.wait_for(Option::is_some), if closes_at.is_none() => {
                closes_at = *window;
                info!(registry.context.log, "stopping"; "clients" => registry.connections.len());
            }
            () = sleep_until(closes_at.unwrap_or_else(Instant::now)), if closes_at.is_some() => break,
            (stream, from) = acceptor.next() => {
                registry.receive(stream, from.ip());
                // However many come at once, those already here are served in between.
                task::yield_now().await;
            }
        }
    }
    // Those that the system had accepted by then are served, too; it is asked once more who they are.
    task::yield_now().await;
    while let Some((stream, from)) = acceptor.next_waiting().await {
        while let Some(left) = registry.clients.try_join_next_with_id() {
            registry.left(left);
        }
        registry.receive(stream, from.ip());
    }
    drop(acceptor);
    while let Some(left) = registry.clients.join_next_with_id().await {
        registry.left(left);
    }
    // Who was told that there is no room is to read that: a process that ends resets what is left.
    while registry.turned_away.join_next().await.is_some() {}
}

fn tell_of_few_descriptors(context: &ProcessContext) {
    let Descriptors { configured, allowed } = context.limits.descriptors;
    if allowed < configured {
        warn!(context.log, "the system allows fewer descriptors than limits.sockets, those are shared out; raise ulimit -n";
            "allowed" => allowed, "configured" => configured);
    }
}

/// The clients that are there.
struct ConnectionRegistry {
    context: Rc<ProcessContext>,
    connections: HashMap<task::Id, Connection>,
    clients: JoinSet<()>,
    turned_away: JoinSet<()>,
    next_id: ClientId,
    full: bool,
    keepalive: TcpKeepalive,
}

impl ConnectionRegistry {
    fn new(context: Rc<ProcessContext>) -> ConnectionRegistry {
        let time = context.limits.connections.keepalive;
        ConnectionRegistry {
            context,
            connections: HashMap::new(),
            clients: JoinSet::new(),
            turned_away: JoinSet::new(),
            next_id: 0,
            full: false,
            keepalive: TcpKeepalive::new().with_time(time).with_interval(time / 3),
        }
    }

    fn receive(&mut self, stream: TcpStream, from: IpAddr) {
        let _ = stream.set_nodelay(true);
        // Ends connections whose other side is gone without a word.
        let _ = SockRef::from(&stream).set_tcp_keepalive(&self.keepalive);
        let served = |connection: &&Connection| connection.state.served.get();
        // Those who are slow to read take no place of the others': they give way by themselves.
        let regular = |connection: &&Connection| served(connection) && !connection.state.stuck.get();
        if self.connections.values().filter(regular).count() >= self.context.limits.connections.active_clients
        {
            self.ask_to_yield(Duration::ZERO, served);
        }
        let place = self.connections.len() < self.context.limits.connections.clients || self.makes_room();
        if let Some(connection_guard) = place.then(|| self.context.flow_control.register(from).ok()).flatten()
        {
            self.admit(stream, connection_guard);
        } else if self.turned_away.len() < self.context.limits.connections.rejecting {
            self.turned_away.spawn_local(turn_away(self.context.clone(), stream));
        }
    }

    /// At the clients' share, one that is too slow is closed for a new one, else one without a request.
    fn makes_room(&mut self) -> bool {
        let limits = &self.context.limits;
        if !std::mem::replace(&mut self.full, true) {
            warn!(self.context.log, "client share of descriptors used up, idle ones are closed, else new ones denied";
                "clients" => self.connections.len());
        }
        if self.connections.len() >= limits.connections.clients + limits.connections.evicting {
            return false;
        }
        self.context.flow_control.shed_one_connection()
            || self.ask_to_yield(self.context.limits.connections.recently_active, |_| true)
    }

    /// Of these connections without a request, one that never had any is closed first, else the one idle
    /// longest.
    /// Protects those who are between two requests from a flood of newcomers. Harms one newcomer where all
    /// are between two.
    fn ask_to_yield(&self, between: Duration, whom: impl Fn(&&Connection) -> bool) -> bool {
        let idle = self.connections.values().filter(whom).filter(|connection| {
            let since = connection.state.idle_since.get();
            since.is_some_and(|since| !connection.state.served.get() || since.elapsed() >= between)
        });
        let rank =
            |connection: &&Connection| (connection.state.served.get(), connection.state.idle_since.get());
        let Some(connection) = idle.min_by_key(rank) else { return false };
        connection.state.idle_since.set(None);
        connection.address.try_send(ClientMessage::CloseIfIdle).is_ok()
    }

    fn admit(&mut self, stream: TcpStream, connection_guard: ConnectionGuard) {
        let id = self.next_id;
        self.next_id += 1;
        // Room for the answers it may wait for and a request to yield.
        let (address, mailbox) = mpsc::channel(self.context.limits.client.pipelined_statements + 4);
        let state = Rc::new(ConnectionState::default());
        let connection = Connection { state: state.clone(), address: address.clone() };
        let client = Client {
            context: self.context.clone(),
            id,
            stream,
            connection_guard,
            unread: 0,
            left: None,
            sending: false,
            read: None,
            old: None,
            buffer: Buffer::default(),
            state,
            mailbox,
            address,
            connected: Instant::now(),
            owed: VecDeque::new(),
            asked: 0,
        };
        let task = self.clients.spawn_local(client.run());
        self.connections.insert(task.id(), connection);
    }

    fn left(&mut self, left: Result<(task::Id, ()), JoinError>) {
        let id = left.map_or_else(
            |error| {
                error!(self.context.log, "a client's actor failed"; "why" => %error);
                error.id()
            },
            |(id, ())| id,
        );
        self.connections.remove(&id);
        if self.connections.len() < self.context.limits.connections.clients / 2
            && std::mem::take(&mut self.full)
        {
            info!(self.context.log, "room for clients again"; "clients" => self.connections.len());
        }
    }
}
