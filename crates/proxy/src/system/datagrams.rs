//! A socket for datagrams, read and written without waiting, whatever errors the system reports meanwhile.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::time::{Instant, sleep, sleep_until};
use uapi::c;

use super::injection::{SystemCall, inject_fault};

/// The wait after an error that the next call would only meet again.
const BACKOFF: Duration = Duration::from_millis(10);

/// What one read brought.
pub enum Received {
    /// A datagram, now in the caller's buffer.
    Datagram {
        /// Its bytes there.
        length: usize,
        /// Its sender.
        from: SocketAddr,
    },
    /// Nothing more has come.
    NoDatagram,
    /// There may be more, which cannot be read now.
    Failed,
}

/// A socket for datagrams, and what is remembered of its errors.
///
/// An error about an earlier datagram is passed over at once; after any other one reading backs off. Without that the process
/// would spin over a call that fails at once, and serve nobody else. The cost: datagrams wait that much longer.
pub struct DatagramSocket {
    socket: UdpSocket,
    log: Logger,
    retry_at: Option<Instant>,
    /// Whether the errors since the last datagram that was read are logged.
    failure_logged: bool,
}

impl DatagramSocket {
    /// For a socket that is bound.
    pub fn new(socket: UdpSocket, log: Logger) -> DatagramSocket {
        DatagramSocket { socket, log, retry_at: None, failure_logged: false }
    }

    /// Waits until there is something to read. Cancel safe.
    pub async fn readable(&mut self) {
        if let Some(retry_at) = self.retry_at {
            sleep_until(retry_at).await;
            self.retry_at = None;
        }
        while self.socket.readable().await.is_err() {
            sleep(BACKOFF).await;
        }
    }

    /// Reads a datagram into `buffer`, if one has come.
    pub fn receive(&mut self, buffer: &mut [u8]) -> Received {
        loop {
            let read = inject_fault(SystemCall::Receive).and_then(|()| self.socket.try_recv_from(buffer));
            match read {
                Ok((length, from)) => {
                    if std::mem::take(&mut self.failure_logged) {
                        info!(self.log, "receiving datagrams again");
                    }
                    return Received::Datagram { length, from };
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return Received::NoDatagram,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if concerns_sent_datagram(&error) => {}
                Err(error) => {
                    self.back_off(&error);
                    return Received::Failed;
                }
            }
        }
    }

    fn back_off(&mut self, error: &io::Error) {
        self.retry_at = Some(Instant::now() + BACKOFF);
        if !std::mem::replace(&mut self.failure_logged, true) {
            warn!(self.log, "cannot receive datagrams, trying again"; "error" => %error);
        }
    }

    /// Sends a datagram at once, or not at all; how many bytes.
    pub fn send(&self, datagram: &[u8], to: SocketAddr) -> io::Result<usize> {
        loop {
            match self.socket.try_send_to(datagram, to) {
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                sent => return sent,
            }
        }
    }
}

/// Whether the error is about a datagram that was sent earlier: the system reports it once, by whichever call comes next,
/// and it says nothing of what has come.
fn concerns_sent_datagram(error: &io::Error) -> bool {
    let network_errors = [c::ECONNREFUSED, c::ECONNRESET, c::EHOSTUNREACH, c::ENETUNREACH, c::EHOSTDOWN];
    error.raw_os_error().is_some_and(|error_number| network_errors.contains(&error_number))
}
