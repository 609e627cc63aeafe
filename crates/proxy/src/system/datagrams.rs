//! A socket for datagrams, read and written without waiting, that goes on after errors.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::{SystemCall, injected};

/// The wait after a failure that the next call would meet again.
const BACKOFF: Duration = Duration::from_millis(10);

/// What one read brought.
pub enum Received {
    /// A datagram, in the buffer that was given.
    Datagram {
        /// Its length in bytes.
        length: usize,
        /// Its sender, as the system says.
        from: SocketAddr,
    },
    /// All that has arrived was read.
    Nothing,
    /// There may be more, and it cannot be read now.
    Failed,
}

/// A socket for datagrams. Reading goes on after every error.
///
/// An error that speaks of a datagram sent earlier is skipped at once. After others it backs off: without that, a call
/// that fails at once would be made in a loop that starves the rest of the process. The cost: datagrams are read up to
/// [`BACKOFF`] later.
pub struct Datagrams {
    socket: UdpSocket,
    log: Logger,
    /// When reading is tried again after a failure.
    retry_at: Option<Instant>,
    /// Whether the failure was logged; it is logged once until a datagram is read again.
    failure_logged: bool,
}

impl Datagrams {
    /// Datagrams of a socket that is bound already.
    pub fn new(socket: UdpSocket, log: Logger) -> Datagrams {
        Datagrams { socket, log, retry_at: None, failure_logged: false }
    }

    /// Waits until there is something to read. Nothing is lost where the wait is given up.
    pub async fn readable(&mut self) {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
        while self.socket.readable().await.is_err() {
            sleep(BACKOFF).await;
        }
    }

    /// Reads a datagram into `bytes`, without waiting. One that is longer is cut.
    pub fn receive(&mut self, bytes: &mut [u8]) -> Received {
        loop {
            let read = injected(SystemCall::Receive).and_then(|()| self.socket.try_recv_from(bytes));
            match read {
                Ok((length, from)) => {
                    self.note_success();
                    return Received::Datagram { length, from };
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::Nothing,
                Err(error) if error.kind() == ErrorKind::Interrupted || is_about_a_sent_datagram(&error) => {}
                Err(error) => {
                    self.back_off(&error);
                    return Received::Failed;
                }
            }
        }
    }

    /// Sends a datagram at once, or fails. Returns how many bytes were sent.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        loop {
            match self.socket.try_send_to(datagram, to) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                sent => return sent,
            }
        }
    }

    fn note_success(&mut self) {
        if std::mem::take(&mut self.failure_logged) {
            info!(self.log, "datagrams are read again");
        }
    }

    fn back_off(&mut self, error: &io::Error) {
        self.retry_at = Some(Instant::now() + BACKOFF);
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "datagrams cannot be read, tried again"; "error" => %error);
        }
    }
}

/// Whether the system reports that a datagram sent earlier did not arrive. It does so once, on the next read, and that
/// says nothing about datagrams that have arrived.
fn is_about_a_sent_datagram(error: &io::Error) -> bool {
    let undelivered = [c::ECONNREFUSED, c::ECONNRESET, c::EHOSTUNREACH, c::ENETUNREACH, c::EHOSTDOWN];
    error.raw_os_error().is_some_and(|number| undelivered.contains(&number))
}
