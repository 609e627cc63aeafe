//! Pool of idle connections to one member.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

use super::connection::Connection;
use crate::lifecycle::limits::Limits;

/// Number of times that a pool has been invalidated. A connection of an earlier generation is not returned to
/// the pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PoolGeneration(u64);

/// Idle connections to one member, ordered by idle time with the longest first.
pub(super) struct ConnectionPool {
    idle: Vec<Connection>,
    generation: PoolGeneration,
    /// Since when the oldest connection has been idle, or `None` if there is none. The dispatcher reads it to
    /// find connections to close.
    oldest_idle_since: Rc<Cell<Option<Instant>>>,
}

impl ConnectionPool {
    /// Creates an empty pool. [`ConnectionPool::publish_oldest_idle_since`] writes to `oldest_idle_since`.
    pub(super) fn new(oldest_idle_since: Rc<Cell<Option<Instant>>>) -> ConnectionPool {
        ConnectionPool { idle: Vec::new(), generation: PoolGeneration::default(), oldest_idle_since }
    }

    /// Publishes to the dispatcher since when the oldest connection has been idle.
    pub(super) fn publish_oldest_idle_since(&self) {
        self.oldest_idle_since.set(self.idle.first().map(|connection| connection.idle_since));
    }

    /// Returns the generation to pass to [`ConnectionPool::put`] with a connection that is opened now.
    pub(super) fn generation(&self) -> PoolGeneration {
        self.generation
    }

    /// Returns whether there is no idle connection.
    pub(super) fn is_empty(&self) -> bool {
        self.idle.is_empty()
    }

    /// Takes a usable connection for a query, or returns `None` if there is none. Of the usable connections
    /// that have been idle for at least `limits.member.settle_time`, takes the one that has been idle for the
    /// shortest time; if there are none, takes the one that has been idle longest. Closes the unusable
    /// connections that it finds.
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

    /// Returns a connection to the pool for later queries, or closes it if the pool has been invalidated
    /// since `generation`.
    pub(super) fn put(&mut self, mut connection: Connection, generation: PoolGeneration) {
        if generation == self.generation {
            connection.idle_since = Instant::now();
            self.idle.push(connection);
        }
    }

    /// Closes all idle connections, and has those in use closed when their queries end. To be called when the
    /// process or address that they lead to is gone.
    pub(super) fn invalidate(&mut self) {
        self.generation = PoolGeneration(self.generation.0 + 1);
        self.close_all();
    }

    /// Closes all idle connections.
    pub(super) fn close_all(&mut self) {
        self.idle.clear();
    }

    /// Closes the connection that has been idle longest, if any.
    pub(super) fn close_oldest(&mut self) {
        if !self.idle.is_empty() {
            self.idle.remove(0);
        }
    }

    /// Closes connections that have been idle since before `instant`.
    pub(super) fn close_idle_before(&mut self, instant: Instant) {
        self.idle.retain(|connection| connection.idle_since >= instant);
    }

    /// Closes connections that have been idle for `limits.member.idle_timeout`, and those that the member
    /// closed or sent unsolicited data on.
    pub(super) fn sweep(&mut self, limits: &Limits) {
        let now = Instant::now();
        self.idle.retain(|connection| {
            now - connection.idle_since < limits.member.idle_timeout && connection.is_usable()
        });
    }

    /// Returns whether the member's process appears to be gone: there are idle connections, and all of them
    /// were reset. A process that only closes connections, while they are idle or after a response, is alive.
    pub(super) fn all_reset(&self) -> bool {
        !self.idle.is_empty() && self.idle.iter().all(Connection::is_reset)
    }
}
