//! Accepts connections, and continues to do so after errors of `accept`.

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

/// Wait after the first error that is expected to recur at once. Doubled after each further one, up to
/// [`MAX_BACKOFF`].
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// Maximum wait after an error, and thus the maximum delay until connections are accepted again once the
/// system has free descriptors.
const MAX_BACKOFF: Duration = Duration::from_millis(100);
/// How long to wait for the runtime to report a connection that is in the backlog before the backlog is
/// polled again. The runtime may not have noticed the connection yet.
const BACKLOG_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A listening socket from which connections are accepted.
pub trait Listener: AsRawFd {
    /// Type of an accepted connection, with the address of the remote end where it has one.
    type Accepted;

    /// Waits for the next connection and accepts it. Cancel safe.
    fn accept_next(&self) -> impl Future<Output = Result<Self::Accepted, AcceptError>>;
}

impl Listener for TcpListener {
    type Accepted = (TcpStream, SocketAddr);

    async fn accept_next(&self) -> Result<Self::Accepted, AcceptError> {
        let Err(fault) = inject_fault(SystemCall::Accept) else { return Ok(self.accept().await?) };
        if fault.kind() == io::ErrorKind::ConnectionAborted {
            // An aborted connection is removed from the backlog, so one is removed here as well.
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

/// A listening socket that backs off after errors of `accept`.
///
/// After a connection that was aborted, the next one is accepted at once. After any other error the acceptor
/// waits, longer each time, because otherwise the process would be busy with a call that fails immediately
/// and would serve nobody. The cost is that new connections stay in the backlog for the duration of the wait.
pub struct Acceptor<L> {
    listener: L,
    log: Logger,
    /// The wait after the next error.
    backoff: Duration,
    /// End of the current wait; `None` if `accept` may be called at once.
    retry_at: Option<Instant>,
    /// Whether an error has been logged since the last accepted connection.
    failure_logged: bool,
}

impl<L: Listener> Acceptor<L> {
    /// Creates an acceptor for a socket that is already listening.
    pub fn new(listener: L, log: Logger) -> Acceptor<L> {
        Acceptor { listener, log, backoff: INITIAL_BACKOFF, retry_at: None, failure_logged: false }
    }

    /// Waits for the next connection and returns it; errors are retried without a limit. Cancel safe.
    pub async fn next(&mut self) -> L::Accepted {
        loop {
            self.wait_for_retry().await;
            let accepted = self.listener.accept_next().await;
            if let Some(connection) = self.handle_accept_result(accepted) {
                return connection;
            }
        }
    }

    /// Returns the next connection of the backlog, or `None` once the backlog is empty or the listening
    /// socket is unusable. Other errors are retried.
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

    /// Returns whether the backlog contains a connection. `accept` cannot be used to find out, because
    /// without free descriptors it fails on an empty backlog too.
    fn backlog_has_connection(&self) -> bool {
        let mut poll_descriptors =
            [c::pollfd { fd: self.listener.as_raw_fd(), events: c::POLLIN, revents: 0 }];
        uapi::poll(&mut poll_descriptors, 0).map_or(true, |ready| ready > 0)
    }

    /// Waits until `accept` may be called again. Cancel safe.
    async fn wait_for_retry(&mut self) {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
    }

    /// Returns the connection if one was accepted. Schedules a wait after an error that is expected to recur
    /// at once.
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

    /// Schedules a wait, doubles the next one, and logs the first error since the last accepted connection.
    fn back_off(&mut self, error: &AcceptError) {
        self.retry_at = Some(Instant::now() + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "cannot accept connections, trying again"; "error" => %error);
        }
    }
}
