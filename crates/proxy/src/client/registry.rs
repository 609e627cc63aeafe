//! Registry of the open connections. New connections are admitted within the clients' share of descriptors.
//! Once it is exhausted, idle and slow connections are closed for new ones, or else the new ones are
//! rejected.

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
use super::shared_state::SharedState;
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientMessage, ClientRequestId};

/// Divisor of the silence before the first keepalive probe that gives the interval between further probes.
const KEEPALIVE_INTERVAL_DIVISOR: u32 = 3;

/// Registry entry of an open connection.
struct RegisteredConnection {
    /// State shared with the connection's actor.
    shared_state: Rc<SharedState>,
    /// Sender for requests to close the connection.
    mailbox_sender: mpsc::Sender<ClientMessage>,
}

impl RegisteredConnection {
    /// Returns whether a request of the connection was ever answered.
    fn was_served(&self) -> bool {
        self.shared_state.was_served.get()
    }

    /// Returns whether the connection counts as an active client. Slow readers do not count, because flow
    /// control disconnects them eventually.
    fn is_active(&self) -> bool {
        self.was_served() && !self.shared_state.slow_reader.get()
    }

    /// Returns whether the connection may be closed for a new one: it has no pending request, and either was
    /// never served or has been idle for at least `min_idle_time`.
    fn is_evictable(&self, min_idle_time: Duration) -> bool {
        let idle_since = self.shared_state.idle_since.get();
        idle_since.is_some_and(|since| !self.was_served() || since.elapsed() >= min_idle_time)
    }
}

/// Open connections, and the tasks that serve or reject connections.
pub(super) struct ConnectionRegistry {
    /// State shared by all actors.
    context: Rc<ProcessContext>,
    /// Open connections by the task id of their actor.
    connections: HashMap<task::Id, RegisteredConnection>,
    /// Tasks of the open connections' actors.
    client_tasks: JoinSet<()>,
    /// Tasks that reject connections.
    rejection_tasks: JoinSet<()>,
    /// Number of the next connection.
    next_id: ClientRequestId,
    /// True from the time at which the clients' share of descriptors is exhausted, which is logged, until
    /// less than half of it is in use.
    share_exhausted: bool,
    /// Keepalive settings of each connection.
    keepalive: TcpKeepalive,
}

impl ConnectionRegistry {
    /// Creates a registry without connections.
    pub(super) fn new(context: Rc<ProcessContext>) -> ConnectionRegistry {
        let keepalive_time = context.limits.connections.keepalive;
        ConnectionRegistry {
            context,
            connections: HashMap::new(),
            client_tasks: JoinSet::new(),
            rejection_tasks: JoinSet::new(),
            next_id: 0,
            share_exhausted: false,
            keepalive: TcpKeepalive::new()
                .with_time(keepalive_time)
                .with_interval(keepalive_time / KEEPALIVE_INTERVAL_DIVISOR),
        }
    }

    /// Returns the number of open connections.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Admits an accepted connection, or rejects it.
    pub(super) fn admit_or_reject(&mut self, stream: TcpStream, address: IpAddr) {
        self.set_socket_options(&stream);
        self.evict_excess_active_client();
        let limits = &self.context.limits.connections;
        let has_slot = self.connections.len() < limits.clients || self.free_descriptor();
        let registered = has_slot.then(|| self.context.flow_control.register(address).ok()).flatten();
        match registered {
            Some(connection_guard) => self.admit(stream, connection_guard),
            None => self.reject(stream),
        }
    }

    /// Sets the socket options that send small responses without delay and detect clients that vanished.
    fn set_socket_options(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        // Ends connections whose client vanished without closing them.
        let _ = SockRef::from(stream).set_tcp_keepalive(&self.keepalive);
    }

