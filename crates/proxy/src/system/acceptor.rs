//! Accepting connections whatever errors the system reports meanwhile.

use std::io;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::AcceptError;
use super::injection::{SystemCall, inject_fault};

/// The wait after the first error that the next call would only meet again; doubled after each that follows.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// The longest of these waits, and so what accepting is late by once the system has descriptors again.
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// How long a connection in the backlog is waited for until the backlog is looked at again: the runtime may not yet have
/// noticed it.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A socket that connections are accepted from.
pub trait Listener: AsRawFd {
    /// What an accepted connection is.
    type Accepted;

    /// The next connection. Cancel safe.
    fn accept_next(&self) -> impl Future<Output = Result<Self::Accepted, AcceptError>>;
}

impl Listener for TcpListener {
    type Accepted = (TcpStream, SocketAddr);

    async fn accept_next(&self) -> Result<Self::Accepted, AcceptError> {
        let Err(fault) = inject_fault(SystemCall::Accept) else { return Ok(self.accept().await?) };
        if fault.kind() == io::ErrorKind::ConnectionAborted {
            // The connection that is gone was one of the backlog.
            self.accept().await?;
        }
        Err(fault.into())
    }
}

impl Listener for UnixListener {
    type Accepted = UnixStream;

    async fn accept_next(&self) -> Result<Self::Accepted, AcceptError> {
        inject_fault(SystemCall::AcceptLocal)?;
        Ok(self.accept().await?.0)
    }
}

/// A listening socket, and what is remembered of its errors.
///
/// A connection that is gone is passed over at once. After any other error accepting backs off, longer each time: without
/// that the process would spin over a call that fails at once, and serve nobody else. The cost: new connections wait that
/// much longer in the backlog.
pub struct Acceptor<L> {
    listener: L,
    log: Logger,
    backoff: Duration,
    retry_at: Option<Instant>,
    /// Whether the errors since the last accepted connection are logged.
    failure_logged: bool,
}

impl<L: Listener> Acceptor<L> {
    /// For a socket that listens.
    pub fn new(listener: L, log: Logger) -> Acceptor<L> {
        Acceptor { listener, log, backoff: INITIAL_BACKOFF, retry_at: None, failure_logged: false }
    }

    /// The next connection, however long that takes. Cancel safe.
    pub async fn next(&mut self) -> L::Accepted {
        loop {
            self.wait_for_retry().await;
            let accepted = self.listener.accept_next().await;
            if let Some(connection) = self.handle_accept_result(accepted) {
                return connection;
            }
        }
    }

    /// The next connection of the backlog; `None` once that is empty, or the socket is of no use. After any other error
    /// it is tried again.
    pub async fn next_from_backlog(&mut self) -> Option<L::Accepted> {
        while self.backlog_has_connection() {
            self.wait_for_retry().await;
            let accepted = tokio::select! {
                biased;
                accepted = self.listener.accept_next() => accepted,
                () = sleep(BACKLOG_POLL_INTERVAL) => continue,
            };
            let listener_failed = matches!(accepted, Err(AcceptError::ListenerFailed(_)));
            if let Some(connection) = self.handle_accept_result(accepted) {
                return Some(connection);
            }
            if listener_failed {
                return None;
            }
        }
        None
    }

    /// Whether the backlog holds a connection. Accepting cannot tell: without free descriptors it also fails where there
    /// is none.
    fn backlog_has_connection(&self) -> bool {
        let mut poll_descriptors =
            [c::pollfd { fd: self.listener.as_raw_fd(), events: c::POLLIN, revents: 0 }];
        uapi::poll(&mut poll_descriptors, 0).map_or(true, |ready| ready > 0)
    }

    async fn wait_for_retry(&mut self) {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
    }

    /// The connection, if there is one; if not, a wait is due where the next call would only fail again.
    fn handle_accept_result(&mut self, accepted: Result<L::Accepted, AcceptError>) -> Option<L::Accepted> {
        match accepted {
            Ok(connection) => {
                self.backoff = INITIAL_BACKOFF;
                if std::mem::take(&mut self.failure_logged) {
                    info!(self.log, "accepting connections again");
                }
                Some(connection)
            }
            Err(AcceptError::Aborted(_)) => None,
            Err(error) => {
                self.back_off(&error);
                None
            }
        }
    }

    fn back_off(&mut self, error: &AcceptError) {
        self.retry_at = Some(Instant::now() + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "cannot accept connections, trying again"; "error" => %error);
        }
    }
}
