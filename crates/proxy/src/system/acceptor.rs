//! Accepts connections, and goes on after errors.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::{AcceptError, accept, accept_local};

/// The wait after the first failure that the next call would meet again; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);
/// The longest wait: a new client waits no longer once the failure is over.
const MAX_BACKOFF: Duration = Duration::from_millis(100);

/// A socket that connections are accepted from.
pub trait Listener: AsRawFd {
    /// A connection, with the peer's address where it has one.
    type Accepted;
    /// Waits for the next connection. Nothing is lost where the wait is given up.
    fn accepted(&self) -> impl Future<Output = Result<Self::Accepted, AcceptError>>;
}

impl Listener for TcpListener {
    type Accepted = (TcpStream, SocketAddr);
    async fn accepted(&self) -> Result<Self::Accepted, AcceptError> {
        accept(self).await
    }
}

impl Listener for UnixListener {
    type Accepted = UnixStream;
    async fn accepted(&self) -> Result<Self::Accepted, AcceptError> {
        accept_local(self).await
    }
}

/// Accepts connections from a listening socket, and goes on after errors.
///
/// A connection that is gone before it was accepted is skipped at once. After other errors it backs off, while whoever
/// waits here may do other things: without that, a call that fails at once would be made in a loop that starves the
/// rest of the process. The cost: new connections wait up to [`MAX_BACKOFF`] longer.
pub struct Acceptor<L> {
    listener: L,
    log: Logger,
    /// The wait after the next failure.
    backoff: Duration,
    /// When accepting is tried again after a failure.
    retry_at: Option<Instant>,
    /// Whether the failure was logged; it is logged once until a connection is accepted again.
    failure_logged: bool,
}

impl<L: Listener> Acceptor<L> {
    /// An acceptor for a socket that listens already.
    pub fn new(listener: L, log: Logger) -> Acceptor<L> {
        Acceptor { listener, log, backoff: INITIAL_BACKOFF, retry_at: None, failure_logged: false }
    }

    /// The next connection, however long that takes. Nothing is lost where the wait is given up.
    pub async fn next(&mut self) -> L::Accepted {
        loop {
            self.wait_for_retry().await;
            let accepted = self.listener.accepted().await;
            if let Some(accepted) = self.handle(accepted) {
                return accepted;
            }
        }
    }

    /// The next connection of those that wait in the backlog by now; `None` once there is none. Only an empty backlog
    /// ends it, or a socket that is of no use: after any other error it is tried again.
    pub async fn next_waiting(&mut self) -> Option<L::Accepted> {
        while self.has_waiting() {
            self.wait_for_retry().await;
            let accepted = tokio::select! {
                biased;
                accepted = self.listener.accepted() => accepted,
                // The runtime has not yet been notified of the connection that waits.
                () = sleep(INITIAL_BACKOFF) => continue,
            };
            let socket_failed = matches!(accepted, Err(AcceptError::Failed(_)));
            if let Some(accepted) = self.handle(accepted) {
                return Some(accepted);
            }
            if socket_failed {
                return None;
            }
        }
        None
    }

    /// Whether a connection waits to be accepted. Asked separately, as without a free descriptor `accept` fails whether
    /// or not a connection waits.
    fn has_waiting(&self) -> bool {
        let mut polled = [c::pollfd { fd: self.listener.as_raw_fd(), events: c::POLLIN, revents: 0 }];
        uapi::poll(&mut polled, 0).map_or(true, |ready| ready > 0)
    }

    async fn wait_for_retry(&mut self) {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
    }

    /// The connection, if there is one; after a failure that the next call would meet again, a wait is due.
    fn handle(&mut self, accepted: Result<L::Accepted, AcceptError>) -> Option<L::Accepted> {
        match accepted {
            Ok(accepted) => {
                self.note_success();
                Some(accepted)
            }
            Err(AcceptError::Gone(_)) => None,
            Err(error) => {
                self.back_off(&error);
                None
            }
        }
    }

    fn note_success(&mut self) {
        self.backoff = INITIAL_BACKOFF;
        if std::mem::take(&mut self.failure_logged) {
            info!(self.log, "accepting again");
        }
    }

    fn back_off(&mut self, error: &AcceptError) {
        self.retry_at = Some(Instant::now() + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "accepting failed"; "error" => %error);
        }
    }
}
