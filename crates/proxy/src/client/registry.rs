//! The connections that are open: new ones are admitted within the clients' share of descriptors, for which idle and
//! slow ones are closed, or rejected.

use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use slog::{error, info, warn};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{self, JoinError, JoinSet};

use super::close::reject_connection;
use super::connection::ClientConnection;
use super::state::ConnectionState;
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientMessage, ClientRequestId};

/// Keepalive probes follow each other at this part (one in three) of the silence before the first.
const KEEPALIVE_INTERVAL_PARTS: u32 = 3;

/// What is kept of an open connection.
struct RegisteredConnection {
    /// What its actor says of itself.
    state: Rc<ConnectionState>,
    /// Where it is asked to close.
    address: mpsc::Sender<ClientMessage>,
}

impl RegisteredConnection {
    /// Whether a request of it was ever answered.
    fn is_served(&self) -> bool {
        self.state.served.get()
    }

    /// Whether it counts as an active client. Slow readers do not: flow control disconnects them in time.
    fn is_active(&self) -> bool {
        self.is_served() && !self.state.slow_reader.get()
    }

    /// Whether it may be closed for a new one: it has no request under way, and either never had one, or had the last
    /// one long enough ago.
    fn is_evictable(&self, recently_active: Duration) -> bool {
        let idle_since = self.state.idle_since.get();
        idle_since.is_some_and(|since| !self.is_served() || since.elapsed() >= recently_active)
    }
}

/// The connections that are open, and the tasks that serve or reject them.
pub(super) struct ConnectionRegistry {
    /// What all actors share.
    context: Rc<ProcessContext>,
    /// The open connections, by the task of their actor.
    connections: HashMap<task::Id, RegisteredConnection>,
    /// The actors of the open connections.
    clients: JoinSet<()>,
    /// Connections that are being rejected.
    rejections: JoinSet<()>,
    /// The number of the next connection.
    next_id: ClientRequestId,
    /// Whether the clients' share was used up, and it was logged, since less than half of it was in use.
    share_used_up: bool,
    /// Set on each connection.
    keepalive: TcpKeepalive,
}

impl ConnectionRegistry {
    /// A registry without connections.
    pub(super) fn new(context: Rc<ProcessContext>) -> ConnectionRegistry {
        let silence = context.limits.connections.keepalive;
        ConnectionRegistry {
            context,
            connections: HashMap::new(),
            clients: JoinSet::new(),
            rejections: JoinSet::new(),
            next_id: 0,
            share_used_up: false,
            keepalive: TcpKeepalive::new()
                .with_time(silence)
                .with_interval(silence / KEEPALIVE_INTERVAL_PARTS),
        }
    }

    /// How many connections are open.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Admits a connection that was accepted, or rejects it.
    pub(super) fn receive(&mut self, stream: TcpStream, from: IpAddr) {
        self.set_options(&stream);
        self.evict_surplus_active_client();
        let limits = &self.context.limits.connections;
        let has_place = self.connections.len() < limits.clients || self.free_descriptor();
        let registered = has_place.then(|| self.context.flow_control.register(from).ok()).flatten();
        match registered {
            Some(connection_guard) => self.admit(stream, connection_guard),
            None => self.reject(stream),
        }
    }

    /// Sends small responses at once, and finds clients that vanished.
    fn set_options(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        // Ends connections whose client vanished without closing them.
        let _ = SockRef::from(stream).set_tcp_keepalive(&self.keepalive);
    }

    /// Closes an idle connection for the new one where as many clients are active as may be.
    fn evict_surplus_active_client(&self) {
        let active = self.connections.values().filter(|connection| connection.is_active()).count();
        if active >= self.context.limits.connections.active_clients {
            self.evict(Duration::ZERO, RegisteredConnection::is_served);
        }
    }

    /// With the clients' share used up, a connection that is too slow is closed for a new one, else an idle one.
    /// Returns whether one was found.
    fn free_descriptor(&mut self) -> bool {
        if !std::mem::replace(&mut self.share_used_up, true) {
            warn!(self.context.log,
                "client share of descriptors used up, idle connections are closed for new ones, else new ones rejected";
                "clients" => self.connections.len());
        }
        let limits = &self.context.limits.connections;
        if self.connections.len() >= limits.clients + limits.evicting {
            return false;
        }
        self.context.flow_control.shed_one_connection() || self.evict(limits.recently_active, |_| true)
    }

    /// Asks one of these connections to close, if any is idle: one that never had a request, else the one that is idle
    /// longest. Returns whether one was asked.
    ///
    /// Without `recently_active` a flood of new connections would close those of clients that are between two requests.
    /// The cost: where all clients are between two requests, a new one is rejected.
    fn evict(&self, recently_active: Duration, of: impl Fn(&RegisteredConnection) -> bool) -> bool {
        let evictable = self
            .connections
            .values()
            .filter(|connection| of(connection) && connection.is_evictable(recently_active));
        let first =
            evictable.min_by_key(|connection| (connection.is_served(), connection.state.idle_since.get()));
        let Some(connection) = first else { return false };
        connection.state.idle_since.set(None);
        connection.address.try_send(ClientMessage::CloseIfIdle).is_ok()
    }

    /// Starts the actor of a connection.
    fn admit(&mut self, stream: TcpStream, connection_guard: ConnectionGuard) {
        let client = ClientConnection::new(self.context.clone(), self.next_id, stream, connection_guard);
        let registered =
            RegisteredConnection { state: client.state.clone(), address: client.address.clone() };
        self.next_id += 1;
        let task = self.clients.spawn_local(client.run());
        self.connections.insert(task.id(), registered);
    }

    /// Where enough clients are being told so already, a further one is dropped without a word.
    fn reject(&mut self, stream: TcpStream) {
        if self.rejections.len() < self.context.limits.connections.rejecting {
            self.rejections.spawn_local(reject_connection(self.context.clone(), stream));
        }
    }

    /// Waits until a client's connection or a rejection has ended, and forgets it. For ever while there is none; may be
    /// dropped while it waits.
    pub(super) async fn reap(&mut self) {
        tokio::select! {
            biased;
            Some(end) = self.clients.join_next_with_id() => self.forget(end),
            Some(_) = self.rejections.join_next() => {}
            else => std::future::pending().await,
        }
    }

    /// Forgets the clients' connections that have ended by now.
    pub(super) fn reap_ended(&mut self) {
        while let Some(end) = self.clients.try_join_next_with_id() {
            self.forget(end);
        }
    }

    /// Waits until all connections have ended, rejected ones too: a process that ends resets what is left, and the
    /// clients would not read why they were rejected.
    pub(super) async fn drain(&mut self) {
        while let Some(end) = self.clients.join_next_with_id().await {
            self.forget(end);
        }
        while self.rejections.join_next().await.is_some() {}
    }

    /// Forgets a connection whose actor has ended.
    fn forget(&mut self, end: Result<(task::Id, ()), JoinError>) {
        let id = match end {
            Ok((id, ())) => id,
            Err(error) => {
                error!(self.context.log, "client connection task failed"; "error" => %error);
                error.id()
            }
        };
        self.connections.remove(&id);
        let limit = self.context.limits.connections.clients;
        if self.connections.len() < limit / 2 && std::mem::take(&mut self.share_used_up) {
            info!(self.context.log, "less than half of the client share of descriptors in use again";
                "clients" => self.connections.len());
        }
    }
}
