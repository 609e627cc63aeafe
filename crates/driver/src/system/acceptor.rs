//! Accepting connections whatever errors the system gives meanwhile.

use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::{TcpListener, TcpStream, UnixListener, UnixStream};
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::{AcceptError, accept, accept_local};

/// How long accepting rests after an error that the next call would meet again: at first, and at most.
const REST: (Duration, Duration) = (Duration::from_millis(2), Duration::from_millis(100));

/// A socket that connections are accepted from.
pub trait Listener: AsRawFd {
    type Accepted;
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

/// A listening socket with what is remembered of its errors. Connections that are gone are passed over at once; after
/// other errors accepting rests, longer each time, while whoever waits here may do other things. Protects the rest of
/// the process from a loop over a call that fails at once; delays newcomers by the rest.
pub struct Acceptor<L> {
    listener: L,
    log: Logger,
    rest: Duration,
    /// Until when it rests.
    rests_until: Option<Instant>,
    /// An error is told once, until a connection is accepted again.
    told: bool,
}

impl<L: Listener> Acceptor<L> {
    pub fn new(listener: L, log: Logger) -> Acceptor<L> {
        Acceptor { listener, log, rest: REST.0, rests_until: None, told: false }
    }

    /// The next connection, however long that takes. Nothing is lost where the wait is given up.
    pub async fn next(&mut self) -> L::Accepted {
        loop {
            self.rests().await;
            let accepted = self.listener.accepted().await;
            if let Some(accepted) = self.heed(accepted) {
                return accepted;
            }
        }
    }

    /// The next connection of those that wait by now; `None` once there is none. Only an empty backlog ends it, or a
    /// socket that has none: after any other error it is asked again.
    pub async fn next_waiting(&mut self) -> Option<L::Accepted> {
        while self.has_waiting() {
            self.rests().await;
            let accepted = tokio::select! {
                biased;
                accepted = self.listener.accepted() => accepted,
                // The runtime has not yet heard of what waits.
                () = sleep(REST.0) => continue,
            };
            let failed = matches!(accepted, Err(AcceptError::Failed(_)));
            if let Some(accepted) = self.heed(accepted) {
                return Some(accepted);
            }
            if failed {
                return None;
            }
        }
        None
    }

    /// Whether a connection waits to be accepted. Asked apart: where descriptors lack, accepting fails also where none
    /// does.
    fn has_waiting(&self) -> bool {
        let mut asked = [c::pollfd { fd: self.listener.as_raw_fd(), events: c::POLLIN, revents: 0 }];
        uapi::poll(&mut asked, 0).map_or(true, |ready| ready > 0)
    }

    async fn rests(&mut self) {
        if let Some(until) = self.rests_until {
            sleep_until(until).await;
            self.rests_until = None;
        }
    }

    fn heed(&mut self, accepted: Result<L::Accepted, AcceptError>) -> Option<L::Accepted> {
        let why = match accepted {
            Ok(accepted) => {
                self.rest = REST.0;
                if std::mem::take(&mut self.told) {
                    info!(self.log, "accepting again");
                }
                return Some(accepted);
            }
            Err(AcceptError::Gone(_)) => return None,
            Err(why) => why,
        };
        self.rests_until = Some(Instant::now() + self.rest);
        self.rest = (self.rest * 2).min(REST.1);
        if !std::mem::replace(&mut self.told, true) {
            warn!(self.log, "accepting failed"; "why" => %why);
        }
        None
    }
}
