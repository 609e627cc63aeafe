//! The idle connections to one member.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::connection::Connection;
use crate::lifecycle::limits::Limits;

/// Counts the renewals of a pool. A connection that was opened before the last one is not put back.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolGeneration(u64);

/// The idle connections to one member, the one that has been idle longest first.
pub(super) struct ConnectionPool {
    idle: Vec<Connection>,
    generation: PoolGeneration,
    /// Since when the oldest one has been idle, for the dispatcher, which looks for connections to close.
    oldest_idle_since: Rc<Cell<Option<Instant>>>,
}

impl ConnectionPool {
    /// An empty pool. [`ConnectionPool::publish_oldest_idle_since`] writes to `oldest_idle_since`.
    pub(super) fn new(oldest_idle_since: Rc<Cell<Option<Instant>>>) -> ConnectionPool {
        ConnectionPool { idle: Vec::new(), generation: PoolGeneration::default(), oldest_idle_since }
    }

    /// Tells the dispatcher since when the oldest connection has been idle.
    pub(super) fn publish_oldest_idle_since(&self) {
        self.oldest_idle_since.set(self.idle.first().map(|connection| connection.idle_since));
    }

    /// What a connection that is opened now has to be put back with.
    pub(super) fn generation(&self) -> PoolGeneration {
        self.generation
    }

    /// Whether there is no idle connection.
    pub(super) fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// A connection for a query: of those that still stand the newest that has rested for `limits.member.settle_time`, else the one
    /// that has been idle longest.
    pub(super) fn take(&mut self, limits: &Limits) -> Option<Connection> {
        while !self.idle.is_empty() {
            let settled = self
                .idle
                .iter()
                .rposition(|connection| connection.idle_since.elapsed() >= limits.member.settle_time);
            let connection = self.idle.remove(settled.unwrap_or(0));
            if connection.idle_since.elapsed() < limits.member.idle_timeout && connection.is_usable() {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for later queries, unless the pool was renewed since it was opened.
    pub(super) fn put(&mut self, mut connection: Connection, generation: PoolGeneration) {
        if generation == self.generation {
            connection.idle_since = Instant::now();
            self.idle.push(connection);
        }
    }

    /// Closes all idle connections, and those in use once their queries end: what they lead to is gone.
    pub(super) fn invalidate(&mut self) {
        self.generation = PoolGeneration(self.generation.0 + 1);
        self.close_all();
    }

    /// Closes all idle connections.
    pub(super) fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Closes the connection that has been idle longest, if there is one.
    pub(super) fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes connections that have been idle since before `instant`.
    pub(super) fn close_idle_before(&mut self, instant: Instant) {
        self.idle.retain(|connection| connection.idle_since >= instant);
    }

    /// Closes connections that have been idle for `limits.member.idle_timeout`, and those that the member closed or wrote to.
    pub(super) fn sweep(&mut self, limits: &Limits) {
        let now = Instant::now();
        self.idle.retain(|connection| {
            now - connection.idle_since < limits.member.idle_timeout && connection.is_usable()
        });
    }

    /// Whether the member's process seems to be gone: all idle connections, of which there are some, were reset. A process
    /// that only closes connections, idle or after an answer, is alive.
    pub(super) fn all_reset(&self) -> bool {
        !self.idle.is_empty() && self.idle.iter().all(Connection::is_reset)
    }
}
