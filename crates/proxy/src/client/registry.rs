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
use super::shared_state::SharedState;
use crate::flow_control::ConnectionGuard;
use crate::lifecycle::process_context::ProcessContext;
use crate::messages::{ClientId, ClientMessage};

/// Keepalive probes follow each other at this part (one in three) of the silence before the first.
const KEEPALIVE_INTERVAL_DIVISOR: u32 = 3;

/// What is kept of an open connection.
struct RegisteredConnection {
    /// What its actor says of itself.
    shared_state: Rc<SharedState>,
    /// Where it is asked to close.
    mailbox_sender: mpsc::Sender<ClientMessage>,
}

impl RegisteredConnection {
    /// Whether a request of it was ever answered.
    fn was_served(&self) -> bool {
        self.shared_state.was_served.get()
    }

    /// Whether it counts as an active client. Slow readers do not: flow control disconnects them in time.
    fn is_active(&self) -> bool {
        self.was_served() && !self.shared_state.slow_reader.get()
    }

    /// Whether it may be closed for a new one: it has no request under way, and either never had one, or had the last
    /// one long enough ago.
    fn is_evictable(&self, min_idle_time: Duration) -> bool {
        let idle_since = self.shared_state.idle_since.get();
        idle_since.is_some_and(|since| !self.was_served() || since.elapsed() >= min_idle_time)
    }
}

/// The connections that are open, and the tasks that serve or reject them.
pub(super) struct ConnectionRegistry {
    /// What all actors share.
    context: Rc<ProcessContext>,
    /// The open connections, by the task of their actor.
    connections: HashMap<task::Id, RegisteredConnection>,
    /// The actors of the open connections.
    client_tasks: JoinSet<()>,
    /// Connections that are being rejected.
    rejection_tasks: JoinSet<()>,
    /// The number of the next connection.
    next_id: ClientId,
    /// Whether the clients' share was used up, and it was logged, since less than half of it was in use.
    share_exhausted: bool,
    /// Set on each connection.
    keepalive: TcpKeepalive,
}

impl ConnectionRegistry {
    /// A registry without connections.
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

    /// How many connections are open.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Admits a connection that was accepted, or rejects it.
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

    /// Sends small responses at once, and finds clients that vanished.
    fn set_socket_options(&self, stream: &TcpStream) {
        let _ = stream.set_nodelay(true);
        // Ends connections whose client vanished without closing them.
        let _ = SockRef::from(stream).set_tcp_keepalive(&self.keepalive);
    }

    /// Closes an idle connection for the new one where as many clients are active as may be.
    fn evict_excess_active_client(&self) {
        let active = self.connections.values().filter(|connection| connection.is_active()).count();
        if active >= self.context.limits.connections.active_clients {
            self.evict(Duration::ZERO, RegisteredConnection::was_served);
        }
    }

    /// With the clients' share used up, a connection that is too slow is closed for a new one, else an idle one.
    /// Returns whether one was found.
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

    /// Asks one of these connections to close, if any is idle: one that never had a request, else the one that is idle
    /// longest. Returns whether one was asked.
    ///
    /// Without `recently_active` a flood of new connections would close those of clients that are between two requests.
    /// The cost: where all clients are between two requests, a new one is rejected.
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

    /// Where enough clients are being told so already, a further one is dropped without a word.
    fn reject(&mut self, stream: TcpStream) {
        if self.rejection_tasks.len() < self.context.limits.connections.rejecting {
            self.rejection_tasks.spawn_local(reject_connection(self.context.clone(), stream));
        }
    }

    /// Waits until a client's connection or a rejection has ended, and forgets it. For ever while there is none; may be
    /// dropped while it waits.
    pub(super) async fn reap(&mut self) {
        tokio::select! {
            biased;
            Some(result) = self.client_tasks.join_next_with_id() => self.remove_ended(result),
            Some(_) = self.rejection_tasks.join_next() => {}
            else => std::future::pending().await,
        }
    }

    /// Forgets the clients' connections that have ended by now.
    pub(super) fn reap_ended(&mut self) {
        while let Some(result) = self.client_tasks.try_join_next_with_id() {
            self.remove_ended(result);
        }
    }

    /// Waits until all connections have ended, rejected ones too: a process that ends resets what is left, and the
    /// clients would not read why they were rejected.
    pub(super) async fn join_all(&mut self) {
        while let Some(result) = self.client_tasks.join_next_with_id().await {
            self.remove_ended(result);
        }
        while self.rejection_tasks.join_next().await.is_some() {}
    }

    /// Forgets a connection whose actor has ended.
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