    /// Closes an idle connection for the new one if the limit on active clients is reached.
    ///
    /// If most of them are idle, many clients use a connection once, and the one that has been idle longest is closed.
    /// If most have requests pending, the few idle ones are between two requests and are kept for
    /// `limits.connections.recently_active`: a crowd of busy clients would otherwise drive out those that wait for each
    /// answer, and never lose a connection itself.
    fn evict_excess_active_client(&self) {
        let limits = &self.context.limits.connections;
        let active = self.connections.values().filter(|connection| connection.is_active());
        let (mut active_count, mut idle_count) = (0, 0);
        for connection in active {
            active_count += 1;
            idle_count += usize::from(connection.is_evictable(Duration::ZERO));
        }
        if active_count >= limits.active_clients {
            let most_are_idle = 2 * idle_count > active_count;
            let min_idle_time = if most_are_idle { Duration::ZERO } else { limits.recently_active };
            self.evict(min_idle_time, RegisteredConnection::was_served);
        }
    }

    /// Closes a connection for a new one because the clients' share is exhausted: one that is too slow, or
    /// else an idle one. Returns whether one was found; false if `limits.connections.evicting` connections
    /// are already open beyond the share.
    fn free_descriptor(&mut self) -> bool {
        if !std::mem::replace(&mut self.share_exhausted, true) {
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

    /// Asks an idle connection that matches the filter to close: one that was never served, or else the one
    /// that has been idle longest. Returns whether one was asked.
    ///
    /// Without `min_idle_time`, a flood of new connections would close those of clients that are between two
    /// requests. The cost is that a new connection is rejected if all clients are between two requests.
    fn evict(&self, min_idle_time: Duration, filter: impl Fn(&RegisteredConnection) -> bool) -> bool {
        let evictable = self
            .connections
            .values()
            .filter(|connection| filter(connection) && connection.is_evictable(min_idle_time));
        let selected = evictable
            .min_by_key(|connection| (connection.was_served(), connection.shared_state.idle_since.get()));
        let Some(connection) = selected else { return false };
        connection.shared_state.idle_since.set(None);
        connection.mailbox_sender.try_send(ClientMessage::CloseIfIdle).is_ok()
    }

    /// Starts the actor of a connection.
    fn admit(&mut self, stream: TcpStream, connection_guard: ConnectionGuard) {
        let client = ClientConnection::new(self.context.clone(), self.next_id, stream, connection_guard);
        let registered = RegisteredConnection {
            shared_state: client.shared_state.clone(),
            mailbox_sender: client.mailbox_sender.clone(),
        };
        self.next_id += 1;
        let task = self.client_tasks.spawn_local(client.run());
        self.connections.insert(task.id(), registered);
    }

    /// Rejects a connection with an error, or closes it without one if enough clients are already being
    /// rejected.
    fn reject(&mut self, stream: TcpStream) {
        if self.rejection_tasks.len() < self.context.limits.connections.rejecting {
            self.rejection_tasks.spawn_local(reject_connection(self.context.clone(), stream));
        }
    }

    /// Waits until an actor or a rejection has ended, and removes it. Never returns while there is none.
    /// Cancel safe.
    pub(super) async fn reap(&mut self) {
        tokio::select! {
            biased;
            Some(result) = self.client_tasks.join_next_with_id() => self.remove_ended(result),
            Some(_) = self.rejection_tasks.join_next() => {}
            else => std::future::pending().await,
        }
    }

    /// Removes the connections whose actors have ended by now.
    pub(super) fn reap_ended(&mut self) {
        while let Some(result) = self.client_tasks.try_join_next_with_id() {
            self.remove_ended(result);
        }
    }

    /// Waits until all connections have ended, including rejected ones. A process that ends resets the
    /// connections that are left, and their clients would not read why they were rejected.
    pub(super) async fn join_all(&mut self) {
        while let Some(result) = self.client_tasks.join_next_with_id().await {
            self.remove_ended(result);
        }
        while self.rejection_tasks.join_next().await.is_some() {}
    }

    /// Removes a connection whose actor has ended.
    fn remove_ended(&mut self, result: Result<(task::Id, ()), JoinError>) {
        let id = match result {
            Ok((id, ())) => id,
            Err(error) => {
                error!(self.context.log, "client connection task failed"; "error" => %error);
                error.id()
            }
        };
        self.connections.remove(&id);
        let limit = self.context.limits.connections.clients;
        if self.connections.len() < limit / 2 && std::mem::take(&mut self.share_exhausted) {
            info!(self.context.log, "less than half of the client share of descriptors in use again";
                "clients" => self.connections.len());
        }
    }
}
